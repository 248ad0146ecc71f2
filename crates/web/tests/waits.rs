//! Guards against server timeouts that slow callers evade, or that close connections too early.

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::{Request, Response, body::Frame, body::Incoming};
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    task::JoinHandle,
};
use web::{AbortedBody, Handler, ResponseBody, Server, ServerLimits};

/// Pause before each part of the slow response, in milliseconds.
const PART_PAUSE_MS: u64 = 120;

/// Size of the response to `/large`, in bytes. It exceeds what the kernel buffers for a connection.
const LARGE_BYTES: usize = 24_000_000;

/// Answers `/slow` with five parts after a pause each, `/large` with a large body, and any other path at once with `ok`.
struct PartsHandler;

impl Handler for PartsHandler {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        if request.uri().path() == "/large" {
            return Response::new(web::full(vec![b'x'; LARGE_BYTES]));
        }
        if request.uri().path() != "/slow" {
            return Response::new(web::full("ok"));
        }
        let parts = futures::stream::unfold(0, |part| async move {
            if part == 5 {
                return None;
            }
            tokio::time::sleep(Duration::from_millis(PART_PAUSE_MS)).await;
            let frame = Frame::data(Bytes::from_static(b"part"));
            Some((Ok::<_, AbortedBody>(frame), part + 1))
        });
        Response::new(StreamBody::new(parts).boxed_unsync())
    }
}

/// Server on a free loopback port, with limits that the test may change.
struct RunningServer {
    addr: SocketAddr,
    limits: watch::Sender<ServerLimits>,
    stop: watch::Sender<bool>,
    server: JoinHandle<()>,
}

impl RunningServer {
    async fn start(headers_timeout_ms: u64, idle_timeout_ms: u64) -> Self {
        let limits =
            ServerLimits { headers_timeout_ms, idle_timeout_ms, ..ServerLimits::default() };
        let (limits, receiver) = watch::channel(limits);
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = Server::with_limits(any_port, receiver).await.unwrap();
        let addr = server.local_addr().unwrap();
        let (stop, stopped) = watch::channel(false);
        let server = tokio::spawn(server.run(Arc::new(PartsHandler), stopped));
        Self { addr, limits, stop, server }
    }

    async fn close(self) {
        self.stop.send_replace(true);
        self.server.await.unwrap();
    }
}

/// Returns the time until the server closes the connection, in milliseconds, or `None` if it is still open after 2 s.
async fn closed_after_ms(stream: &mut TcpStream) -> Option<u128> {
    let begin = Instant::now();
    let mut buffer = [0; 1024];
    let closed = async { while !matches!(stream.read(&mut buffer).await, Ok(0) | Err(_)) {} };
    let closed = tokio::time::timeout(Duration::from_secs(2), closed).await;
    closed.ok().map(|()| begin.elapsed().as_millis())
}

/// Sends a request and returns its response as text, read up to the last part or to the end of the connection.
async fn get(stream: &mut TcpStream, path: &str) -> String {
    let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let mut buffer = [0; 1024];
    loop {
        let size = stream.read(&mut buffer).await.unwrap_or(0);
        answer.extend_from_slice(&buffer[..size]);
        let text = String::from_utf8_lossy(&answer);
        if size == 0 || text.ends_with("ok") || text.ends_with("0\r\n\r\n") {
            return text.into_owned();
        }
    }
}

