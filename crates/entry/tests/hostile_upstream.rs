//! Guards against damage to answers by upstreams that send malformed responses, and by callers that disconnect or read
//! slowly.
//!
//! A healthy fake engine runs beside the hostile one, so every caller must get a complete answer.

use base::{AccountName, DomainName, KeyHash, ModelName, ServiceName, VersionName, VmId};
use conf::Settings;
use entry::Entry;
use fleet::{Account, Document, Model, Service, ServiceKind};
use quickcheck::{Arbitrary, Gen};
use serde_json::{Value, json};
use stand::{Engine, EngineSettings, Platform, PlatformSettings, TokenChain};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::timeout,
};
use web::{Client, Method};
use wire::platform::{Vm, VmRole, VmState};

const KEY: &str = "test-key";
const MODEL: &str = "composer";
const VERSION: &str = "v1";

/// Longest wait for an expected state or answer.
const WAIT: Duration = Duration::from_secs(60);

/// Number of tokens that each caller requests.
const TOKENS: usize = 20;

/// Number of concurrent callers while an engine sends malformed responses.
const CALLERS: usize = 6;

/// Valid head of an engine's response.
const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";

/// Malformed responses: a start, and a part that is repeated until the connection closes. An empty part is not sent.
/// In the start, `HEAD` is replaced with a valid head, `ID` with the identifier of the request, and `HUGE` with 60,000
/// bytes.
const MALFORMED_RESPONSES: [(&str, &str); 16] = [
    ("HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n", ""),
    ("HTTP/1.1 200 OK\r\nx: ", "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"),
    ("HTTP/1.1 200 OK\r\n", "x-header: value\r\n"),
    ("HEAD", "no event "),
    ("HEAD", ": comment\n\n"),
    ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", ""),
    ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nffffffffffffffffff\r\n", ""),
    ("HTTP/1.1 200 OK\r\ncontent-length: 99999999999999999999\r\n\r\n", ""),
    ("\0\u{1}\u{2}\u{7f}\r\n\r\n", ""),
    ("HEADdata: {\"request_id\":\"other\",\"index\":0,\"token_id\":1,\"text\":\"x\"}\n\n", ""),
    (
        "HEADdata: {\"request_id\":\"ID\",\"index\":4294967295,\"token_id\":1,\"text\":\"x\"}\n\n",
        "",
    ),
    (
        "HEADdata: {\"request_id\":\"ID\",\"index\":4294967296,\"token_id\":-1,\"text\":\"x\"}\n\n",
        "",
    ),
    (
        "HEADdata: {\"request_id\":\"ID\",\"finish_reason\":\"stop\",\
         \"usage\":{\"prompt_tokens\":1,\"completion_tokens\":4294967295}}\n\n",
        "",
    ),
    ("HEADdata: {\"request_id\":\"ID\",\"index\":0,\"token_id\":1,\"text\":\"HUGE\"}\n\n", ""),
    ("HEADdata: [DONE]\n\n", ""),
    ("", ""),
];

/// Entry with a fake platform and a healthy fake engine.
struct Fixture {
    platform: Platform,
    engine: Engine,
    entry: Entry,
}

impl Fixture {
    /// Starts an entry with a healthy engine, which sends a token every `token_gap_ms`. If `other` is given, the list
    /// of VMs contains another engine at that address.
    async fn start(other: Option<SocketAddr>, token_gap_ms: u64) -> Self {
        let platform = Platform::start(PlatformSettings::default()).await.unwrap();
        let engine = Engine::start(EngineSettings { token_gap_ms, ..EngineSettings::default() });
        let engine = engine.await.unwrap();
        platform.put("config/current", &document().encode().unwrap());
        let addrs = std::iter::once(engine.addr()).chain(other);
        platform.set_vms(addrs.enumerate().map(|(number, addr)| vm(number, addr)).collect());
        let text = format!(
            "[entry]\nvm_id = \"entry-1\"\ndomain = \"lothian\"\nlisten = \"127.0.0.1:0\"\n\
             [platform]\naddr = \"{}\"\nvm_list_interval_ms = 100\n",
            platform.addr()
        );
        let settings = Settings::try_from(text.as_str()).unwrap();
        let entry = Entry::start(&settings, None).await.unwrap();
        let client = Client::new(entry.addr(), 5_000);
        while !client.send(Method::GET, "/readyz").await.unwrap().status.is_success() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Self { platform, engine, entry }
    }

