//! Guards against answers of plain services and journals of other daemons, by which a daemon with the product's own interface
//! outgrows the memory of its VM.
//!
//! The numbers of callers and the bounds were fixed on the code without an account of them.

mod common;

use base::{AccountName, DomainName, KeyHash, ServiceName, VmId};
use common::{DaemonProcess, FILE_DESCRIPTORS, MEMORY_MB, Sending, SilentCallers, Usage};
use fleet::{Account, Document, Service, ServiceKind};
use peer::{ConfigRevision, PeerNode, PeerOptions, PeerService, ReplicaSummary};
use recovery::{
    Append, AppendStatus, ClaimError, Cursor, Journal, Replica, ReplicaHeader, View, ViewId,
};
use stand::{Platform, PlatformSettings};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{io::AsyncWriteExt, net::TcpListener, runtime::Runtime};
use wire::platform::{Vm, VmRole, VmState};

/// Time for which callers send, in which the usage is observed.
const ATTACK: Duration = Duration::from_secs(5);

/// Size of an answer of the plain service.
const ANSWER_BYTES: usize = 2 * 1024 * 1024;

/// Memory that a process may keep of a load that has ended.
const KEPT_MEMORY_BYTES: u64 = 24 * 1024 * 1024;

/// Key of the client account.
const KEY: &str = "test-key";

/// The tests run one at a time, because each one observes a process under load.
static ALONE: Mutex<()> = Mutex::new(());

fn limits() -> String {
    format!("[limits]\nmemory_mb = {MEMORY_MB}\nfile_descriptors = {FILE_DESCRIPTORS}\n")
}

fn check(peak: Usage) {
    println!("peak={peak:?}");
    assert!(peak.memory_bytes <= MEMORY_MB * 1024 * 1024, "{peak:?}");
    // 200 of the descriptors are for files.
    assert!(peak.descriptors <= FILE_DESCRIPTORS - 200, "{peak:?}");
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n\r\n")
}

/// Answers of a plain service are held completely until their callers have read them.
#[test]
fn large_answers_of_a_plain_service_that_nobody_reads() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = Runtime::new().unwrap();
    let platform = runtime.block_on(async {
        let platform = Platform::start(PlatformSettings::default()).await.unwrap();
        platform.put("config/current", &document().encode().unwrap());
        platform.set_vms(vec![desk(large_answers().await)]);
        platform
    });
    let daemon = DaemonProcess::run_with_platform(platform.addr(), &limits(), FILE_DESCRIPTORS);
    daemon.wait_for_answer(&get("/services/desk/x"));
    let start = daemon.usage();
    let sending = Sending::Repeated(get("/services/desk/x"), 4_000);
    let callers = SilentCallers::start(daemon.addr, 60, sending);
    let peak = daemon.peak_usage(ATTACK);
    println!("start={start:?}");
    check(peak);
    drop(callers);
    daemon.wait_for_answer(&get("/services/desk/x"));
    daemon.wait_until_below(Usage {
        memory_bytes: start.memory_bytes + KEPT_MEMORY_BYTES,
        descriptors: start.descriptors + 40,
    });
}

fn document() -> Document {
    let service = ServiceName::try_from("desk").unwrap();
    let account = AccountName::try_from("test").unwrap();
    Document {
        accounts: vec![Account::new(&account, KeyHash::of(KEY), 100_000)],
        services: vec![Service::new(&service, ServiceKind::Plain)],
        ..Document::default()
    }
}

/// Live VM of the plain service in the list of VMs.
fn desk(addr: SocketAddr) -> Vm {
    Vm {
        id: VmId::try_from("desk-1").unwrap(),
        role: VmRole::Service,
        service: Some(ServiceName::try_from("desk").unwrap()),
        domain: DomainName::try_from("a").unwrap(),
        addr,
        peer_addr: None,
        state: VmState::Live,
    }
}

/// Starts an upstream whose answers have `ANSWER_BYTES`.
async fn large_answers() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n{}",
        "x".repeat(ANSWER_BYTES)
    );
    let answer: Arc<str> = answer.into();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = Arc::clone(&answer);
            tokio::spawn(async move {
                let mut buffer = Vec::new();
                while platform_stand::read_head(&mut stream, &mut buffer).await.is_some() {
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

/// Journals that a daemon holds for others are within its memory; others are refused, and their owners choose another
/// holder.
#[test]
fn journals_of_other_daemons() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let sections = format!("{}[peer]\nlisten = \"127.0.0.1:0\"\n", limits());
    let daemon = DaemonProcess::run(&sections, FILE_DESCRIPTORS);
    let holder = daemon.peer_addr.expect("the daemon has a server for peers");
    let options = PeerOptions { timeout_ms: 5_000, ..PeerOptions::default() };
    let node = PeerNode::start("127.0.0.1:0".parse().unwrap(), options, Arc::new(NoService));
    let node = node.unwrap();
    let runtime = Runtime::new().unwrap();
    let statuses: Vec<AppendStatus> = runtime.block_on(async {
        let mut statuses = Vec::new();
        for number in 0..100 {
            statuses.push(node.handle().append(holder, install(number)).await.unwrap());
        }
        statuses
    });
    let accepted = statuses.iter().filter(|status| **status == AppendStatus::Accepted).count();
    println!("accepted={accepted} of {}", statuses.len());
    assert!(accepted > 0 && statuses.contains(&AppendStatus::Full), "accepted={accepted}");
    check(daemon.usage());
    assert!(daemon.ask(&get("/healthz")).is_some_and(|answer| answer.starts_with("HTTP/1.1 200 ")));
    runtime.block_on(node.close());
}

/// Installs a journal of about 1 MiB.
fn install(number: usize) -> Append {
    let owner = VmId::try_from("vm-2").unwrap();
    let view = ViewId { number: 1, nonce: 7, owner };
    let header = ReplicaHeader {
        account: AccountName::try_from("test").unwrap(),
        request: vec![b'x'; 1024 * 1024].into(),
        views: vec![View { id: view.clone(), first_index: 0 }],
    };
    Append {
        generation: format!("gen-{number}").into(),
        view,
        first_index: 0,
        tokens: Journal::default(),
        install: Some(header),
        finish: None,
    }
}

/// Daemon that holds nothing for others.
struct NoService;

impl PeerService for NoService {
    fn append(&self, _append: &Append) -> AppendStatus {
        AppendStatus::Full
    }

    fn claim(
        &self,
        _cursor: &Cursor,
        _account: &AccountName,
        _owner: &VmId,
        _nonce: u32,
    ) -> Result<Replica, ClaimError> {
        Err(ClaimError::Unknown)
    }

    fn fetch(
        &self,
        _cursor: &Cursor,
        _account: &AccountName,
    ) -> Result<ReplicaSummary, ClaimError> {
        Err(ClaimError::Unknown)
    }

    fn heartbeat(&self, _body: &[u8]) -> Vec<u8> {
        Vec::new()
    }

    fn config(&self, _after_revision: u64) -> Option<ConfigRevision> {
        None
    }
}
