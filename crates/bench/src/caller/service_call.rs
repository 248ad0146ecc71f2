//! Caller of plain services.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    header::{AUTHORIZATION, HOST},
};
use std::net::SocketAddr;
use upstream::ServiceConnection;
use wire::openai::ErrorBody;

/// Longest wait for a connection to an entry.
const CONNECT_WAIT_MS: u64 = 2_000;

/// Longest wait for an answer of an entry.
const ANSWER_WAIT_MS: u64 = 30_000;

/// What a caller learns about its call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The upstream's answer.
    Answer(u16, Bytes),
    /// The entry says that the call was not run.
    NotRun,
    /// The entry says that the outcome is unknown.
    Unknown,
    /// The entry refused the call for another reason.
    Refused(u16, String),
    /// The entry could not be connected to.
    NotConnected,
    /// The entry closed the connection without an answer.
    CutOff,
}

/// Call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Bearer key.
    pub bearer_key: String,
    /// Method.
    pub method: String,
    /// Path with the service, for example `/services/belfry-desk/bookings`.
    pub path: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Request id.
    pub request_id: String,
    /// Body.
    pub body: String,
}

impl ServiceCall {
    /// Sends the call to the entry at `addr` once.
    pub async fn send(&self, addr: SocketAddr) -> CallOutcome {
        let Ok(connection) = ServiceConnection::open(addr, CONNECT_WAIT_MS).await else {
            return CallOutcome::NotConnected;
        };
        let mut request = Request::builder()
            .method(self.method.as_str())
            .uri(&self.path)
            .header(HOST, addr.to_string())
            .header(AUTHORIZATION, format!("Bearer {}", self.bearer_key))
            .header("x-request-id", &self.request_id);
        if let Some(key) = &self.key {
            request = request.header("idempotency-key", key);
        }
        let Ok(request) = request.body(Full::new(Bytes::from(self.body.clone()))) else {
            return CallOutcome::NotConnected;
        };
        match connection.send(request, ANSWER_WAIT_MS).await {
            Ok(response) => outcome(response),
            Err(_) => CallOutcome::CutOff,
        }
    }
}

fn outcome(response: Response<Bytes>) -> CallOutcome {
    let status = response.status().as_u16();
    let body = response.into_body();
    let Ok(error) = serde_json::from_slice::<ErrorBody>(&body) else {
        return CallOutcome::Answer(status, body);
    };
    match error.error.code.as_deref() {
        Some("not_run") => CallOutcome::NotRun,
        Some("outcome_unknown") => CallOutcome::Unknown,
        code => CallOutcome::Refused(status, code.unwrap_or_default().to_owned()),
    }
}