    fn addr(&self) -> SocketAddr {
        self.entry.addr()
    }

    async fn close(self) {
        self.entry.close().await;
        self.engine.kill().await;
        self.platform.close().await;
    }

    /// Waits until the healthy engine has cancelled `count` requests.
    async fn wait_cancelled(&self, count: u64) {
        let client = Client::new(self.engine.addr(), 5_000);
        let waiting = async {
            loop {
                let reply = client.send(Method::GET, "/state").await.unwrap();
                let state: Value = reply.json().unwrap();
                if state["counters"]["cancelled"].as_u64().unwrap() >= count {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(WAIT, waiting).await.unwrap();
    }
}

/// Live engine VM in the list of VMs.
fn vm(number: usize, addr: SocketAddr) -> Vm {
    Vm {
        id: VmId::try_from(format!("engine-{number}")).unwrap(),
        role: VmRole::Engine,
        service: Some(ServiceName::try_from(MODEL).unwrap()),
        domain: DomainName::try_from("lothian").unwrap(),
        addr,
        peer_addr: None,
        state: VmState::Live,
    }
}

fn document() -> Document {
    let service = ServiceName::try_from(MODEL).unwrap();
    let account = AccountName::try_from("test").unwrap();
    let model = ModelName::try_from(MODEL).unwrap();
    let version = VersionName::try_from(VERSION).unwrap();
    Document {
        accounts: vec![Account::new(&account, KeyHash::of(KEY), 1_000)],
        services: vec![Service::new(&service, ServiceKind::Generation)],
        models: vec![Model::new(&model, &service, &version)],
        ..Document::default()
    }
}

/// Starts a server that sends a malformed response on every connection, and returns its address.
async fn serve_malformed(head: String, rest: String) -> SocketAddr {
    serve_counted(head, rest, Arc::default()).await
}

/// As `serve_malformed`; adds the requests for an answer to `requests`.
async fn serve_counted(head: String, rest: String, requests: Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(send_malformed(stream, head.clone(), rest.clone(), Arc::clone(&requests)));
        }
    });
    addr
}

/// Reads a request and sends a malformed response, whose part `rest` is repeated until the entry closes the connection.
async fn send_malformed(
    mut stream: TcpStream,
    head: String,
    rest: String,
    requests: Arc<AtomicU64>,
) {
    let mut request = vec![0; 64 * 1024];
    let Ok(size) = stream.read(&mut request).await else { return };
    let text = String::from_utf8_lossy(&request[..size]).into_owned();
    let id = text.split("\"request_id\":\"").nth(1).and_then(|rest| rest.split('"').next());
    requests.fetch_add(u64::from(id.is_some()), Ordering::SeqCst);
    let head = head.replace("HEAD", HEAD).replace("ID", id.unwrap_or_default());
    let head = head.replace("HUGE", &"x".repeat(60_000));
    let _ = stream.write_all(head.as_bytes()).await;
    while !rest.is_empty() && stream.write_all(rest.as_bytes()).await.is_ok() {}
}

/// Requests an answer that is not streamed and checks that it is complete.
async fn request_answer(addr: SocketAddr) {
    let client = Client::new(addr, 60_000).with_bearer_key(KEY);
    let body = json!({"model": MODEL, "prompt": "p", "max_tokens": TOKENS});
    let reply = client.send_json(Method::POST, "/v1/completions", &body).await.unwrap();
    let value: Value = reply.json().unwrap();
    let text = value["choices"][0]["text"].as_str();
    let chain = TokenChain::new(MODEL, VERSION, "", "p");
    assert!(text.is_some_and(|text| chain.verify(text).is_ok()), "{value}");
    let count = value["usage"]["completion_tokens"].as_u64();
    // The text of each token has 9 bytes.
    assert_eq!(text.map(|text| text.len() as u64 / 9), count);
}

