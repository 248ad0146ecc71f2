//! Guards against calls that run twice, or that run although they were reported as not run, when the platform applies a
//! write and its response is lost.

use base::{AccountName, DomainName, KeyHash, ModelName, ServiceName, VersionName, VmId};
use bytes::Bytes;
use conf::Settings;
use entry::Entry;
use fleet::{Account, Document, Model, Service, ServiceKind};
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::Incoming,
    header::{AUTHORIZATION, HOST},
};
use stand::{EngineSettings, PlatformSettings, RunReport, ServiceSettings};
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::sync::watch;
use upstream::ServiceConnection;
use web::{Client, Handler, Method, ResponseBody, Server, StatusCode};
use wire::platform::{Vm, VmRole, VmState};

const KEY: &str = "test-key";
const SERVICE: &str = "belfry-desk";
const MODEL: &str = "composer";

/// Proxy in front of the platform that forwards all requests, and replaces some responses about claims with errors.
struct LossyProxy {
    platform: Client,
    /// Number of further claim writes that are applied and whose responses are lost.
    writes_to_lose: AtomicU32,
    /// Number of further claim reads whose responses are lost.
    reads_to_lose: AtomicU32,
}

impl Handler for LossyProxy {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let method = request.method().clone();
        let path = request.uri().path_and_query().unwrap().as_str().to_owned();
        let body = web::read_body(request.into_body(), 4 << 20).await.unwrap();
        let is_write = method == Method::PUT;
        let reply = self.platform.send_bytes(method, &path, body).await.unwrap();
        let remaining = if is_write { &self.writes_to_lose } else { &self.reads_to_lose };
        let is_response_lost = path.starts_with("/kv/calls/")
            && remaining
                .try_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1))
                .is_ok();
        let mut response = Response::new(web::full(reply.body));
        *response.status_mut() =
            if is_response_lost { StatusCode::SERVICE_UNAVAILABLE } else { reply.status };
        response
    }
}

/// Entry with a plain service, behind a proxy to the platform.
struct Fixture {
    proxy: Arc<LossyProxy>,
    service: stand::Service,
    entry: Entry,
    /// Kept because the servers stop when these are dropped.
    _servers: (stand::Platform, stand::Engine, watch::Sender<bool>),
}

impl Fixture {
    async fn start() -> Self {
        let platform = stand::Platform::start(PlatformSettings::default()).await.unwrap();
        let service = stand::Service::start(ServiceSettings::default()).await.unwrap();
        let engine = EngineSettings { token_gap_ms: 1, ..EngineSettings::default() };
        let engine = stand::Engine::start(engine).await.unwrap();
        platform.put("config/current", &document().encode().unwrap());
        platform.set_vms(vec![
            vm("service-1", VmRole::Service, SERVICE, service.addr()),
            vm("engine-1", VmRole::Engine, MODEL, engine.addr()),
        ]);
        let proxy = Arc::new(LossyProxy {
            platform: Client::new(platform.addr(), 60_000),
            writes_to_lose: AtomicU32::new(0),
            reads_to_lose: AtomicU32::new(0),
        });
        let server = Server::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await.unwrap();
        let platform_addr = server.local_addr().unwrap();
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(server.run(Arc::clone(&proxy), stopped));
        let text = format!(
            "[entry]\nvm_id = \"entry-1\"\ndomain = \"lothian\"\nlisten = \"127.0.0.1:0\"\n\
             [platform]\naddr = \"{platform_addr}\"\nvm_list_interval_ms = 100\n"
        );
        let settings = Settings::try_from(text.as_str()).unwrap();
        let entry = Entry::start(&settings, None).await.unwrap();
        let fixture = Self { proxy, service, entry, _servers: (platform, engine, stop) };
        // Waits until the entry has read the list of VMs and forwards calls.
        while fixture.send("GET", "/services/belfry-desk/", None, "warm-up").await.0 != 200 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        fixture
    }

