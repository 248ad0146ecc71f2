//! Guards against answers joined from two model versions, adapters or requests when a caller takes a stream up with
//! `Last-Event-ID`.

use base::{AccountName, DomainName, KeyHash, ModelName, ServiceName, VersionName, VmId};
use bytes::Bytes;
use conf::Settings;
use entry::Entry;
use fleet::{Account, Document, Model, Service, ServiceKind};
use http_body_util::BodyExt;
use serde_json::{Value, json};
use stand::{Engine, EngineSettings, Platform, PlatformSettings, TokenChain};
use std::{net::SocketAddr, time::Duration};
use tokio::time::timeout;
use web::{Client, Connection, Method, json_request};
use wire::{
    engine::LoadedVersion,
    platform::{Vm, VmRole, VmState},
};

const KEY: &str = "test-key";
const MODEL: &str = "composer";
const ADAPTER: &str = "bells";
const PROMPT: &str = "a peal plan";

/// Number of tokens of the answers.
const TOKENS: usize = 120;

/// Number of tokens that the caller receives before its connection is lost.
const TOKENS_BEFORE: usize = 10;

/// Longest wait for an expected state or answer.
const WAIT: Duration = Duration::from_secs(30);

/// Two entries that replicate their journals to each other, with a fake platform and a fake engine.
struct Fixture {
    platform: Platform,
    engine: Engine,
    entries: [Entry; 2],
}

/// What a caller has received of a streamed answer.
#[derive(Clone, Debug, Default)]
struct Received {
    status: u16,
    text: String,
    last_event_id: String,
    is_done: bool,
}

impl Received {
    fn token_count(&self) -> usize {
        // The text of each token has 9 bytes.
        self.text.len() / 9
    }

    /// Asserts that the text is the beginning of an answer of the given version and adapter.
    fn assert_from(&self, version: &str, adapter: &str) {
        let chain = TokenChain::new(MODEL, version, adapter, PROMPT);
        assert_eq!(chain.verify(&self.text), Ok(self.token_count()));
    }
}

impl Fixture {
    async fn start() -> Self {
        let platform = Platform::start(PlatformSettings::default()).await.unwrap();
        let settings = EngineSettings { token_gap_ms: 10, ..EngineSettings::default() };
        let engine = Engine::start(settings).await.unwrap();
        platform.put("config/current", &document("v1", ADAPTER).encode().unwrap());
        platform.set_vms(vec![engine_vm(engine.addr())]);
        let entries = [start_entry(1, &platform).await, start_entry(2, &platform).await];
        let fixture = Self { platform, engine, entries };
        fixture.set_engine(fixture.engine.addr());
        // The entries read the list every 100 ms and connect to each other.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        for entry in &fixture.entries {
            let client = Client::new(entry.addr(), 5_000);
            while !client.send(Method::GET, "/readyz").await.unwrap().status.is_success() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        fixture
    }

    /// Lists the entries and the engine at `addr`.
    fn set_engine(&self, addr: SocketAddr) {
        let entries = self.entries.iter().enumerate().map(|(position, entry)| Vm {
            id: vm_id(position + 1),
            role: VmRole::Entry,
            service: None,
            addr: entry.addr(),
            peer_addr: entry.peer_addr(),
            ..engine_vm(addr)
        });
        self.platform.set_vms(entries.chain([engine_vm(addr)]).collect());
    }

