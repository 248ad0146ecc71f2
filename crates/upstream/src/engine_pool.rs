//! Opens completion streams on new or pooled connections to engines.

use crate::{engine_error::EngineError, engine_stream::EngineStream};
use base::{HashMap, lock};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, StatusCode,
    header::{CONTENT_TYPE, HOST},
};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::time::Instant;
use web::Connection;
use wire::engine::EngineRequest;

/// Longest time that a connection may stay idle in the pool, in milliseconds. After a longer time, the engine or a
/// device on the path may have dropped the connection without notice.
const MAX_IDLE_MS: u64 = 10_000;

/// Longest wait for a new connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Largest number of idle connections that the pool keeps for each engine.
const MAX_IDLE_PER_ENGINE: usize = 64;

/// Connection in the pool, with the time at which it became idle.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
}

/// Pool of idle connections to engines.
///
/// A connection carries one request at a time and returns to the pool only after the complete response has been
/// read. The connection is closed if the response is abandoned.
#[derive(Clone, Debug, Default)]
pub struct EnginePool {
    /// Idle connections of each engine, in the order in which they became idle.
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>,
}

impl EnginePool {
    /// Sends a request to the engine at `addr` and returns the stream of events with which it answers.
    ///
    /// # Errors
    ///
    /// `Client` if the connection fails, `Refused` if the engine answers with another status than 200. `Json` and
    /// `Request` if the request cannot be built.
    pub async fn open(
        &self,
        addr: SocketAddr,
        request: &EngineRequest,
    ) -> Result<EngineStream, EngineError> {
        let body = Bytes::from(serde_json::to_vec(request)?);
        let mut connection = match self.take(addr) {
            Some(connection) => connection,
            None => Connection::open(addr, CONNECT_TIMEOUT_MS).await?,
        };
        let http_request = Request::post("/v1/completions")
            .header(HOST, addr.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))?;
        let response = connection.send(http_request).await?;
        if response.status() != StatusCode::OK {
            return Err(EngineError::Refused(response.status().as_u16()));
        }
        let pool = self.clone();
        Ok(EngineStream::new(addr, pool, connection, response.into_body(), request))
    }

    /// Takes an idle connection to the engine at `addr` out of the pool. Returns `None` if there is no usable one.
    fn take(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(&addr)?;
        // The last connection has been idle for the shortest time. If it has expired, all others have as well.
        while let Some(IdleConnection { connection, idle_since }) = connections.pop() {
            if is_expired(idle_since) {
                idle.remove(&addr);
                return None;
            }
            if connection.is_idle() {
                return Some(connection);
            }
        }
        None
    }

    /// Puts a connection into the pool, or closes it if the pool keeps enough for its engine. Drops the expired
    /// connections of all engines.
    pub(crate) fn put(&self, addr: SocketAddr, connection: Connection) {
        let mut idle = lock(&self.idle);
        idle.retain(|_, connections| {
            connections.retain(|connection| !is_expired(connection.idle_since));
            !connections.is_empty()
        });
        let connections = idle.entry(addr).or_default();
        if connections.len() < MAX_IDLE_PER_ENGINE {
            connections.push(IdleConnection { connection, idle_since: Instant::now() });
        }
    }
}

fn is_expired(idle_since: Instant) -> bool {
    idle_since.elapsed() > Duration::from_millis(MAX_IDLE_MS)
}
