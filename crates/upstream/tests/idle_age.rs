//! Guards against the reuse of an idle engine connection that the other side may have dropped without notice.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use std::{
    convert::Infallible,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::net::TcpListener;
use upstream::EnginePool;
use wire::engine::{EngineEvent, EngineRequest};

const ANSWER: &str = "data: {\"request_id\":\"r\",\"finish_reason\":\"length\",\
    \"usage\":{\"prompt_tokens\":1,\"completion_tokens\":0}}\n\ndata: [DONE]\n\n";

/// Starts a fake engine that finishes every answer at once, and returns its address and the count of its connections.
async fn start_engine() -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let connections = Arc::new(AtomicU32::new(0));
    let connection_count = Arc::clone(&connections);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            connection_count.fetch_add(1, Ordering::SeqCst);
            let service = service_fn(|_| async {
                Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(ANSWER))))
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    (addr, connections)
}

/// Requests one answer, reads it to its end and returns the connection to the pool.
async fn exchange(pool: &EnginePool, addr: SocketAddr) {
    let request = EngineRequest { request_id: "r".to_owned(), ..EngineRequest::default() };
    let mut stream = pool.open(addr, &request).await.unwrap();
    assert!(matches!(stream.next().await.unwrap(), EngineEvent::Finish { .. }));
    stream.close().await;
}

#[tokio::test]
async fn an_idle_connection_is_reused_until_it_expires() {
    let (addr, connections) = start_engine().await;
    let pool = EnginePool::default();
    exchange(&pool, addr).await;
    exchange(&pool, addr).await;
    assert_eq!(connections.load(Ordering::SeqCst), 1);
    tokio::time::pause();
    tokio::time::advance(Duration::from_secs(11)).await;
    tokio::time::resume();
    exchange(&pool, addr).await;
    assert_eq!(connections.load(Ordering::SeqCst), 2);
}
