//! Guards against callers that pipeline requests and read nothing, by which a daemon outgrows the memory or the
//! descriptors of its VM. Load addressed: the trial in which 700 such connections took 47 MB and 3,000 took 179 MB.
//!
//! The numbers of callers and the bounds were fixed on the code without an account of connections.

mod common;

use common::{DaemonProcess, FILE_DESCRIPTORS, MEMORY_MB, Sending, SilentCallers, Usage};
use platform_stand::{Behaviour, FakeStore, FakeUpstream, config};
use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use tokio::{io::AsyncWriteExt, net::TcpListener, runtime::Runtime};

/// Time for which callers send, in which the usage is observed.
const ATTACK: Duration = Duration::from_secs(5);

/// What a process may keep of a load that has ended: memory that the allocator does not return.
const KEPT_MEMORY_BYTES: u64 = 16 * 1024 * 1024;

/// Descriptors that may stay open after a load: connections to upstreams and the store.
const KEPT_DESCRIPTORS: usize = 40;

/// Size of an answer of `LargeAnswers`.
const LARGE_ANSWER_BYTES: usize = 300_000;

/// The tests run one at a time, because each one observes a process under load.
static ALONE: Mutex<()> = Mutex::new(());

/// Daemon process with a store, an engine and a plain service in this process.
struct Stand {
    daemon: DaemonProcess,
    store: FakeStore,
    engine: FakeUpstream,
    desk: FakeUpstream,
    start: Usage,
    _runtime: Runtime,
    _alone: MutexGuard<'static, ()>,
}

impl Stand {
    fn start() -> Self {
        let alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
        let runtime = Runtime::new().unwrap();
        let (store, engine, desk) = runtime.block_on(async {
            let store = FakeStore::start().await;
            let (engine, desk) = (FakeUpstream::start("e").await, FakeUpstream::start("d").await);
            store.put("servers/e", &engine.entry("engines", "a", "ready"));
            store.put("servers/d", &desk.entry("desk", "a", "ready"));
            store.put(platform::KEYS.config, &config(1));
            (store, engine, desk)
        });
        let daemon = DaemonProcess::serve(store.addr);
        daemon.wait_for_answer(&ordinary("r0"));
        let start = daemon.usage();
        Self { daemon, store, engine, desk, start, _runtime: runtime, _alone: alone }
    }

    /// Lets `count` callers send, and checks that the process lives, stays within its limits, answers an ordinary
    /// request beside them and after them, and is small again afterwards.
    fn withstand(&self, addr: SocketAddr, count: usize, sending: Sending) {
        self.withstand_with(addr, count, sending, || {});
    }

    /// Like `withstand`, with an event in the middle of the load.
    fn withstand_with(
        &self,
        addr: SocketAddr,
        count: usize,
        sending: Sending,
        event: impl FnOnce(),
    ) {
        let callers = SilentCallers::start(addr, count, sending);
        let mut peak = self.daemon.peak_usage(ATTACK / 2);
        event();
        peak = peak.max(self.daemon.peak_usage(ATTACK / 2));
        println!("start={:?} peak={peak:?}", self.start);
        self.check(peak);
        self.daemon.wait_for_answer(&ordinary("beside"));
        drop(callers);
        self.daemon.wait_for_answer(&ordinary("after"));
        self.daemon.wait_until_below(Usage {
            memory_bytes: self.start.memory_bytes + KEPT_MEMORY_BYTES,
            descriptors: self.start.descriptors + KEPT_DESCRIPTORS,
        });
    }

    fn check(&self, peak: Usage) {
        assert!(peak.memory_bytes <= MEMORY_MB * 1024 * 1024, "{peak:?}");
        // 200 of the descriptors are for files.
        assert!(peak.descriptors <= FILE_DESCRIPTORS - 200, "{peak:?}");
    }
}

/// Request of an ordinary caller.
fn ordinary(id: &str) -> String {
    request("GET", "/read/x", id, "")
}

