//! Connections to engines.

use crate::{engine_error::EngineError, engine_stream::EngineStream};
use base::HashMap;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, StatusCode,
    client::conn::http1::{self, SendRequest},
    header::{CONTENT_TYPE, HOST},
};
use hyper_util::rt::TokioIo;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};
use tokio::net::TcpStream;
use wire::engine::EngineRequest;

/// Idle connections kept for each engine.
const IDLE_CONNECTIONS: usize = 64;

pub(crate) type Sender = SendRequest<Full<Bytes>>;

/// Pool of idle connections to engines.
///
/// A connection carries one request at a time and returns to the pool only after the whole answer was read. A
/// connection whose answer was abandoned is closed.
#[derive(Clone, Debug, Default)]
pub struct EnginePool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Sender>>>>,
}

impl EnginePool {
    /// Sends a request to the engine at `addr` and returns its stream.
    ///
    /// # Errors
    ///
    /// `Connect`, `Transport` or `Refused`.
    pub async fn open(
        &self,
        addr: SocketAddr,
        request: &EngineRequest,
    ) -> Result<EngineStream, EngineError> {
        let body = Bytes::from(serde_json::to_vec(request)?);
        let mut sender = match self.take(addr) {
            Some(sender) => sender,
            None => connect(addr).await?,
        };
        let http_request = Request::post("/v1/completions")
            .header(HOST, addr.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))?;
        let response = sender.send_request(http_request).await.map_err(EngineError::Transport)?;
        if response.status() != StatusCode::OK {
            return Err(EngineError::Refused(response.status().as_u16()));
        }
        let pool = self.clone();
        Ok(EngineStream::new(addr, pool, sender, response.into_body(), &request.request_id))
    }

    fn take(&self, addr: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.get_mut(&addr)?;
        while let Some(sender) = senders.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    pub(crate) fn put(&self, addr: SocketAddr, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.entry(addr).or_default();
        if senders.len() < IDLE_CONNECTIONS {
            senders.push(sender);
        }
    }
}

async fn connect(addr: SocketAddr) -> Result<Sender, EngineError> {
    let stream = TcpStream::connect(addr).await.map_err(EngineError::Connect)?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(EngineError::Transport)?;
    tokio::spawn(async move {
        // An error also reaches the request in flight, which reports it.
        let _ = connection.await;
    });
    Ok(sender)
}
