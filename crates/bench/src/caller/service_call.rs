//! Call to a plain service through an entry, and its outcome.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    header::{AUTHORIZATION, HOST},
};
use std::net::SocketAddr;
use upstream::ServiceConnection;
use wire::openai::ErrorBody;

/// Timeout of a connection attempt to an entry, a daemon that serves callers.
const CONNECT_TIMEOUT_MS: u64 = 2_000;

/// Time for which a caller waits for the answer of an entry.
const ANSWER_TIMEOUT_MS: u64 = 30_000;

/// Outcome of a call as its caller sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The upstream answered with this status and body.
    Answer(u16, Bytes),
    /// The entry answered with `not_run`: no upstream executed the call.
    NotRun,
    /// The entry answered with `outcome_unknown`: an upstream may have executed the call.
    Unknown,
    /// The entry refused the call with this status and another error code.
    Refused(u16, String),
    /// No connection to the entry could be opened.
    NotConnected,
    /// The entry closed the connection without an answer, or did not answer within `ANSWER_TIMEOUT_MS`.
    CutOff,
}

/// Call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// API key that is sent as the bearer token.
    pub bearer_key: String,
    /// HTTP method.
    pub method: String,
    /// Request path that starts with the service, for example `/services/belfry-desk/bookings`.
    pub path: String,
    /// Value of `Idempotency-Key`; `None` leaves out the header.
    pub idempotency_key: Option<String>,
    /// Value of `X-Request-Id`.
    pub request_id: String,
    /// Request body.
    pub body: String,
}

impl ServiceCall {
    /// Sends the call once, to the entry at `addr`.
    pub async fn send(&self, addr: SocketAddr) -> CallOutcome {
        let Ok(connection) = ServiceConnection::open(addr, CONNECT_TIMEOUT_MS).await else {
            return CallOutcome::NotConnected;
        };
        let mut request = Request::builder()
            .method(self.method.as_str())
            .uri(&self.path)
            .header(HOST, addr.to_string())
            .header(AUTHORIZATION, format!("Bearer {}", self.bearer_key))
            .header("x-request-id", &self.request_id);
        if let Some(key) = &self.idempotency_key {
            request = request.header("idempotency-key", key);
        }
        let Ok(request) = request.body(Full::new(Bytes::from(self.body.clone()))) else {
            return CallOutcome::NotConnected;
        };
        match connection.send(request, ANSWER_TIMEOUT_MS).await {
            Ok(response) => outcome_of(response),
            Err(_) => CallOutcome::CutOff,
        }
    }
}

/// Returns the outcome that a response stands for. A body that is not an error of the entry comes from the upstream.
fn outcome_of(response: Response<Bytes>) -> CallOutcome {
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
