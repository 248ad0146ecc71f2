//! Guards against refusals that the caller loses because the server closes the connection under an unread body.

use hyper::{Request, Response, body::Incoming};
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
    time::timeout,
};
use web::{Handler, ResponseBody, Server, ServerLimits, StatusCode, read_body};

/// Size of a large body, in bytes.
const BODY_BYTES: usize = 400_000;

/// Panics on `/panic`, and refuses every other request: `/now` before its body is read, any other path once the body exceeds 10,000 bytes.
struct RefusingHandler;

impl Handler for RefusingHandler {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        assert!(request.uri().path() != "/panic", "this panic is part of the test");
        let mut status = StatusCode::NOT_FOUND;
        if request.uri().path() != "/now" && read_body(request.into_body(), 10_000).await.is_err() {
            status = StatusCode::PAYLOAD_TOO_LARGE;
        }
        let mut response = Response::new(web::full("refused"));
        *response.status_mut() = status;
        response
    }
}

struct RunningServer {
    addr: SocketAddr,
    stop: watch::Sender<bool>,
    server: JoinHandle<()>,
}

impl RunningServer {
    async fn start() -> Self {
        let (_, limits) = watch::channel(ServerLimits::default());
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = Server::with_limits(any_port, limits).await.unwrap();
        let addr = server.local_addr().unwrap();
        let (stop, stopped) = watch::channel(false);
        let server = tokio::spawn(server.run(Arc::new(RefusingHandler), stopped));
        Self { addr, stop, server }
    }

    /// Stops the server and returns the time until it has ended.
    async fn close(self) -> Duration {
        let begin = Instant::now();
        self.stop.send_replace(true);
        self.server.await.unwrap();
        begin.elapsed()
    }
}

/// Head of a request whose body is `BODY_BYTES` long, or chunked.
fn head(path: &str, is_chunked: bool) -> String {
    let framing = match is_chunked {
        true => "Transfer-Encoding: chunked".to_owned(),
        false => format!("Content-Length: {BODY_BYTES}"),
    };
    format!("POST {path} HTTP/1.1\r\nHost: a\r\n{framing}\r\n\r\n")
}

/// Body of `BODY_BYTES` as it is sent, in pieces.
fn pieces(is_chunked: bool) -> Vec<Vec<u8>> {
    let piece = vec![b'x'; 20_000];
    let chunk = [format!("{:x}\r\n", piece.len()).as_bytes(), &piece, b"\r\n"].concat();
    let mut pieces = vec![if is_chunked { chunk } else { piece }; BODY_BYTES / 20_000];
    if is_chunked {
        pieces.push(b"0\r\n\r\n".to_vec());
    }
    pieces
}

/// Sends a request whose body follows the head after `pause`, piece by piece with a pause each, and only then reads.
/// Returns everything that arrived before the end of the connection, or the error of the caller's socket. Many HTTP
/// clients drop what they have received if a write fails, so an error counts as a lost answer.
async fn answer_after_all_is_sent(
    addr: SocketAddr,
    path: &str,
    is_chunked: bool,
    pause: Duration,
) -> String {
    let mut caller = TcpStream::connect(addr).await.unwrap();
    caller.write_all(head(path, is_chunked).as_bytes()).await.unwrap();
    for piece in pieces(is_chunked) {
        tokio::time::sleep(pause).await;
        if let Err(err) = caller.write_all(&piece).await {
            return format!("write: {err}");
        }
    }
    tokio::time::sleep(pause).await;
    read_all(&mut caller).await
}

/// Reads to the end of the connection; returns the error of the socket instead if it fails within 5 s.
async fn read_all(caller: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    match timeout(Duration::from_secs(5), caller.read_to_end(&mut answer)).await {
        Ok(Err(err)) => format!("read: {err}"),
        _ => String::from_utf8_lossy(&answer).into_owned(),
    }
}

/// Guards against a reset that discards the refusal while the caller is still sending the body.
#[tokio::test]
async fn a_refusal_before_the_end_of_the_body_reaches_the_caller() {
    let running = RunningServer::start().await;
    let mut lost = Vec::new();
    for (path, status) in [("/now", "404"), ("/later", "413")] {
        for (is_chunked, pause_ms) in [(false, 0), (false, 5), (true, 0), (true, 5)] {
            let pause = Duration::from_millis(pause_ms);
            let calls =
                (0..10).map(|_| answer_after_all_is_sent(running.addr, path, is_chunked, pause));
            for answer in futures::future::join_all(calls).await {
                let is_whole = answer.starts_with(&format!("HTTP/1.1 {status} "))
                    && answer.ends_with("\r\n\r\nrefused")
                    && answer.matches("HTTP/1.1").count() == 1;
                if !is_whole {
                    lost.push(format!("{path} chunked={is_chunked} pause={pause_ms}: {answer:?}"));
                }
            }
        }
    }
    assert!(
        lost.is_empty(),
        "{} of 80 refusals are lost: {:#?}",
        lost.len(),
        &lost[..lost.len().min(8)]
    );
    running.close().await;
}

