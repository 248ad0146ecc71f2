//! Guards against proxy faults that affect other connections or bytes than documented, or lose or reorder data.

mod common;

use common::{
    ask, chain_of, complete_in_time, open_stream, read_to_end, request_for, start_fast_engine,
    text_of,
};
use stand::{Direction, EngineSettings, Proxy, ProxyFault, ProxySettings};
use std::{
    io::{ErrorKind, Result as IoResult},
    net::SocketAddr,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};
use upstream::EngineError;
use web::ClientError;
use web::{Client, Method, StatusCode};

/// Starts a server that sends back what it receives.
async fn start_echo_server() -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let task = tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                tokio::io::copy(&mut from, &mut to).await
            });
        }
    });
    (addr, task)
}

async fn start_proxied_echo_server() -> (Proxy, JoinHandle<()>) {
    let (addr, task) = start_echo_server().await;
    (Proxy::start(ProxySettings::new(addr)).await.unwrap(), task)
}

/// Sends five bytes and waits for the echo.
async fn round_trip(stream: &mut TcpStream) -> IoResult<[u8; 5]> {
    stream.write_all(b"hello").await?;
    let mut answer = [0; 5];
    complete_in_time(stream.read_exact(&mut answer)).await?;
    Ok(answer)
}

async fn open_working_connection(proxy: &Proxy) -> TcpStream {
    let mut stream = TcpStream::connect(proxy.addr()).await.unwrap();
    assert_eq!(&round_trip(&mut stream).await.unwrap(), b"hello");
    stream
}

#[tokio::test]
async fn the_close_of_each_direction_is_forwarded() {
    let (proxy, echo) = start_proxied_echo_server().await;
    let mut stream = open_working_connection(&proxy).await;
    stream.write_all(b"last").await.unwrap();
    stream.shutdown().await.unwrap();
    let mut rest = String::new();
    complete_in_time(stream.read_to_string(&mut rest)).await.unwrap();
    assert_eq!(rest, "last");
    proxy.close().await;
    echo.abort();
}

#[tokio::test]
async fn cut_resets_existing_connections_only() {
    let (proxy, echo) = start_proxied_echo_server().await;
    let mut stream = open_working_connection(&proxy).await;
    proxy.inject_fault(ProxyFault::Cut);
    let err = complete_in_time(stream.read_u8()).await.unwrap_err();
    assert_eq!(err.kind(), ErrorKind::ConnectionReset);
    open_working_connection(&proxy).await;
    proxy.close().await;
    echo.abort();
}

#[tokio::test]
async fn refuse_resets_new_connections_only() {
    let (proxy, echo) = start_proxied_echo_server().await;
    let mut existing = open_working_connection(&proxy).await;
    proxy.inject_fault(ProxyFault::Refuse);
    let mut refused = TcpStream::connect(proxy.addr()).await.unwrap();
    assert!(complete_in_time(refused.read_u8()).await.is_err());
    assert_eq!(&round_trip(&mut existing).await.unwrap(), b"hello");
    proxy.inject_fault(ProxyFault::Restore);
    open_working_connection(&proxy).await;
    proxy.close().await;
    echo.abort();
}

#[tokio::test]
async fn a_silent_connection_stays_open_and_silent_while_new_ones_work() {
    let (proxy, echo) = start_proxied_echo_server().await;
    let mut silent = open_working_connection(&proxy).await;
    proxy.inject_fault(ProxyFault::SilenceExisting);
    silent.write_all(b"lost").await.unwrap();
    open_working_connection(&proxy).await;
    proxy.inject_fault(ProxyFault::Restore);
    silent.write_all(b"lost").await.unwrap();
    open_working_connection(&proxy).await;
    let read = tokio::time::timeout(Duration::from_millis(50), silent.read_u8()).await;
    assert!(read.is_err(), "the silent connection delivered {read:?}");
    proxy.close().await;
    echo.abort();
}

#[tokio::test]
async fn a_stalled_direction_delivers_everything_after_restore() {
    for direction in [Direction::ToTarget, Direction::ToClient] {
        let (proxy, echo) = start_proxied_echo_server().await;
        let mut stream = open_working_connection(&proxy).await;
        proxy.inject_fault(ProxyFault::Stall { direction });
        stream.write_all(b"held").await.unwrap();
        let mut answer = [0; 4];
        let read = tokio::time::timeout(Duration::from_millis(50), stream.read_exact(&mut answer));
        assert!(read.await.is_err(), "the stalled direction delivered data");
        proxy.inject_fault(ProxyFault::Restore);
        complete_in_time(stream.read_exact(&mut answer)).await.unwrap();
        assert_eq!(&answer, b"held");
        proxy.close().await;
        echo.abort();
    }
}

#[tokio::test]
async fn cut_after_forwards_at_most_the_given_number_of_bytes() {
    let (proxy, echo) = start_proxied_echo_server().await;
    proxy.inject_fault(ProxyFault::CutAfter { size_bytes: 12 });
    let mut stream = open_working_connection(&proxy).await;
    let mut answer = [0; 7];
    stream.write_all(&[b'x'; 100]).await.unwrap();
    // A reset may discard bytes that have not been read yet, so fewer bytes may arrive, but never more.
    let mut received = 0;
    while let Ok(size_bytes) = complete_in_time(stream.read(&mut answer)).await {
        assert!(size_bytes > 0, "the connection must end with a reset");
        received += size_bytes;
    }
    assert!(received <= 7);
    proxy.close().await;
    echo.abort();
}

#[tokio::test]
async fn delayed_bytes_keep_their_order() {
    let (proxy, echo) = start_proxied_echo_server().await;
    proxy.inject_fault(ProxyFault::Delay { delay_ms: 5 });
    let mut stream = TcpStream::connect(proxy.addr()).await.unwrap();
    for _ in 0..5 {
        assert_eq!(&round_trip(&mut stream).await.unwrap(), b"hello");
    }
    proxy.close().await;
    echo.abort();
}

#[tokio::test]
async fn an_engine_stream_through_the_proxy_is_complete_or_ends_with_an_error() {
    let engine = start_fast_engine(EngineSettings::default()).await;
    let proxy = Proxy::start(ProxySettings::new(engine.addr())).await.unwrap();
    let full_request = request_for("plan", 200);
    let tokens = ask(proxy.addr(), &full_request).await;
    assert_eq!(chain_of(&full_request).verify(&text_of(&tokens)), Ok(200));
    let mut stream = open_stream(proxy.addr(), &request_for("cut", 1_000_000)).await;
    stream.next().await.unwrap();
    proxy.inject_fault(ProxyFault::Cut);
    let (_, end) = complete_in_time(read_to_end(&mut stream)).await;
    assert!(matches!(end, Err(EngineError::Client(ClientError::Transport(_)))));
    common::wait_for(&engine, |counters, _, _| counters.cancelled == 1).await;
    proxy.close().await;
    engine.kill().await;
}

#[tokio::test]
async fn faults_can_be_set_over_http() {
    let (addr, echo) = start_echo_server().await;
    let control = Some("127.0.0.1:0".parse().unwrap());
    let settings = ProxySettings { control, ..ProxySettings::new(addr) };
    let proxy = Proxy::start(settings).await.unwrap();
    let mut stream = open_working_connection(&proxy).await;
    let client = Client::new(proxy.control_addr().unwrap(), 30_000);
    let reply = client.send_json(Method::PUT, "/control", &ProxyFault::Cut).await.unwrap();
    assert_eq!(reply.status, StatusCode::NO_CONTENT);
    assert!(complete_in_time(stream.read_u8()).await.is_err());
    proxy.close().await;
    echo.abort();
}
