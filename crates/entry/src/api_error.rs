//! Errors that are returned to callers.

use hyper::{
    Response,
    header::{ALLOW, HeaderValue, RETRY_AFTER},
};
use quick_error::quick_error;
use recovery::{CursorError, FailCause};
use web::{ResponseBody, StatusCode};
use wire::openai::{ErrorBody, ErrorDetail};

/// Value of `Retry-After` in responses with status 503, in seconds.
const RETRY_AFTER_S: u64 = 1;

quick_error! {
    /// Why a request failed.
    #[derive(Debug)]
    pub enum ApiError {
        /// The `Authorization` header has no bearer key, or the key belongs to no client account.
        InvalidKey {
            display("the bearer key is missing or not valid")
        }
        /// No route has the path of the request.
        UnknownRoute {
            display("there is no such route")
        }
        /// The route takes only the method `allowed`.
        MethodNotAllowed(allowed: &'static str) {
            display("this route takes {allowed} only")
        }
        /// The body is larger than `limit_bytes`.
        TooLarge(limit_bytes: usize) {
            display("the body is larger than {limit_bytes} bytes")
        }
        /// The connection ended before the whole body had arrived.
        IncompleteBody {
            display("the body ended early")
        }
        /// The body is not JSON, or lacks a required field, or a field has a wrong type.
        InvalidJson(cause: serde_json::Error) {
            display("the body is not valid: {cause}")
            source(cause)
            from()
        }
        /// The field or header `name` has a value that is not accepted.
        InvalidField(name: &'static str, allowed: &'static str) {
            display("{name} is not accepted; allowed: {allowed}")
        }
        /// The model does not exist, or lacks the adapter that the caller named after a colon.
        UnknownModel(name: Box<str>) {
            display("the model {name:?} does not exist")
        }
        /// There is no plain service with this name.
        UnknownService(name: Box<str>) {
            display("the service {name:?} does not exist")
        }
        /// The client account has exceeded its rate; a request may succeed after `wait_ms`.
        AccountLimit(wait_ms: u64) {
            display("the rate of the client account is used up; the request was not run")
        }
        /// The queue of the service is full, or the request waited in it for too long.
        Overloaded {
            display("the service is overloaded; the request was not run")
        }
        /// No upstream is available; the request was not run.
        NoUpstream {
            display("no upstream is available; the request was not run")
        }
        /// The entry has no configuration yet; the request was not run.
        NotReady {
            display("this entry has no configuration yet; the request was not run")
        }
        /// The platform is unavailable, so the idempotency key could not be claimed; the request was not run.
        PlatformUnavailable {
            display("the idempotency key cannot be claimed now; the request was not run")
        }
        /// It is not known whether the request was run. For example, an upstream failed after it may have received the
        /// request, or an earlier call with the same idempotency key has no known outcome.
        UnknownOutcome {
            display(
                "the outcome of the request is unknown; ask again with the same Idempotency-Key, or check its effect if it had none"
            )
        }
        /// An upstream that may have received the request did not answer within `wait_ms`.
        AnswerTimeout(wait_ms: u64) {
            display(
                "no answer within {wait_ms} ms, and the outcome of the request is unknown; ask again with the same Idempotency-Key, or check its effect if it had none"
            )
        }
        /// The idempotency key belongs to another request.
        KeyReused {
            display("this Idempotency-Key was used for another request")
        }
        /// An earlier call with the same idempotency key was run and answered with HTTP status `code`, but the answer
        /// was too large to be stored for a replay.
        AnswerNotStored(code: u16) {
            display("the request was run and answered with status {code}; the answer was too large to keep")
        }
        /// The body did not arrive within `wait_ms`.
        BodyTimeout(wait_ms: u64) {
            display("the body did not arrive within {wait_ms} ms")
        }
        /// The generation was given up for the reason `cause`.
        GenerationFailed(cause: FailCause) {
            display("the answer could not be finished: {cause}")
            from()
        }
        /// `Last-Event-ID` is not a valid cursor.
        InvalidCursor(cause: CursorError) {
            display("Last-Event-ID is not valid: {cause}")
            source(cause)
            from()
        }
        /// No daemon has the journal of the generation, or the journal belongs to another account or is unreadable.
        GenerationNotFound {
            display("the answer is no longer known; send the request again without Last-Event-ID")
        }
        /// No replica of the journal contains the position of the cursor, or another entry has claimed the journal in
        /// the meantime.
        CursorConflict {
            display("the answer cannot be continued from here; send the request again without Last-Event-ID")
        }
        /// The request differs from the one that began the generation.
        RequestMismatch {
            display("Last-Event-ID belongs to another request")
        }
        /// A daemon that may have the journal did not answer.
        HoldersUnreachable {
            display("the daemons that may have the answer did not respond")
        }
        /// The entry failed for a reason that neither the caller nor an upstream caused.
        Internal {
            display("the entry failed to serve the request")
        }
    }
}

