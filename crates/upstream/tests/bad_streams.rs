//! Guards against an engine whose stream never ends, or whose tokens make a daemon use more memory than the limits
//! of an answer allow.

use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::oneshot,
    time::timeout,
};
use upstream::{EngineError, EnginePool, EngineStream};
use wire::engine::{EngineEvent, EngineRequest};

/// Longest wait for a result that must occur.
const WAIT: Duration = Duration::from_secs(20);

const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";

const FINISH: &str = "data: {\"request_id\":\"g\",\"finish_reason\":\"stop\",\
                      \"usage\":{\"prompt_tokens\":1,\"completion_tokens\":0}}\n\n";

fn token(index: u32, text: &str) -> String {
    format!(
        "data: {{\"request_id\":\"g\",\"index\":{index},\"token_id\":1,\"text\":\"{text}\"}}\n\n"
    )
}

fn request() -> EngineRequest {
    EngineRequest { request_id: "g".to_owned(), max_tokens: 2, ..EngineRequest::default() }
}

/// Starts a server that answers one request with `answer` and then sends `endless_tail`, if there is one, until the
/// client closes the connection. Returns the server's address and a receiver, which gets a message after that.
async fn serve(
    answer: String,
    endless_tail: Option<&'static str>,
) -> (SocketAddr, oneshot::Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (closed, closed_receiver) = oneshot::channel();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4096]).await;
        let _ = stream.write_all(answer.as_bytes()).await;
        write_until_closed(&mut stream, endless_tail).await;
        let _ = closed.send(());
    });
    (addr, closed_receiver)
}

async fn write_until_closed(stream: &mut TcpStream, endless_tail: Option<&'static str>) {
    while let Some(endless_tail) = endless_tail {
        if stream.write_all(endless_tail.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Opens a completion stream from a server started by `serve`.
async fn open(
    answer: String,
    endless_tail: Option<&'static str>,
) -> (EngineStream, oneshot::Receiver<()>) {
    let (addr, closed) = serve(answer, endless_tail).await;
    (EnginePool::default().open(addr, &request()).await.unwrap(), closed)
}

#[tokio::test]
async fn a_token_beyond_the_limit_of_the_answer_is_an_error() {
    let (mut stream, _) = open(format!("{HEAD}{}{}", token(1, "a"), token(2, "b")), None).await;
    assert!(matches!(stream.next().await, Ok(EngineEvent::Token { index: 1, .. })));
    assert!(matches!(stream.next().await, Err(EngineError::TooManyTokens(2))));
}

#[tokio::test]
async fn a_token_text_over_the_limit_is_an_error() {
    let text = "x".repeat(10_000);
    let (mut stream, _) = open(format!("{HEAD}{}", token(0, &text)), None).await;
    assert!(matches!(stream.next().await, Err(EngineError::TokenTextTooLong(10_000))));
}

#[tokio::test]
async fn an_event_over_the_size_limit_is_an_error() {
    let (mut stream, _) = open(HEAD.to_owned(), Some("data: xxxxxxxxxxxxxxxxxxxxxxxxxxx")).await;
    assert!(matches!(stream.next().await, Err(EngineError::Decode(_))));
}

/// Guards against an answer that is taken for a complete one because it ends with its connection.
#[tokio::test]
async fn a_stream_that_ends_with_its_connection_before_the_finish_event_is_cut_off() {
    let half = &FINISH[..FINISH.len() / 2];
    for tail in ["", half] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let answer = format!("{HEAD}{}{tail}", token(0, "a"));
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 4096]).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        });
        let mut stream = EnginePool::default().open(addr, &request()).await.unwrap();
        assert!(matches!(stream.next().await, Ok(EngineEvent::Token { index: 0, .. })));
        assert!(matches!(stream.next().await, Err(EngineError::Closed)));
    }
}

/// A connection returns to the pool only after the rest of its stream has been read, which may never end.
#[tokio::test]
async fn a_finished_stream_that_never_ends_is_closed() {
    let (mut stream, closed) = open(format!("{HEAD}{FINISH}"), Some(": more\n\n")).await;
    assert!(matches!(stream.next().await, Ok(EngineEvent::Finish { .. })));
    timeout(WAIT, stream.close()).await.unwrap();
    timeout(WAIT, closed).await.unwrap().unwrap();
}

#[tokio::test]
async fn a_finished_stream_that_stays_open_is_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let served = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4096]).await;
        let _ = stream.write_all(format!("{HEAD}{FINISH}").as_bytes()).await;
        // The read ends when the client closes.
        let _ = stream.read_to_end(&mut Vec::new()).await;
    });
    let mut stream = EnginePool::default().open(addr, &request()).await.unwrap();
    assert!(matches!(stream.next().await, Ok(EngineEvent::Finish { .. })));
    timeout(WAIT, stream.close()).await.unwrap();
    timeout(WAIT, served).await.unwrap().unwrap();
}