/// Guards against a reset that discards the server's own refusal of headers that are too large.
#[tokio::test]
async fn the_refusal_of_large_headers_reaches_the_caller() {
    let running = RunningServer::start().await;
    for _ in 0..10 {
        let mut caller = TcpStream::connect(running.addr).await.unwrap();
        caller.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n").await.unwrap();
        let line = format!("Padding: {}\r\n", "x".repeat(50_000));
        for _ in 0..20 {
            caller.write_all(line.as_bytes()).await.expect("the server reads on");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let answer = read_all(&mut caller).await;
        assert!(answer.starts_with("HTTP/1.1 431 "), "{answer:?}");
    }
    running.close().await;
}

/// Guards against a shutdown that resets a refused caller.
#[tokio::test]
async fn a_refusal_beside_the_shutdown_reaches_the_caller() {
    let running = RunningServer::start().await;
    let addr = running.addr;
    let calls = (0..10).map(|_| {
        tokio::spawn(answer_after_all_is_sent(addr, "/now", false, Duration::from_millis(10)))
    });
    let calls: Vec<_> = calls.collect();
    tokio::time::sleep(Duration::from_millis(60)).await;
    running.close().await;
    for call in calls {
        let answer = call.await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 404 ") && answer.ends_with("refused"), "{answer:?}");
    }
}

/// Guards against refused callers that hold their connection by sending without end, or by neither sending nor closing.
#[tokio::test]
async fn a_refused_caller_cannot_hold_its_connection() {
    let running = RunningServer::start().await;
    let mut silent = TcpStream::connect(running.addr).await.unwrap();
    silent.write_all(head("/now", false).as_bytes()).await.unwrap();
    let mut endless = TcpStream::connect(running.addr).await.unwrap();
    endless.write_all(head("/now", true).as_bytes()).await.unwrap();
    let begin = Instant::now();
    let sending = async {
        let piece = vec![b'x'; 100_000];
        let mut sent_bytes = 0;
        while endless.write_all(&piece).await.is_ok() {
            sent_bytes += piece.len();
        }
        sent_bytes
    };
    let sent_bytes = timeout(Duration::from_secs(5), sending).await.expect("the server closes");
    assert!(sent_bytes < 30_000_000, "{sent_bytes}");
    let took = running.close().await;
    assert!(begin.elapsed() < Duration::from_secs(5), "closed after {took:?}");
    drop(silent);
}

/// Guards against reading a request that arrives on an idle connection after the server has closed it: its caller could
/// not tell that it has not run.
#[tokio::test]
async fn an_idle_connection_is_closed_without_reading_on() {
    let running = RunningServer::start().await;
    let mut caller = TcpStream::connect(running.addr).await.unwrap();
    caller.write_all(b"GET /later HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
    let mut answer = [0; 1024];
    assert!(caller.read(&mut answer).await.unwrap() > 0);
    let took = running.close().await;
    assert!(took < Duration::from_millis(1_000), "the server ended after {took:?}");
    assert_eq!(caller.read(&mut answer).await.unwrap(), 0);
    caller.write_all(b"GET /later HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(caller.write_all(b"GET").await.is_err(), "the request was read");
}

/// Guards against a panic of the handler that ends the connection without an answer.
#[tokio::test]
async fn a_panic_of_the_handler_is_answered() {
    let running = RunningServer::start().await;
    for _ in 0..5 {
        let mut caller = TcpStream::connect(running.addr).await.unwrap();
        caller.write_all(b"GET /panic HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
        let answer = read_all(&mut caller).await;
        assert!(answer.starts_with("HTTP/1.1 500 "), "{answer:?}");
        assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer:?}");
        let other = answer_after_all_is_sent(running.addr, "/now", false, Duration::ZERO).await;
        assert!(other.starts_with("HTTP/1.1 404 "), "{other:?}");
    }
    running.close().await;
}