    /// Replaces the configuration, and waits until new answers of both entries come from `version`.
    async fn roll_out(&self, version: &str) {
        self.platform.put("config/current", &document(version, "carols").encode().unwrap());
        let chain = TokenChain::new(MODEL, version, "", PROMPT);
        for entry in &self.entries {
            let client = Client::new(entry.addr(), 10_000).with_bearer_key(KEY);
            let body = json!({"model": MODEL, "prompt": PROMPT, "max_tokens": 3});
            let asking = async {
                loop {
                    let reply = client.send_json(Method::POST, "/v1/completions", &body).await;
                    let value: Value = reply.unwrap().json().unwrap();
                    let text = value["choices"][0]["text"].as_str().unwrap_or_default();
                    if !text.is_empty() && chain.verify(text).is_ok() {
                        return;
                    }
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            };
            timeout(WAIT, asking).await.unwrap();
        }
    }

    /// Begins an answer at the first entry, and loses the connection after `TOKENS_BEFORE` tokens.
    async fn begin(&self, body: &Value) -> Received {
        let mut received = Received::default();
        ask(self.entries[0].addr(), body, &mut received, TOKENS_BEFORE).await;
        assert!(received.token_count() >= TOKENS_BEFORE, "{received:?}");
        received
    }

    /// Takes an answer up at the second entry.
    async fn take_up(&self, body: &Value, received: &Received) -> Received {
        let mut received = Received { status: 0, is_done: false, ..received.clone() };
        let asking = ask(self.entries[1].addr(), body, &mut received, usize::MAX);
        let _ = timeout(Duration::from_secs(8), asking).await;
        received
    }

    async fn close(self) {
        for entry in self.entries {
            entry.close().await;
        }
        self.engine.kill().await;
        self.platform.close().await;
    }
}

fn vm_id(number: usize) -> VmId {
    VmId::try_from(format!("entry-{number}")).unwrap()
}

/// Live engine VM in the list of VMs.
fn engine_vm(addr: SocketAddr) -> Vm {
    Vm {
        id: VmId::try_from(format!("engine-{}", addr.port())).unwrap(),
        role: VmRole::Engine,
        service: Some(ServiceName::try_from(MODEL).unwrap()),
        domain: DomainName::try_from("lothian").unwrap(),
        addr,
        peer_addr: None,
        state: VmState::Live,
    }
}

fn document(version: &str, adapter: &str) -> Document {
    let service = ServiceName::try_from(MODEL).unwrap();
    let account = AccountName::try_from("test").unwrap();
    let model = ModelName::try_from(MODEL).unwrap();
    let version = VersionName::try_from(version).unwrap();
    let model = Model {
        adapters: vec![ADAPTER.to_owned(), adapter.to_owned()],
        ..Model::new(&model, &service, &version)
    };
    Document {
        accounts: vec![Account::new(&account, KeyHash::of(KEY), 100_000)],
        services: vec![Service::new(&service, ServiceKind::Generation)],
        models: vec![model],
        ..Document::default()
    }
}

async fn start_entry(number: usize, platform: &Platform) -> Entry {
    let text = format!(
        "[entry]\nvm_id = \"{}\"\ndomain = \"lothian\"\nlisten = \"127.0.0.1:0\"\n\
         [platform]\naddr = \"{}\"\nvm_list_interval_ms = 100\n[peer]\nlisten = \"127.0.0.1:0\"\n",
        vm_id(number),
        platform.addr()
    );
    Entry::start(&Settings::try_from(text.as_str()).unwrap(), None).await.unwrap()
}

fn request_body(model: &str) -> Value {
    json!({"model": model, "prompt": PROMPT, "max_tokens": TOKENS, "stream": true})
}

/// Sends a request, which takes `received` up if it is not empty, and reads the stream until it has ended or the caller
/// has `max_tokens` tokens.
async fn ask(addr: SocketAddr, body: &Value, received: &mut Received, max_tokens: usize) {
    let mut connection = Connection::open(addr, 1_000).await.unwrap();
    let body = Bytes::from(body.to_string());
    let mut request = json_request(Method::POST, addr, "/v1/completions", body).unwrap();
    let headers = request.headers_mut();
    headers.insert("authorization", format!("Bearer {KEY}").parse().unwrap());
    if !received.last_event_id.is_empty() {
        headers.insert("last-event-id", received.last_event_id.parse().unwrap());
    }
    let response = connection.send(request).await.unwrap();
    received.status = response.status().as_u16();
    let mut body = response.into_body();
    let mut buffer = String::new();
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(data) = frame.into_data() else { continue };
        buffer.push_str(std::str::from_utf8(&data).unwrap());
        while let Some((event, rest)) = buffer.split_once("\n\n") {
            for line in event.lines() {
                if let Some(id) = line.strip_prefix("id: ") {
                    received.last_event_id = id.to_owned();
                } else if line == "data: [DONE]" {
                    received.is_done = true;
                } else if let Some(data) = line.strip_prefix("data: ") {
                    let value: Value = serde_json::from_str(data).unwrap();
                    received.text += value["choices"][0]["text"].as_str().unwrap_or_default();
                }
            }
            buffer = rest.to_owned();
        }
        if received.token_count() >= max_tokens {
            return;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_taken_up_at_another_entry_stays_on_its_version() {
    let fixture = Fixture::start().await;
    let body = request_body(MODEL);
    let begun = fixture.begin(&body).await;
    begun.assert_from("v1", "");
    fixture.roll_out("v2").await;
    let whole = fixture.take_up(&body, &begun).await;
    assert!(whole.is_done, "{whole:?}");
    assert_eq!(whole.token_count(), TOKENS);
    whole.assert_from("v1", "");
    fixture.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_not_continued_by_engines_that_lack_its_version() {
    let fixture = Fixture::start().await;
    let body = request_body(&format!("{MODEL}:{ADAPTER}"));
    let begun = fixture.begin(&body).await;
    begun.assert_from("v1", ADAPTER);
    let v2 = LoadedVersion {
        model: MODEL.to_owned(),
        version: "v2".to_owned(),
        adapters: vec![ADAPTER.to_owned()],
    };
    let settings = EngineSettings { loaded: Some(vec![v2]), ..EngineSettings::default() };
    let newer = Engine::start(settings).await.unwrap();
    fixture.set_engine(newer.addr());
    fixture.roll_out("v2").await;
    let taken_up = fixture.take_up(&body, &begun).await;
    assert!(!taken_up.is_done, "{taken_up:?}");
    taken_up.assert_from("v1", ADAPTER);
    fixture.close().await;
    newer.kill().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_not_continued_for_another_request() {
    let fixture = Fixture::start().await;
    let body = request_body(MODEL);
    let mut begun = fixture.begin(&body).await;
    for (field, value) in [
        ("model", json!(format!("{MODEL}:{ADAPTER}"))),
        ("prompt", json!("another")),
        ("max_tokens", json!(TOKENS + 1)),
    ] {
        let mut edited = body.clone();
        edited[field] = value;
        let refused = fixture.take_up(&edited, &begun).await;
        assert_eq!(refused.status, 409, "{field}");
        assert_eq!(refused.text, begun.text);
    }
    // Other sampling than that of the request that began the answer has no effect.
    for number in 0..3 {
        let mut edited = body.clone();
        edited["temperature"] = json!(f64::from(number) / 2.0);
        edited["top_p"] = json!(0.5);
        begun = fixture.take_up(&edited, &begun).await;
        assert_eq!(begun.status, 200);
    }
    assert_eq!(begun.token_count(), TOKENS);
    begun.assert_from("v1", "");
    fixture.close().await;
}
