//! Guards against requests that a server receives after their caller has given them up, and against resets of
//! connections whose exchanges have ended.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming};
use std::{
    io::{ErrorKind, Result as IoResult},
    net::SocketAddr,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    time::{sleep, timeout},
};
use web::{Client, ClientError, Connection, Method};

/// Size of a request body that exceeds what a server with a small receive buffer accepts without reading.
const LARGE_BYTES: usize = 100_000;

/// Time in which a request is written to the socket.
const WRITE_MS: u64 = 100;

/// Listens with a small receive buffer, so that most bytes of a large request stay at the client until they are read.
fn listen_with_small_buffer() -> (TcpListener, SocketAddr) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(8).unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

fn request(addr: SocketAddr, size_bytes: usize) -> Request<Full<Bytes>> {
    let body = Full::new(Bytes::from(vec![b'x'; size_bytes]));
    Request::post("/").header("host", addr.to_string()).body(body).unwrap()
}

/// Reads until the client closes the connection; panics after 5 s. Returns the number of bytes and the end.
async fn read_to_close(stream: &mut TcpStream) -> (usize, IoResult<()>) {
    let mut received = Vec::new();
    let read = timeout(Duration::from_secs(5), stream.read_to_end(&mut received)).await;
    let end = read.expect("the client closes the connection within 5 s").map(drop);
    (received.len(), end)
}

fn assert_reset(received_bytes: usize, end: IoResult<()>) {
    let end = end.map_err(|err| err.kind());
    assert_eq!(end, Err(ErrorKind::ConnectionReset), "{received_bytes} bytes were received");
    assert!(received_bytes < LARGE_BYTES, "{received_bytes} bytes were received");
}

/// Sends a small request and has the server send `answer`, which may be incomplete. Returns the response and both ends
/// of the connection.
async fn answered(answer: &str) -> (Response<Incoming>, Connection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let mut connection = Connection::open(addr, 1_000).await.unwrap();
    let (mut server, _) = listener.accept().await.unwrap();
    let serve = async {
        let mut received = vec![0; 1_024];
        assert!(server.read(&mut received).await.unwrap() > 0);
        server.write_all(answer.as_bytes()).await.unwrap();
    };
    let (response, ()) = tokio::join!(connection.send(request(addr, 4)), serve);
    (response.unwrap(), connection, server)
}

/// Guards against a request that waits in the send buffer when its caller gives up, and is delivered later.
#[tokio::test]
async fn a_request_without_an_answer_is_not_delivered_after_its_connection_was_dropped() {
    let (listener, addr) = listen_with_small_buffer();
    let mut connection = Connection::open(addr, 1_000).await.unwrap();
    let (mut server, _) = listener.accept().await.unwrap();
    let send = connection.send(request(addr, LARGE_BYTES));
    assert!(timeout(Duration::from_millis(WRITE_MS), send).await.is_err());
    drop(connection);
    sleep(Duration::from_millis(WRITE_MS)).await;
    let (received_bytes, end) = read_to_close(&mut server).await;
    assert_reset(received_bytes, end);
}

/// Guards against the same for clients that open a connection for each request.
#[tokio::test]
async fn a_request_is_not_delivered_after_its_timeout() {
    let (listener, addr) = listen_with_small_buffer();
    let client = Client::new(addr, WRITE_MS);
    let body = Bytes::from(vec![b'x'; LARGE_BYTES]);
    let call = tokio::spawn(async move { client.send_bytes(Method::POST, "/", body).await });
    let (mut server, _) = listener.accept().await.unwrap();
    assert!(matches!(call.await.unwrap(), Err(ClientError::Timeout(_))));
    sleep(Duration::from_millis(WRITE_MS)).await;
    let (received_bytes, end) = read_to_close(&mut server).await;
    assert_reset(received_bytes, end);
}

/// Guards against a request on a kept connection that is delivered after its caller has given it up.
#[tokio::test]
async fn a_second_request_without_an_answer_is_not_delivered_later() {
    let (listener, addr) = listen_with_small_buffer();
    let mut connection = Connection::open(addr, 1_000).await.unwrap();
    let (mut server, _) = listener.accept().await.unwrap();
    let serve = async {
        let mut received = vec![0; 1_024];
        assert!(server.read(&mut received).await.unwrap() > 0);
        server.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await.unwrap();
    };
    let (response, ()) = tokio::join!(connection.fetch(request(addr, 4), 16), serve);
    assert_eq!(&response.unwrap().into_body()[..], b"ok");
    assert!(connection.ready().await);
    let send = connection.send(request(addr, LARGE_BYTES));
    assert!(timeout(Duration::from_millis(WRITE_MS), send).await.is_err());
    drop(connection);
    sleep(Duration::from_millis(WRITE_MS)).await;
    let (received_bytes, end) = read_to_close(&mut server).await;
    assert_reset(received_bytes, end);
}

/// Guards against a reset of a connection that is idle after a complete answer.
#[tokio::test]
async fn a_connection_is_closed_without_a_reset_after_a_complete_answer() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let (response, connection, mut server) = answered(answer).await;
    assert_eq!(&response.into_body().collect().await.unwrap().to_bytes()[..], b"ok");
    drop(connection);
    assert!(matches!(read_to_close(&mut server).await, (0, Ok(()))));
}

/// Guards against a reset of a connection whose server closes it after the answer.
#[tokio::test]
async fn a_connection_is_closed_without_a_reset_after_the_last_answer() {
    let answer = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";
    let (response, connection, mut server) = answered(answer).await;
    assert_eq!(&response.into_body().collect().await.unwrap().to_bytes()[..], b"ok");
    drop(connection);
    assert!(matches!(read_to_close(&mut server).await, (0, Ok(()))));
}

/// Guards against a cancellation that is lost with its only packet: a server that has begun its answer has the
/// request, and the kernel repeats the ordinary close until it is acknowledged.
#[tokio::test]
async fn a_connection_is_closed_without_a_reset_during_an_answer() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\no";
    let (response, connection, mut server) = answered(answer).await;
    let mut body = response.into_body();
    assert!(body.frame().await.is_some());
    drop((body, connection));
    assert!(matches!(read_to_close(&mut server).await, (0, Ok(()))));
}
