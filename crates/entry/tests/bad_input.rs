//! Guards against invalid requests that get a wrong status or an error without type and code, or that damage another
//! caller's answer.

use base::{AccountName, DomainName, KeyHash, ModelName, ServiceName, VersionName, VmId};
use conf::Settings;
use entry::Entry;
use fleet::{Account, Document, Model, Service, ServiceKind};
use quickcheck::{Arbitrary, Gen};
use serde_json::{Value, json};
use stand::{Engine, EngineSettings, Platform, PlatformSettings, TokenChain};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use web::{Client, Method, Reply};
use wire::platform::{Vm, VmRole, VmState};

const KEY: &str = "test-key";
const MODEL: &str = "composer";
const VERSION: &str = "v1";

/// Entry with one fake engine and a fake platform.
struct Fixture {
    platform: Platform,
    engine: Engine,
    entry: Entry,
}

impl Fixture {
    async fn start() -> Self {
        let platform = Platform::start(PlatformSettings::default()).await.unwrap();
        let engine = Engine::start(EngineSettings { token_gap_ms: 1, ..EngineSettings::default() });
        let engine = engine.await.unwrap();
        platform.put("config/current", &document().encode().unwrap());
        platform.set_vms(vec![Vm {
            id: VmId::try_from("engine-1").unwrap(),
            role: VmRole::Engine,
            service: Some(ServiceName::try_from(MODEL).unwrap()),
            domain: DomainName::try_from("lothian").unwrap(),
            addr: engine.addr(),
            peer_addr: None,
            state: VmState::Live,
        }]);
        let text = format!(
            "[entry]\nvm_id = \"entry-1\"\ndomain = \"lothian\"\nlisten = \"127.0.0.1:0\"\n\
             [limits]\nbody_bytes = 65536\nmax_tokens = 1000\n\
             [platform]\naddr = \"{}\"\nvm_list_interval_ms = 100\n",
            platform.addr()
        );
        let settings = Settings::try_from(text.as_str()).unwrap();
        let entry = Entry::start(&settings, None).await.unwrap();
        let fixture = Self { platform, engine, entry };
        fixture.wait_ready().await;
        fixture
    }

