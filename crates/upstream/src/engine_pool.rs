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
    io::ErrorKind,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{net::TcpStream, time::Instant};
use wire::engine::EngineRequest;

/// Longest age of an idle connection. An engine or a device on the path may have forgotten an older one silently.
const IDLE_AGE_MS: u64 = 10_000;

/// Longest wait for a connection.
const CONNECT_WAIT_MS: u64 = 1_000;

/// Idle connections kept for each engine.
const IDLE_CONNECTIONS: usize = 64;

pub(crate) type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    idle_since: Instant,
}

/// Pool of idle connections to engines.
///
/// A connection carries one request at a time and returns to the pool only after the whole answer was read. A
/// connection whose answer was abandoned is closed.
#[derive(Clone, Debug, Default)]
pub struct EnginePool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>,
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
        Ok(EngineStream::new(addr, pool, sender, response.into_body(), request))
    }

    fn take(&self, addr: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&addr)?;
        // The newest is at the end, so all others are too old as well if it is.
        while let Some(IdleConnection { sender, idle_since }) = connections.pop() {
            if is_too_old(idle_since) {
                idle.remove(&addr);
                return None;
            }
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    pub(crate) fn put(&self, addr: SocketAddr, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, connections| {
            connections.retain(|connection| !is_too_old(connection.idle_since));
            !connections.is_empty()
        });
        let connections = idle.entry(addr).or_default();
        if connections.len() < IDLE_CONNECTIONS {
            connections.push(IdleConnection { sender, idle_since: Instant::now() });
        }
    }
}

fn is_too_old(idle_since: Instant) -> bool {
    idle_since.elapsed() > Duration::from_millis(IDLE_AGE_MS)
}

async fn connect(addr: SocketAddr) -> Result<Sender, EngineError> {
    let wait = Duration::from_millis(CONNECT_WAIT_MS);
    let stream = tokio::time::timeout(wait, TcpStream::connect(addr))
        .await
        .map_err(|_| EngineError::Connect(ErrorKind::TimedOut.into()))?
        .map_err(EngineError::Connect)?;
    let _ = stream.set_nodelay(true);
    web::keep_alive(&stream);
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(EngineError::Transport)?;
    tokio::spawn(async move {
        // An error also reaches the request in flight, which reports it.
        let _ = connection.await;
    });
    Ok(sender)
}