fn request(method: &str, path: &str, id: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nCredential: key-1\r\nRequest-Attempt-Id: {id}\r\n\
         Deadline-Remaining: 6000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Bodies that are announced and never sent hold the room for bodies until their time is over, so that an ordinary caller's
/// body finds none.
#[test]
fn bodies_that_are_never_sent() {
    let stand = Stand::start();
    let config = config(2)
        .replace("\"max_body_bytes\":65536", "\"max_body_bytes\":2097152")
        .replace("\"timeout_ms\":1000", "\"timeout_ms\":8000");
    stand.store.put(platform::KEYS.config, &config);
    std::thread::sleep(Duration::from_secs(3));
    let announced = "POST /book/x HTTP/1.1\r\nHost: a.example\r\nCredential: key-1\r\nRequest-Attempt-Id: b\r\n\
        Deadline-Remaining: 8000\r\nContent-Length: 2097152\r\n\r\nx";
    let callers = SilentCallers::start(stand.daemon.addr, 14, Sending::Once(announced.to_owned()));
    std::thread::sleep(Duration::from_secs(1));
    let body = "x".repeat(2 << 20);
    let answer = stand.daemon.ask(&request("POST", "/book/x", "large", &body));
    let answer = answer.unwrap_or_default();
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    drop(callers);
    stand.check(stand.daemon.usage());
    stand.daemon.wait_for_answer(&ordinary("after"));
}

/// While a request waits for its answer, the kernel takes more of them, each with large headers.
#[test]
fn many_requests_behind_a_waiting_one() {
    let stand = Stand::start();
    stand.engine.set_behaviours(&[Behaviour::StallAfter(3); 1_000]);
    let large = request("POST", "/long/x", "p", "body").replacen(
        "\r\n",
        &format!("\r\nx: {}\r\n", "x".repeat(8_000)),
        1,
    );
    stand.withstand(stand.daemon.addr, 400, Sending::Repeated(large, 8 << 20));
}

/// Many connections: the buffers of each one add up, and so do the descriptors.
#[test]
fn many_requests_on_many_connections() {
    let stand = Stand::start();
    let sending = Sending::Repeated(request("GET", "/read/x", "p", ""), 400_000);
    stand.withstand(stand.daemon.addr, 600, sending);
}

/// Answers without a body, which the HTTP library collects without a limit.
#[test]
fn many_refused_requests() {
    let stand = Stand::start();
    let refused = "GET /none HTTP/1.1\r\nHost: x\r\n\r\n".to_owned();
    stand.withstand(stand.daemon.addr, 200, Sending::Repeated(refused, 2 << 20));
}

#[test]
fn many_requests_with_bodies() {
    let stand = Stand::start();
    let sending = Sending::Repeated(request("POST", "/book/x", "p", &"x".repeat(60_000)), 8 << 20);
    stand.withstand(stand.daemon.addr, 300, sending);
}

#[test]
fn streams_that_nobody_reads() {
    let stand = Stand::start();
    let sending = Sending::Repeated(request("POST", "/long/x", "p", "body"), 400_000);
    stand.withstand(stand.daemon.addr, 400, sending);
}

/// Answers above 64 KiB, which the daemon passes on as they arrive.
#[test]
fn large_answers_that_nobody_reads() {
    let stand = Stand::start();
    let addr = stand._runtime.block_on(large_answers());
    stand.store.put("servers/d", &stand.desk.entry_at(addr, "desk", "a", "ready"));
    std::thread::sleep(Duration::from_secs(3));
    let sending = Sending::Repeated(request("GET", "/read/x", "p", ""), 400_000);
    stand.withstand(stand.daemon.addr, 200, sending);
}

/// Starts an upstream whose answers have `LARGE_ANSWER_BYTES`.
async fn large_answers() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buffer = Vec::new();
                while let Some(head) = platform_stand::read_head(&mut stream, &mut buffer).await {
                    let id = head.get("request-attempt-id").unwrap_or_default();
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: {id}\r\nServer-Stamp: stamp-d\r\n\
                         Content-Length: {LARGE_ANSWER_BYTES}\r\n\r\n{}",
                        "x".repeat(LARGE_ANSWER_BYTES)
                    );
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

/// Bodies for an upstream that reads nothing wait at the daemon until their deadline.
#[test]
fn bodies_for_an_upstream_that_does_not_read() {
    let stand = Stand::start();
    let addr = stand._runtime.block_on(deaf_upstream());
    let config = config(2)
        .replace("\"max_body_bytes\":65536", "\"max_body_bytes\":1048576")
        .replace("\"timeout_ms\":1000", "\"timeout_ms\":8000");
    stand.store.put(platform::KEYS.config, &config);
    let entry = stand.desk.entry_at(addr, "deaf", "a", "ready");
    stand.store.put("servers/deaf", &entry);
    stand.store.put(platform::KEYS.config, &deaf_route(&config));
    std::thread::sleep(Duration::from_secs(3));
    let body = "x".repeat(1_000_000);
    let sending = Sending::Repeated(request("POST", "/deaf/x", "p", &body), 1_100_000);
    stand.withstand(stand.daemon.addr, 100, sending);
}

/// Configuration with a route to the service `deaf`.
fn deaf_route(config: &str) -> String {
    let route = r#"{"name":"deaf","host":"a.example","path_prefix":"/deaf/","kind":"non_idempotent","timeout_ms":8000,
        "target_latency_ms":100,"service":"deaf","attempts":1},{"name":"long""#;
    config
        .replace("\"version\":2", "\"version\":3")
        .replacen("{\"name\":\"long\"", route, 1)
        .replacen(
            "{\"name\":\"desk\"",
            "{\"name\":\"deaf\",\"connection_limit\":96},{\"name\":\"desk\"",
            1,
        )
}

/// Starts an upstream that accepts connections and reads nothing.
async fn deaf_upstream() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut streams = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            streams.push(stream);
        }
    });
    addr
}

