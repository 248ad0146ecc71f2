//! Guards against bodies that are announced and never sent, which would keep others out, and against the loss of bodies that
//! arrive in time.

use bytes::Bytes;
use hyper::{
    Request, Response,
    body::{Body, Incoming},
};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
};
use web::{
    ByteAccount, Connections, Handler, RequestContext, ResponseBody, Server, full, read_body,
};

/// Account, in which one body of `BODY_BYTES` has room.
const ACCOUNT_BYTES: usize = 1024 * 1024;

const BODY_BYTES: usize = 600 * 1024;

/// Time within which a body has to arrive.
const BODY_WAIT_MS: u64 = 10_000;

/// Reads the body of each request into the account, and answers with its size.
struct Reader(Arc<ByteAccount>);

impl Handler for Reader {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let context = RequestContext::of(&request).cloned().expect("the server sets a context");
        let size_bytes = request.body().size_hint().exact().unwrap_or(0) as usize;
        let held = context.hold(&self.0, size_bytes).await;
        let body = context.receive(request.into_body(), size_bytes, BODY_WAIT_MS);
        let body = read_body(body, BODY_BYTES).await.unwrap_or_else(|_| Bytes::new());
        drop(held);
        Response::new(full(body.len().to_string()))
    }
}

async fn start() -> (SocketAddr, Arc<ByteAccount>, watch::Sender<bool>) {
    start_with(16).await
}

async fn start_with(max_connections: usize) -> (SocketAddr, Arc<ByteAccount>, watch::Sender<bool>) {
    let account = Arc::new(ByteAccount::new(ACCOUNT_BYTES));
    let connections = Arc::new(Connections::new(Arc::clone(&account)));
    let server = Server::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let server = server.share(&connections, max_connections);
    let addr = server.local_addr().unwrap();
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(server.run(Arc::new(Reader(Arc::clone(&account))), stopped));
    (addr, account, stop)
}

/// Announces a body and sends its first byte.
async fn announce(addr: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let head = format!("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {BODY_BYTES}\r\n\r\nx");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

/// Sends the rest of an announced body in 20 parts, each after `pause`, and returns the first bytes of the answer.
async fn complete(mut stream: TcpStream, pause: Duration) -> String {
    for part in vec![b'x'; BODY_BYTES - 1].chunks(BODY_BYTES / 20) {
        tokio::time::sleep(pause).await;
        stream.write_all(part).await.unwrap();
    }
    let mut answer = vec![0; 1024];
    let size = stream.read(&mut answer).await.unwrap();
    String::from_utf8_lossy(&answer[..size]).into_owned()
}

async fn wait_until_held(account: &ByteAccount) {
    while account.held_bytes() < BODY_BYTES {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn a_body_that_is_never_sent_gives_way_to_another_one() {
    let (addr, account, _stop) = start().await;
    let mut silent = announce(addr).await;
    wait_until_held(&account).await;
    let answer = complete(announce(addr).await, Duration::ZERO).await;
    assert!(answer.starts_with("HTTP/1.1 200 ") && answer.ends_with(&BODY_BYTES.to_string()));
    let mut rest = Vec::new();
    let closed = silent.read_to_end(&mut rest).await;
    assert!(closed.is_err() || rest.is_empty(), "the late body got an answer");
}

#[tokio::test]
async fn a_late_body_has_all_of_its_time_while_there_is_room() {
    let (addr, account, _stop) = start().await;
    let late = announce(addr).await;
    wait_until_held(&account).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let answer = complete(late, Duration::ZERO).await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
}

#[tokio::test]
async fn a_body_that_arrives_at_a_steady_pace_is_kept_while_others_wait() {
    let (addr, account, _stop) = start().await;
    let steady = announce(addr).await;
    wait_until_held(&account).await;
    // A second of 10 s that the body has.
    let steady = tokio::spawn(complete(steady, Duration::from_millis(50)));
    let other = complete(announce(addr).await, Duration::ZERO);
    let (steady, other) = tokio::join!(steady, other);
    assert!(steady.unwrap().starts_with("HTTP/1.1 200 "));
    assert!(other.starts_with("HTTP/1.1 200 "), "{other}");
}

/// Requests that wait for room for their bodies must not keep others out of the server. As long as one body arrives in time,
/// they wait.
#[tokio::test]
async fn requests_that_wait_for_room_give_way_to_a_new_connection() {
    let (addr, account, _stop) = start_with(4).await;
    let steady = announce(addr).await;
    wait_until_held(&account).await;
    let steady = tokio::spawn(complete(steady, Duration::from_millis(100)));
    let mut waiting = Vec::new();
    for _ in 0..3 {
        waiting.push(announce(addr).await);
    }
    // Younger connections are not closed for others.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut caller = TcpStream::connect(addr).await.unwrap();
    caller.write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n").await.unwrap();
    let mut answer = vec![0; 1024];
    let size = caller.read(&mut answer).await.unwrap();
    let answer = String::from_utf8_lossy(&answer[..size]).into_owned();
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert!(steady.await.unwrap().starts_with("HTTP/1.1 200 "));
}