/// Checks that all callers get complete answers while one of two engines sends a malformed response.
async fn check_answers(head: &str, rest: &str) {
    let other = serve_malformed(head.to_owned(), rest.to_owned()).await;
    let fixture = Fixture::start(Some(other), 1).await;
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        callers.spawn(request_answer(fixture.addr()));
    }
    timeout(WAIT, callers.join_all()).await.unwrap();
    fixture.close().await;
}

/// A malformed response fails its attempt, but not the answer.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_engine_responses_do_not_fail_an_answer() {
    let mut checks = JoinSet::new();
    for (head, rest) in MALFORMED_RESPONSES {
        checks.spawn(check_answers(head, rest));
    }
    checks.join_all().await;
}

/// Number of streams that make an engine the more loaded one.
const LONG_STREAMS: u64 = 30;

/// An engine whose events do not continue the answer must not get all attempts of a request because it is less loaded
/// than the other one.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_sends_wrong_events_is_avoided() {
    let wrong_events = MALFORMED_RESPONSES
        .into_iter()
        .filter(|(head, _)| head.contains("\"index\":4294967295") || head.contains("usage"));
    let mut checks = JoinSet::new();
    for (head, rest) in wrong_events {
        checks.spawn(async move {
            let fixture = Fixture::start(None, 20).await;
            let body = json!({"model": MODEL, "prompt": "p", "max_tokens": 4_000, "stream": true});
            let mut streams = Vec::new();
            for _ in 0..LONG_STREAMS {
                streams.push(send_request(fixture.addr(), &body).await);
            }
            let has_started = || u64::from(fixture.engine.state().load.running) == LONG_STREAMS;
            timeout(WAIT, async {
                while !has_started() {
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            })
            .await
            .unwrap();
            let requests = Arc::<AtomicU64>::default();
            let other = serve_counted(head.to_owned(), rest.to_owned(), Arc::clone(&requests));
            let vms = vec![vm(0, fixture.engine.addr()), vm(1, other.await)];
            fixture.platform.set_vms(vms);
            timeout(WAIT, async {
                while requests.load(Ordering::SeqCst) == 0 {
                    request_answer(fixture.addr()).await;
                }
            })
            .await
            .unwrap();
            drop(streams);
            fixture.close().await;
        });
    }
    assert_eq!(checks.len(), 2);
    checks.join_all().await;
}

/// Responses that are mutated from a fixed seed cover malformed responses that are not in the list.
#[tokio::test(flavor = "multi_thread")]
async fn mutated_engine_responses_do_not_fail_an_answer() {
    let mut g = Gen::from_size_and_seed(16, 1);
    let mut checks = JoinSet::new();
    for _ in 0..12 {
        let (head, _) = *g.choose(&MALFORMED_RESPONSES).unwrap();
        let mut bytes = head.replace("HEAD", HEAD).into_bytes();
        for _ in 0..3 {
            let at = usize::arbitrary(&mut g) % (bytes.len() + 1);
            bytes.insert(at, u8::arbitrary(&mut g) % 128);
        }
        let head = String::from_utf8_lossy(&bytes).into_owned();
        checks.spawn(async move { check_answers(&head, "").await });
    }
    checks.join_all().await;
}

