//! Guards against engines that look silent because a caller reads its stream slowly.

use base::{AccountName, DomainName, KeyHash, ModelName, ServiceName, VersionName, VmId};
use conf::Settings;
use entry::Entry;
use fleet::{Account, Document, Model, Service, ServiceKind};
use serde_json::{Value, json};
use stand::{Engine, EngineSettings, Platform, PlatformSettings};
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
};
use web::{Client, Method};
use wire::platform::{Vm, VmRole, VmState};

const KEY: &str = "test-key";
const MODEL: &str = "composer";

/// Number of tokens of the answer, whose events exceed the buffers between the entry and the caller.
const TOKENS: usize = 8_000;

/// Time for which the caller reads nothing before the other requests come. It is longer than any silence after which an engine
/// counts as one that does not respond.
const STALL: Duration = Duration::from_secs(3);

/// Number of other requests, all at once, so that an engine that is not avoided gets some of them.
const OTHERS: usize = 16;

/// The entry cannot read the tokens as long as the caller reads none. On the code before, the engine counted as one that does
/// not respond, and all other requests avoided it.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_reads_slowly_does_not_make_its_engine_look_silent() {
    let platform = Platform::start(PlatformSettings::default()).await.unwrap();
    let mut engines = Vec::new();
    for _ in 0..2 {
        let settings = EngineSettings { token_gap_ms: 1, ..EngineSettings::default() };
        engines.push(Engine::start(settings).await.unwrap());
    }
    platform.put("config/current", &document().encode().unwrap());
    platform.set_vms(engines.iter().enumerate().map(|(number, one)| vm(number, one)).collect());
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
    let body =
        json!({"model": MODEL, "prompt": "p", "max_tokens": TOKENS, "stream": true}).to_string();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: e\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut caller = TcpStream::connect(entry.addr()).await.unwrap();
    caller.write_all(head.as_bytes()).await.unwrap();
    tokio::time::sleep(STALL).await;
    let before = [requests(&engines[0]).await, requests(&engines[1]).await];
    assert_eq!(before.iter().sum::<u64>(), 1, "{before:?}");
    let mut others = JoinSet::new();
    for _ in 0..OTHERS {
        let client = Client::new(entry.addr(), 30_000).with_bearer_key(KEY);
        others.spawn(async move {
            let body = json!({"model": MODEL, "prompt": "q", "max_tokens": 100});
            let reply = client.send_json(Method::POST, "/v1/completions", &body).await.unwrap();
            assert_eq!(reply.status, 200);
        });
    }
    others.join_all().await;
    let after = [requests(&engines[0]).await, requests(&engines[1]).await];
    println!("requests before={before:?} after={after:?}");
    assert!(before.iter().zip(after).all(|(before, after)| after > *before), "{after:?}");
    let mut received = Vec::new();
    let mut part = vec![0; 64 * 1024];
    while !received.ends_with(b"\r\n0\r\n\r\n") {
        let size = caller.read(&mut part).await.unwrap();
        assert!(size > 0, "the stream ended early");
        received.extend_from_slice(&part[..size]);
    }
    let text = String::from_utf8_lossy(&received);
    assert!(text.contains("[DONE]") && !text.contains("\"error\""), "the answer is not whole");
    let at_end = requests(&engines[0]).await + requests(&engines[1]).await;
    assert_eq!(at_end, after.iter().sum::<u64>(), "the stream was moved");
    entry.close().await;
    for engine in engines {
        engine.kill().await;
    }
    platform.close().await;
}

/// Number of requests that an engine has received.
async fn requests(engine: &Engine) -> u64 {
    let client = Client::new(engine.addr(), 5_000);
    let state: Value = client.send(Method::GET, "/state").await.unwrap().json().unwrap();
    state["counters"]["requests"].as_u64().unwrap()
}

/// Live engine VM in the list of VMs.
fn vm(number: usize, engine: &Engine) -> Vm {
    Vm {
        id: VmId::try_from(format!("engine-{number}")).unwrap(),
        role: VmRole::Engine,
        service: Some(ServiceName::try_from(MODEL).unwrap()),
        domain: DomainName::try_from("lothian").unwrap(),
        addr: engine.addr(),
        peer_addr: None,
        state: VmState::Live,
    }
}

fn document() -> Document {
    let service = ServiceName::try_from(MODEL).unwrap();
    let account = AccountName::try_from("test").unwrap();
    let model = ModelName::try_from(MODEL).unwrap();
    let version = VersionName::try_from("v1").unwrap();
    Document {
        accounts: vec![Account::new(&account, KeyHash::of(KEY), 1_000)],
        services: vec![Service::new(&service, ServiceKind::Generation)],
        models: vec![Model::new(&model, &service, &version)],
        ..Document::default()
    }
}