    /// Sends a request with the idempotency key `key` and the request identifier `id`, and returns the status and body
    /// of the response.
    async fn send(&self, method: &str, path: &str, key: Option<&str>, id: &str) -> (u16, String) {
        let addr = self.entry.addr();
        let body = r#"{"model":"composer","prompt":"p","max_tokens":5}"#;
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, addr.to_string())
            .header(AUTHORIZATION, format!("Bearer {KEY}"))
            .header("x-request-id", id);
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let request = request.body(Full::new(Bytes::from(body))).unwrap();
        let connection = ServiceConnection::open(addr, 5_000).await.unwrap();
        let response = connection.send(request, 30_000).await.unwrap();
        let status = response.status().as_u16();
        (status, String::from_utf8(response.into_body().to_vec()).unwrap())
    }

    /// Sends a call to the plain service with an idempotency key.
    async fn post(&self, key: &str, id: &str) -> (u16, String) {
        self.send("POST", "/services/belfry-desk/bookings", Some(key), id).await
    }

    /// Makes the platform's responses to the next writes and reads of claims get lost.
    fn lose_responses(&self, writes: u32, reads: u32) {
        self.proxy.writes_to_lose.store(writes, Ordering::SeqCst);
        self.proxy.reads_to_lose.store(reads, Ordering::SeqCst);
    }

    /// Number of times that the plain service has run a call with an idempotency key.
    async fn runs(&self, key: &str) -> u64 {
        let client = Client::new(self.service.addr(), 5_000);
        let reply = client.send(Method::GET, "/control/runs").await.unwrap();
        let report: RunReport = reply.json().unwrap();
        report.by_key.get(&format!("service/{key}")).copied().unwrap_or(0)
    }
}

fn vm(id: &str, role: VmRole, service: &str, addr: SocketAddr) -> Vm {
    Vm {
        id: VmId::try_from(id).unwrap(),
        role,
        service: Some(ServiceName::try_from(service).unwrap()),
        domain: DomainName::try_from("lothian").unwrap(),
        addr,
        peer_addr: None,
        state: VmState::Live,
    }
}

fn document() -> Document {
    let service = |name: &str, kind| Service::new(&ServiceName::try_from(name).unwrap(), kind);
    let account = AccountName::try_from("alba").unwrap();
    let composer = ServiceName::try_from(MODEL).unwrap();
    let model = ModelName::try_from(MODEL).unwrap();
    let version = VersionName::try_from("v1").unwrap();
    Document {
        accounts: vec![Account::new(&account, KeyHash::of(KEY), 1_000)],
        services: vec![
            service(SERVICE, ServiceKind::Plain),
            service(MODEL, ServiceKind::Generation),
        ],
        models: vec![Model::new(&model, &composer, &version)],
        ..Document::default()
    }
}

/// Guards against a claim that rejects its own owner after the response to its write was lost.
#[tokio::test]
async fn a_claim_whose_response_was_lost_is_found_by_reading_it_back() {
    let fixture = Fixture::start().await;
    fixture.lose_responses(1, 0);
    let first = fixture.post("lost", "lost-1").await;
    assert_eq!(first.0, 200, "{first:?}");
    assert_eq!(fixture.post("lost", "lost-2").await, first);
    assert_eq!(fixture.runs("lost").await, 1);
}

/// Guards against an answer that is not stored because the response to its write was lost.
#[tokio::test]
async fn an_answer_is_stored_although_the_response_to_its_write_was_lost() {
    let fixture = Fixture::start().await;
    let first = fixture.post("stored", "stored-1").await;
    fixture.lose_responses(2, 0);
    let second = fixture.post("stored-too", "stored-2").await;
    assert_eq!((first.0, second.0), (200, 200));
    assert_eq!(fixture.post("stored-too", "stored-3").await, second);
    assert_eq!(fixture.runs("stored-too").await, 1);
}

/// Guards against a call that runs although it was reported as not run, and against its key staying blocked.
#[tokio::test]
async fn a_call_whose_claim_is_uncertain_is_not_run_and_its_key_is_released_later() {
    let fixture = Fixture::start().await;
    fixture.lose_responses(2, 4);
    let refused = fixture.post("half", "half-1").await;
    assert_eq!(refused.0, 503, "{refused:?}");
    assert!(refused.1.contains(r#""code":"not_run""#), "{refused:?}");
    assert_eq!(fixture.runs("half").await, 0);
    fixture.lose_responses(0, 0);
    let mut number = 1;
    let answer = loop {
        number += 1;
        let (status, body) = fixture.post("half", &format!("half-{number}")).await;
        if status == 200 {
            break body;
        }
        assert!(number < 200, "the key is still blocked: {body}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    assert!(answer.contains(&format!("half-{number}")), "{answer}");
    assert_eq!(fixture.runs("half").await, 1);
}

/// Guards against a second generation for the same key, whose answer would differ.
#[tokio::test]
async fn a_generation_with_a_key_is_generated_once() {
    let fixture = Fixture::start().await;
    let path = "/v1/completions";
    let (status, body) = fixture.send("POST", path, Some("draft"), "1").await;
    assert_eq!(status, 200, "{body}");
    assert_eq!(fixture.send("POST", path, Some("draft"), "2").await, (200, body.clone()));
    let (status, other) = fixture.send("POST", path, None, "3").await;
    assert_eq!(status, 200);
    assert_ne!(other, body);
    // A chat request needs messages, and an invalid body is rejected before the key is looked up.
    assert_eq!(fixture.send("POST", "/v1/chat/completions", Some("draft"), "4").await.0, 400);
}