/// An engine's count of prompt tokens is passed on unchecked, so its sum with the tokens of the answer must not
/// overflow.
#[tokio::test(flavor = "multi_thread")]
async fn the_largest_count_of_prompt_tokens_is_passed_on() {
    let head = "HEADdata: {\"request_id\":\"ID\",\"index\":0,\"token_id\":1,\"text\":\"x\"}\n\n\
                data: {\"request_id\":\"ID\",\"finish_reason\":\"length\",\
                \"usage\":{\"prompt_tokens\":4294967295,\"completion_tokens\":1}}\n\n";
    let other = serve_malformed(head.to_owned(), String::new()).await;
    let fixture = Fixture::start(None, 1).await;
    fixture.platform.set_vms(vec![vm(1, other)]);
    let client = Client::new(fixture.addr(), 20_000).with_bearer_key(KEY);
    let body = json!({"model": MODEL, "prompt": "p", "max_tokens": 1});
    let asking = async {
        loop {
            let reply = client.send_json(Method::POST, "/v1/completions", &body).await.unwrap();
            let value: Value = reply.json().unwrap();
            // The entry may still use the earlier list with the healthy engine.
            if value["choices"][0]["text"] == "x" {
                return value["usage"]["total_tokens"].as_u64();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    assert_eq!(timeout(WAIT, asking).await.unwrap(), Some(u64::from(u32::MAX)));
    fixture.close().await;
}

/// Sends a request and disconnects once the engine has started to run the request.
async fn disconnect(fixture: &Fixture, is_stream: bool) {
    let body = json!({"model": MODEL, "prompt": "p", "max_tokens": 4_000, "stream": is_stream});
    let mut stream = send_request(fixture.addr(), &body).await;
    if is_stream {
        stream.read_exact(&mut [0; 400]).await.unwrap();
    } else {
        let client = Client::new(fixture.engine.addr(), 5_000);
        loop {
            let state: Value = client.send(Method::GET, "/state").await.unwrap().json().unwrap();
            if state["load"]["running"].as_u64() > Some(0) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Sends a request to `/v1/completions` and returns the connection, from which nothing was read.
async fn send_request(addr: SocketAddr, body: &Value) -> TcpStream {
    let body = body.to_string();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: e\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

/// An engine must not continue a request whose caller has disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn requests_of_disconnected_callers_are_cancelled() {
    let fixture = Fixture::start(None, 20).await;
    timeout(WAIT, disconnect(&fixture, true)).await.unwrap();
    fixture.wait_cancelled(1).await;
    timeout(WAIT, disconnect(&fixture, false)).await.unwrap();
    fixture.wait_cancelled(2).await;
    request_answer(fixture.addr()).await;
    fixture.close().await;
}

/// Callers that read nothing may delay only their own answers.
#[tokio::test(flavor = "multi_thread")]
async fn callers_that_read_nothing_do_not_delay_others() {
    let fixture = Fixture::start(None, 1).await;
    let body = json!({"model": MODEL, "prompt": "p", "max_tokens": 4_000, "stream": true});
    let mut idle_callers = Vec::new();
    for _ in 0..8 {
        idle_callers.push(send_request(fixture.addr(), &body).await);
    }
    for _ in 0..5 {
        timeout(WAIT, request_answer(fixture.addr())).await.unwrap();
    }
    drop(idle_callers);
    fixture.close().await;
}

/// Calls to a plain service that sends malformed responses must end with a response or a typed error.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_responses_of_a_plain_service_get_typed_errors() {
    let fixture = Fixture::start(None, 1).await;
    let mut with_desk = document();
    let desk = ServiceName::try_from("desk").unwrap();
    let mut service = Service::new(&desk, ServiceKind::Plain);
    service.calls.answer_wait_ms = 2_000;
    with_desk.services.push(service);
    fixture.platform.put("config/current", &with_desk.encode().unwrap());
    let mut calls = JoinSet::new();
    for (head, rest) in MALFORMED_RESPONSES {
        let addr = serve_malformed(head.to_owned(), rest.to_owned()).await;
        let service = Some(desk.clone());
        fixture.platform.set_vms(vec![
            vm(0, fixture.engine.addr()),
            Vm { service, role: VmRole::Service, ..vm(1, addr) },
        ]);
        // The entry reads the list every 100 ms. A call before that also gets a typed error.
        tokio::time::sleep(Duration::from_millis(300)).await;
        let client = Client::new(fixture.addr(), 20_000).with_bearer_key(KEY);
        calls.spawn(async move {
            client.send(Method::POST, "/services/desk/orders").await.map(|reply| {
                let code = reply.json::<Value>().unwrap_or_default()["error"]["code"].clone();
                (reply.status.as_u16(), code.is_string())
            })
        });
    }
    for outcome in timeout(WAIT, calls.join_all()).await.unwrap() {
        // A response of the service is passed on, so its status 500 comes without an error code.
        let (status, has_code) = outcome.unwrap();
        assert!(has_code || status == 200 || status == 500, "{status}");
    }
    request_answer(fixture.addr()).await;
    fixture.close().await;
}
