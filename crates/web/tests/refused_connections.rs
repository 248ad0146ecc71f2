//! Guards against callers that learn nothing when a server takes no more connections.

use hyper::{Request, Response, body::Incoming};
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    time::timeout,
};
use web::{ByteAccount, Connections, Handler, ResponseBody, Server};

/// Longest wait for a refusal on a busy test machine.
const WAIT: Duration = Duration::from_secs(5);

/// Never answers, so that its connections stay in use.
struct SilentHandler;

impl Handler for SilentHandler {
    async fn handle(self: Arc<Self>, _request: Request<Incoming>) -> Response<ResponseBody> {
        std::future::pending().await
    }
}

/// Guards against a connection that is closed without a status line: its caller would not know that nothing was run.
#[tokio::test]
async fn a_connection_beyond_the_limit_is_answered_503() {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let connections = Arc::new(Connections::new(Arc::new(ByteAccount::new(1 << 20))));
    let server = Server::bind(any_port).await.unwrap().share(&connections, 1);
    let addr = server.local_addr().unwrap();
    let (_stop, stopped) = watch::channel(false);
    tokio::spawn(server.run(Arc::new(SilentHandler), stopped));
    let mut first = TcpStream::connect(addr).await.unwrap();
    first.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
    // The request of the first connection is in flight before the second one is opened.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut second = TcpStream::connect(addr).await.unwrap();
    let mut answer = String::new();
    timeout(WAIT, second.read_to_string(&mut answer)).await.unwrap().unwrap();
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer:?}");
    assert!(answer.contains("Retry-After: "), "{answer:?}");
}