/// Guards against a caller that keeps a connection open by sending headers byte by byte, each within the timeout.
#[tokio::test]
async fn slow_headers_time_out() {
    let running = RunningServer::start(300, 10_000).await;
    let mut stream = TcpStream::connect(running.addr).await.unwrap();
    let begin = Instant::now();
    let mut is_open = true;
    for _ in 0..20 {
        is_open = is_open && stream.write_all(b"G").await.is_ok();
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(closed_after_ms(&mut stream).await.is_some(), "open after {:?}", begin.elapsed());
    running.close().await;
}

/// Guards against closing an idle connection after the timeout for headers, which is the shorter one here.
#[tokio::test]
async fn an_idle_connection_has_its_own_timeout() {
    let running = RunningServer::start(100, 600).await;
    let mut stream = TcpStream::connect(running.addr).await.unwrap();
    assert!(get(&mut stream, "/").await.ends_with("ok"));
    tokio::time::sleep(Duration::from_millis(350)).await;
    assert!(get(&mut stream, "/").await.ends_with("ok"));
    let open_ms = closed_after_ms(&mut stream).await.expect("the connection is closed within 2 s");
    assert!(open_ms >= 500, "closed after {open_ms} ms");
    running.close().await;
}

/// Guards against counting the duration of a response as idle time.
#[tokio::test]
async fn a_slow_response_does_not_count_as_idle_time() {
    let running = RunningServer::start(100, 200).await;
    let mut stream = TcpStream::connect(running.addr).await.unwrap();
    let answer = get(&mut stream, "/slow").await;
    assert_eq!(answer.matches("part").count(), 5, "{answer}");
    assert!(closed_after_ms(&mut stream).await.is_some(), "the connection stays open");
    running.close().await;
}

/// Guards against open connections that keep the timeout of an earlier configuration.
#[tokio::test]
async fn a_new_limit_applies_to_open_connections() {
    let running = RunningServer::start(100, 300).await;
    let mut stream = TcpStream::connect(running.addr).await.unwrap();
    assert!(get(&mut stream, "/").await.ends_with("ok"));
    running.limits.send_modify(|limits| limits.idle_timeout_ms = 1_200);
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert!(get(&mut stream, "/").await.ends_with("ok"));
    running.close().await;
}

/// Guards against cutting an answer off that the caller reads more slowly than the idle timeout.
#[tokio::test]
async fn a_slow_reader_gets_its_whole_answer() {
    let running = RunningServer::start(100, 300).await;
    let mut stream = TcpStream::connect(running.addr).await.unwrap();
    stream.write_all(b"GET /large HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
    let mut received_bytes = 0;
    let mut buffer = vec![0; 1_500_000];
    while received_bytes < LARGE_BYTES {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let size = stream.read(&mut buffer).await.expect("the connection is not reset");
        assert!(size > 0, "the answer ended after {received_bytes} bytes");
        received_bytes += size;
        if buffer.len() > 400_000 && received_bytes > 3_000_000 {
            tokio::time::sleep(Duration::from_millis(700)).await;
            buffer.truncate(400_000);
        }
    }
    assert!(closed_after_ms(&mut stream).await.is_some(), "the connection stays open");
    running.close().await;
}

/// Guards against closing a connection under a request that arrives before the end of the idle timeout, beside changes
/// of that timeout.
#[tokio::test]
async fn requests_before_the_idle_timeout_are_answered_beside_its_changes() {
    const SHORT_MS: u64 = 400;
    const LONG_MS: u64 = 800;
    let running = RunningServer::start(100, SHORT_MS).await;
    let addr = running.addr;
    let callers = (0..40_u64).map(|caller| async move {
        tokio::time::sleep(Duration::from_millis(caller * 9)).await;
        let mut stream = TcpStream::connect(addr).await.unwrap();
        for round in 0..10 {
            let answer = get(&mut stream, "/").await;
            assert!(answer.ends_with("ok"), "caller={caller} round={round}: {answer:?}");
            tokio::time::sleep(Duration::from_millis(SHORT_MS * 4 / 5)).await;
        }
    });
    let changes = async {
        for round in 0..25 {
            tokio::time::sleep(Duration::from_millis(131)).await;
            let timeout_ms = if round % 2 == 0 { LONG_MS } else { SHORT_MS };
            running.limits.send_modify(|limits| limits.idle_timeout_ms = timeout_ms);
        }
    };
    futures::future::join(futures::future::join_all(callers), changes).await;
    running.close().await;
}

/// Guards against refusing headers that the new limit allows on a connection from before the change.
#[tokio::test]
async fn a_larger_limit_for_headers_applies_to_open_connections() {
    let running = RunningServer::start(1_000, 5_000).await;
    running.limits.send_modify(|limits| limits.headers_size_bytes = 9_000);
    let mut stream = TcpStream::connect(running.addr).await.unwrap();
    assert!(get(&mut stream, "/").await.ends_with("ok"));
    running.limits.send_modify(|limits| limits.headers_size_bytes = 60_000);
    let padding = "x".repeat(50_000);
    let request = format!("GET / HTTP/1.1\r\nHost: a\r\nPadding: {padding}\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut buffer = [0; 1024];
    let size = stream.read(&mut buffer).await.unwrap();
    let answer = String::from_utf8_lossy(&buffer[..size]);
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    running.close().await;
}