    /// Waits until the entry returns a complete answer, for which it needs the configuration and the list of VMs.
    async fn wait_ready(&self) {
        while !self.is_serving().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Whether the entry answers a small request with exactly the tokens of the fake engine.
    async fn is_serving(&self) -> bool {
        let body = json!({"model": MODEL, "prompt": "p", "max_tokens": 3});
        let Ok(reply) = self.client().send_json(Method::POST, "/v1/completions", &body).await
        else {
            return false;
        };
        let value: Value = serde_json::from_slice(&reply.body).unwrap();
        let text = value["choices"][0]["text"].as_str().unwrap_or_default();
        TokenChain::new(MODEL, VERSION, "", "p").verify(text) == Ok(3)
    }

    fn addr(&self) -> SocketAddr {
        self.entry.addr()
    }

    fn client(&self) -> Client {
        Client::new(self.addr(), 20_000).with_bearer_key(KEY)
    }

    /// Sends `body` to `/v1/completions`.
    async fn post(&self, body: &str) -> Reply {
        let path = "/v1/completions";
        self.client().send_bytes(Method::POST, path, body.to_owned().into()).await.unwrap()
    }

    async fn close(self) {
        self.entry.close().await;
        self.engine.kill().await;
        self.platform.close().await;
    }
}

fn document() -> Document {
    let service = ServiceName::try_from(MODEL).unwrap();
    let account = AccountName::try_from("test").unwrap();
    let model = ModelName::try_from(MODEL).unwrap();
    let version = VersionName::try_from(VERSION).unwrap();
    let mut composer = Model::new(&model, &service, &version);
    composer.adapters = vec!["kirk".to_owned()];
    Document {
        accounts: vec![Account::new(&account, KeyHash::of(KEY), 1_000)],
        services: vec![Service::new(&service, ServiceKind::Generation)],
        models: vec![composer],
        ..Document::default()
    }
}

/// Status and code of an error response, whose body must have a message and a type.
fn error(reply: &Reply) -> (u16, String) {
    let value: Value = serde_json::from_slice(&reply.body).unwrap();
    let error = &value["error"];
    assert!(error["message"].is_string() && error["type"].is_string(), "{value}");
    (reply.status.as_u16(), error["code"].as_str().unwrap().to_owned())
}

#[tokio::test]
async fn bad_bodies_get_typed_errors() {
    let fixture = Fixture::start().await;
    let cases = [
        ("{", 400, "invalid_body"),
        ("[]", 400, "invalid_body"),
        ("{\"model\":\"composer\"}", 400, "invalid_body"),
        ("{\"model\":\"unknown\",\"prompt\":\"p\"}", 404, "model_not_found"),
        ("{\"model\":\"composer:other\",\"prompt\":\"p\"}", 404, "model_not_found"),
        ("{\"model\":\"composer\",\"prompt\":[\"a\",\"b\"]}", 400, "invalid_value"),
        ("{\"model\":\"composer\",\"prompt\":\"p\",\"max_tokens\":0}", 400, "invalid_value"),
        ("{\"model\":\"composer\",\"prompt\":\"p\",\"max_tokens\":1001}", 400, "invalid_value"),
        ("{\"model\":\"composer\",\"prompt\":\"p\",\"max_tokens\":-1}", 400, "invalid_body"),
        ("{\"model\":\"composer\",\"prompt\":\"p\",\"temperature\":9}", 400, "invalid_value"),
        ("{\"model\":\"composer\",\"prompt\":\"p\",\"n\":3}", 400, "invalid_value"),
    ];
    for (body, status, code) in cases {
        assert_eq!(error(&fixture.post(body).await), (status, code.to_owned()), "{body}");
    }
    let large = format!("{{\"model\":\"composer\",\"prompt\":\"{}\"}}", "x".repeat(70_000));
    assert_eq!(error(&fixture.post(&large).await), (413, "body_too_large".to_owned()));
    assert!(fixture.is_serving().await);
    fixture.close().await;
}

#[tokio::test]
async fn wrong_routes_methods_and_keys_get_typed_errors() {
    let fixture = Fixture::start().await;
    let client = fixture.client();
    let reply = client.send(Method::GET, "/v2/unknown").await.unwrap();
    assert_eq!(error(&reply), (404, "unknown_route".to_owned()));
    let reply = client.send(Method::GET, "/v1/completions").await.unwrap();
    assert_eq!(error(&reply), (405, "method_not_allowed".to_owned()));
    let reply = client.send(Method::POST, "/v1/models").await.unwrap();
    assert_eq!(error(&reply), (405, "method_not_allowed".to_owned()));
    let reply = client.send(Method::GET, "/services/unknown/status").await.unwrap();
    assert_eq!(error(&reply), (404, "service_not_found".to_owned()));
    for client in [
        Client::new(fixture.addr(), 5_000),
        Client::new(fixture.addr(), 5_000).with_bearer_key("wrong"),
    ] {
        let reply = client.send(Method::GET, "/v1/models").await.unwrap();
        assert_eq!(error(&reply), (401, "invalid_api_key".to_owned()));
    }
    fixture.close().await;
}

#[tokio::test]
async fn bytes_that_are_not_http_do_not_affect_other_callers() {
    let fixture = Fixture::start().await;
    for bytes in [&b"\x00\x01\x02\x03\r\n\r\n"[..], b"GET / HTTP/9.9\r\n\r\n", b"POST /v1/comp"] {
        let mut stream = TcpStream::connect(fixture.addr()).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        stream.shutdown().await.unwrap();
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
    }
    assert!(fixture.is_serving().await);
    fixture.close().await;
}

/// Sends valid requests in which up to three bytes are replaced at random, from a fixed seed. None may cause an
/// internal error.
#[tokio::test]
async fn mutated_requests_do_not_affect_other_callers() {
    let fixture = Fixture::start().await;
    let mut g = Gen::from_size_and_seed(64, 1);
    let body = "{\"model\":\"composer\",\"prompt\":\"p\",\"max_tokens\":2,\"stream\":true}";
    let ids = ["g-1/1-ff/entry-1/-/4294967295", "g-1/4294967296-0/entry-1/entry-2/0", "////"];
    for _ in 0..200 {
        let id = g.choose(&ids).unwrap();
        let mut bytes = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: e\r\nconnection: close\r\n\
             authorization: Bearer {KEY}\r\nlast-event-id: {id}\r\nidempotency-key: k-1\r\n\
             x-request-id: r-1\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes();
        for _ in 0..usize::arbitrary(&mut g) % 4 {
            let at = usize::arbitrary(&mut g) % bytes.len();
            bytes[at] = u8::arbitrary(&mut g);
        }
        let mut stream = TcpStream::connect(fixture.addr()).await.unwrap();
        let _ = stream.write_all(&bytes).await;
        let _ = stream.shutdown().await;
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        let text = String::from_utf8_lossy(&answer);
        assert!(!text.starts_with("HTTP/1.1 500"), "{text}");
    }
    assert!(fixture.is_serving().await);
    fixture.close().await;
}

/// Guards against a refusal after which the entry closes the connection without saying so: the caller loses the next
/// request that it sends on the connection.
#[tokio::test]
async fn a_refusal_before_the_body_does_not_cost_the_next_request() {
    let fixture = Fixture::start().await;
    for (path, key, length) in
        [("/none", KEY, 10), ("/v1/completions", "unknown", 10), ("/v1/completions", KEY, 100_000)]
    {
        let mut stream = TcpStream::connect(fixture.addr()).await.unwrap();
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {key}\r\n\
             Content-Length: {length}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(30)).await;
        stream.write_all(&vec![b'x'; length]).await.unwrap();
        let mut buffer = [0; 4096];
        let size = stream.read(&mut buffer).await.unwrap();
        let answer = String::from_utf8_lossy(&buffer[..size]).to_lowercase();
        assert!(answer.starts_with("http/1.1 4"), "{path}: {answer:?}");
        if answer.contains("connection: close") {
            continue;
        }
        stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
        let size = stream.read(&mut buffer).await.unwrap();
        let next = String::from_utf8_lossy(&buffer[..size]);
        assert!(next.starts_with("HTTP/1.1 200 "), "{path}: {answer:?}, then {next:?}");
    }
}