impl ApiError {
    /// HTTP status of the error response. Several errors share a status, and `code` tells most of them apart.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::InvalidKey => StatusCode::UNAUTHORIZED,
            Self::UnknownRoute
            | Self::UnknownModel(_)
            | Self::UnknownService(_)
            | Self::GenerationNotFound => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed(_) => StatusCode::METHOD_NOT_ALLOWED,
            Self::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::IncompleteBody
            | Self::InvalidCursor(_)
            | Self::InvalidJson(_)
            | Self::InvalidField(..) => StatusCode::BAD_REQUEST,
            Self::AccountLimit(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::CursorConflict | Self::RequestMismatch => StatusCode::CONFLICT,
            Self::HoldersUnreachable
            | Self::NoUpstream
            | Self::NotReady
            | Self::PlatformUnavailable
            | Self::Overloaded
            | Self::GenerationFailed(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::UnknownOutcome => StatusCode::BAD_GATEWAY,
            Self::AnswerTimeout(_) => StatusCode::GATEWAY_TIMEOUT,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::AnswerNotStored(_) => StatusCode::CONFLICT,
            Self::BodyTimeout(_) => StatusCode::REQUEST_TIMEOUT,
            Self::Internal => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// Machine-readable code in the body of the response. Some errors that differ only in their cause share a code, for
    /// example `not_run`.
    pub fn code(&self) -> &'static str {
        match self {
            Self::InvalidKey => "invalid_api_key",
            Self::UnknownRoute => "unknown_route",
            Self::MethodNotAllowed(_) => "method_not_allowed",
            Self::TooLarge(_) => "body_too_large",
            Self::IncompleteBody => "body_incomplete",
            Self::InvalidJson(_) => "invalid_body",
            Self::InvalidField(..) => "invalid_value",
            Self::UnknownModel(_) => "model_not_found",
            Self::UnknownService(_) => "service_not_found",
            Self::AccountLimit(_) => "rate_limit_exceeded",
            Self::Overloaded => "overloaded",
            Self::NoUpstream | Self::NotReady | Self::PlatformUnavailable => "not_run",
            Self::KeyReused => "idempotency_key_reused",
            Self::AnswerNotStored(_) => "answer_not_stored",
            Self::BodyTimeout(_) => "body_timeout",
            Self::UnknownOutcome | Self::AnswerTimeout(_) => "outcome_unknown",
            Self::GenerationFailed(_) => "generation_failed",
            Self::InvalidCursor(_) => "invalid_cursor",
            Self::GenerationNotFound => "generation_not_found",
            Self::CursorConflict => "cursor_conflict",
            Self::RequestMismatch => "request_mismatch",
            Self::HoldersUnreachable => "holders_unreachable",
            Self::Internal => "internal_error",
        }
    }

    /// JSON body in the error format of the OpenAI API. Its `param` names the field or header that was not accepted, if
    /// there is one.
    pub fn body(&self) -> ErrorBody {
        let kind = match self.status().as_u16() {
            401 => "authentication_error",
            429 => "rate_limit_error",
            400..=499 => "invalid_request_error",
            _ => "server_error",
        };
        let param = match self {
            Self::InvalidField(name, _) => Some((*name).to_owned()),
            Self::UnknownModel(_) => Some("model".to_owned()),
            _ => None,
        };
        let code = Some(self.code().to_owned());
        ErrorBody {
            error: ErrorDetail { message: self.to_string(), r#type: kind.to_owned(), param, code },
        }
    }

    /// Error response for the caller. It has the header `Allow` for `MethodNotAllowed`, and `Retry-After` for
    /// `AccountLimit` and for all errors with status 503.
    pub fn response(&self) -> Response<ResponseBody> {
        let mut response = web::json(self.status(), &self.body());
        if let Self::MethodNotAllowed(allowed) = self {
            response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
        }
        if let Self::AccountLimit(wait_ms) = self {
            let wait_s = wait_ms.div_ceil(1_000).max(1);
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(wait_s));
        }
        if self.status() == StatusCode::SERVICE_UNAVAILABLE {
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(RETRY_AFTER_S));
        }
        response
    }
}
