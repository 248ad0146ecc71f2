//! HTTP/1.1 client that opens one connection for each request and never retries.

use crate::{client_error::ClientError, connection::Connection, json_request::json_request};
use bytes::Bytes;
use hyper::{
    Method, StatusCode,
    header::{AUTHORIZATION, HeaderValue},
};
use serde::{Serialize, de::DeserializeOwned};
use std::{net::SocketAddr, time::Duration};

/// Largest accepted body of a response.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Client of one HTTP server, with a connection for each request.
#[derive(Clone, Debug)]
pub struct Client {
    addr: SocketAddr,
    bearer_key: Option<Box<str>>,
    timeout_ms: u64,
}

/// Response that has been read to its end.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Body, which is empty if the response has none.
    pub body: Bytes,
}

impl Reply {
    /// Decodes the body from JSON.
    ///
    /// # Errors
    ///
    /// `Json` if the body is not a valid `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, ClientError> {
        Ok(serde_json::from_slice(&self.body)?)
    }
}

impl Client {
    /// Creates a client of the server at `addr`. A request fails if it takes longer than `timeout_ms`.
    pub fn new(addr: SocketAddr, timeout_ms: u64) -> Self {
        Self { addr, bearer_key: None, timeout_ms }
    }

    /// Returns a client that sends `key` as the bearer token of each request.
    pub fn with_bearer_key(mut self, key: &str) -> Self {
        self.bearer_key = Some(key.into());
        self
    }

    /// Sends a request without a body.
    ///
    /// # Errors
    ///
    /// After `Connect`, `Unsent` and `Request`, nothing was sent. Any other error leaves open whether the server
    /// handled the request.
    pub async fn send(&self, method: Method, path: &str) -> Result<Reply, ClientError> {
        self.exchange(method, path, Bytes::new()).await
    }

    /// Sends a request with `value` as its JSON body.
    ///
    /// # Errors
    ///
    /// As for `send`; `Json` if `value` cannot be encoded, in which case nothing was sent.
    pub async fn send_json(
        &self,
        method: Method,
        path: &str,
        value: &impl Serialize,
    ) -> Result<Reply, ClientError> {
        self.exchange(method, path, serde_json::to_vec(value)?.into()).await
    }

    /// Sends a request with the given body, which is declared as JSON.
    ///
    /// # Errors
    ///
    /// As for `send`.
    pub async fn send_bytes(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Reply, ClientError> {
        self.exchange(method, path, body).await
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Reply, ClientError> {
        let wait = Duration::from_millis(self.timeout_ms);
        match tokio::time::timeout(wait, self.exchange_without_timeout(method, path, body)).await {
            Ok(outcome) => outcome,
            Err(_) => Err(ClientError::Timeout(self.timeout_ms)),
        }
    }

    async fn exchange_without_timeout(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Reply, ClientError> {
        let mut connection = Connection::open(self.addr, self.timeout_ms).await?;
        let mut request = json_request(method, self.addr, path, body)?;
        if let Some(key) = &self.bearer_key {
            let value = HeaderValue::try_from(format!("Bearer {key}"));
            request.headers_mut().insert(AUTHORIZATION, value.map_err(hyper::http::Error::from)?);
        }
        let (head, body) = connection.fetch(request, MAX_RESPONSE_BYTES).await?.into_parts();
        Ok(Reply { status: head.status, body })
    }
}
