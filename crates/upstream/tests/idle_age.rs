//! Guards against the use of an idle engine connection that the other side may have forgotten.

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

/// Engine that ends every answer at once and counts its connections.
async fn engine() -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let connections = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&connections);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counted.fetch_add(1, Ordering::SeqCst);
            let service = service_fn(|_| async {
                Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(ANSWER))))
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    (addr, connections)
}

async fn ask(pool: &EnginePool, addr: SocketAddr) {
    let request = EngineRequest { request_id: "r".to_owned(), ..EngineRequest::default() };
    let mut stream = pool.open(addr, &request).await.unwrap();
    assert!(matches!(stream.next().await.unwrap(), EngineEvent::Finish { .. }));
    stream.close().await;
}

#[tokio::test]
async fn a_young_connection_is_used_again_and_an_old_one_is_not() {
    let (addr, connections) = engine().await;
    let pool = EnginePool::default();
    ask(&pool, addr).await;
    ask(&pool, addr).await;
    assert_eq!(connections.load(Ordering::SeqCst), 1);
    tokio::time::pause();
    tokio::time::advance(Duration::from_secs(11)).await;
    tokio::time::resume();
    ask(&pool, addr).await;
    assert_eq!(connections.load(Ordering::SeqCst), 2);
}