/// Heads that never end hold a descriptor each.
#[test]
fn heads_that_never_end() {
    let stand = Stand::start();
    let sending = Sending::Dribbled("GET /read/x HTTP/1.1\r\nx: ".to_owned());
    stand.withstand(stand.daemon.addr, 900, sending);
}

#[test]
fn idle_connections() {
    let stand = Stand::start();
    stand.withstand(stand.daemon.addr, 900, Sending::Once(ordinary("idle")));
}

/// The ports that are not for callers have the same limits together with theirs.
#[test]
fn many_requests_at_the_other_ports() {
    let stand = Stand::start();
    let metrics = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n".to_owned();
    let sending = Sending::Repeated(metrics, 400_000);
    let addrs = [&stand.daemon.internal_addrs[..], &[stand.daemon.ready_addr]].concat();
    for addr in addrs {
        stand.withstand(addr, 300, sending.clone());
    }
}

/// Idle connections fill a port that is not for callers, so that the balancer finds the daemon not ready, or its metrics
/// and the copies of the store's items cannot be read.
#[test]
fn idle_connections_at_the_other_ports() {
    let stand = Stand::start();
    let get = |path: &str| format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n");
    let [metrics, relay] = stand.daemon.internal_addrs[..] else { panic!("two internal ports") };
    let ports =
        [(stand.daemon.ready_addr, "/"), (metrics, "/metrics"), (relay, "/v1/kv-range?prefix=")];
    for (addr, path) in ports {
        let callers = SilentCallers::start(addr, 100, Sending::Once(get(path)));
        std::thread::sleep(Duration::from_secs(1));
        // One request, as of a probe: the idle connections must not keep it out until they time out.
        let answer = DaemonProcess::ask_at(addr, &get(path)).unwrap_or_default();
        assert!(answer.starts_with("HTTP/1.1 200 "), "{path}: {answer}");
        drop(callers);
    }
    stand.check(stand.daemon.usage());
}

#[test]
fn a_change_of_the_configuration_beside_many_callers() {
    let stand = Stand::start();
    let sending = Sending::Repeated(request("GET", "/read/x", "p", ""), 400_000);
    stand.withstand_with(stand.daemon.addr, 600, sending, || {
        stand.store.put(platform::KEYS.config, &config(2));
    });
}

/// Answers of the store are held while they arrive, so that callers leave room for them.
#[test]
fn answers_of_the_store_are_in_the_account() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = Runtime::new().unwrap();
    let daemon = DaemonProcess::serve(runtime.block_on(slow_store()));
    let end = Instant::now() + Duration::from_secs(10);
    while daemon.metric("kept_bytes ").is_none_or(|bytes| bytes < 1e6) {
        assert!(Instant::now() < end, "an answer of the store is not counted");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Starts a store whose answers have 8 MiB and arrive within some seconds.
async fn slow_store() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buffer = Vec::new();
                if platform_stand::read_head(&mut stream, &mut buffer).await.is_none() {
                    return;
                }
                let head = "HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: 8388608\r\n\r\n";
                let mut is_open = stream.write_all(head.as_bytes()).await.is_ok();
                while is_open {
                    is_open = stream.write_all(&[b' '; 64 * 1024]).await.is_ok();
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            });
        }
    });
    addr
}

/// A stop must end within its grace, although nobody reads the answers.
#[test]
fn a_stop_beside_many_callers() {
    let mut stand = Stand::start();
    stand.engine.set_behaviours(&[Behaviour::StallAfter(3); 1_000]);
    let streams = Sending::Repeated(request("POST", "/long/x", "p", "body"), 400_000);
    let calls = Sending::Repeated(request("GET", "/read/x", "p", ""), 400_000);
    let _streams = SilentCallers::start(stand.daemon.addr, 300, streams);
    let _calls = SilentCallers::start(stand.daemon.addr, 300, calls);
    let peak = stand.daemon.peak_usage(ATTACK / 2);
    println!("start={:?} peak={peak:?}", stand.start);
    assert!(stand.daemon.stop().success());
    stand.check(peak);
}

/// The product's own interface, whose limits are the defaults of its settings: 512 MB and 4,096 descriptors.
#[test]
fn many_requests_at_the_own_interface() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let daemon = DaemonProcess::run("", 4_096);
    let start = daemon.usage();
    let refused = "GET /none HTTP/1.1\r\nHost: x\r\n\r\n".to_owned();
    let callers = SilentCallers::start(daemon.addr, 3_000, Sending::Repeated(refused, 1 << 20));
    let peak = daemon.peak_usage(ATTACK);
    println!("start={start:?} peak={peak:?}");
    assert!(peak.memory_bytes <= 512 * 1024 * 1024, "{peak:?}");
    assert!(peak.descriptors <= 4_096 - 200, "{peak:?}");
    assert!(daemon.ask("GET /none HTTP/1.1\r\nHost: x\r\n\r\n").is_some());
    drop(callers);
    daemon.wait_until_below(Usage {
        memory_bytes: start.memory_bytes + 64 * 1024 * 1024,
        descriptors: start.descriptors + KEPT_DESCRIPTORS,
    });
}
