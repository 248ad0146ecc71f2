//! Errors that callers see.

use hyper::{
    Response,
    header::{ALLOW, HeaderValue, RETRY_AFTER},
};
use quick_error::quick_error;
use recovery::FailCause;
use web::{ResponseBody, StatusCode};
use wire::openai::{ErrorBody, ErrorDetail};

/// Seconds after which a refused request may be tried again.
const RETRY_AFTER_S: u64 = 1;

quick_error! {
    /// Why a request was not answered as asked.
    #[derive(Debug)]
    pub enum ApiError {
        /// The bearer key is missing or unknown.
        Key {
            display("the bearer key is missing or not valid")
        }
        /// There is no such route.
        Route {
            display("there is no such route")
        }
        /// The route has other methods.
        Method(allowed: &'static str) {
            display("this route takes {allowed} only")
        }
        /// The body is too large.
        TooLarge(limit_bytes: usize) {
            display("the body is larger than {limit_bytes} bytes")
        }
        /// The body ended early.
        Body {
            display("the body ended early")
        }
        /// The body is not the expected JSON.
        Json(cause: serde_json::Error) {
            display("the body is not valid: {cause}")
            source(cause)
            from()
        }
        /// A field has a value that is not accepted.
        Field(name: &'static str, allowed: &'static str) {
            display("{name} is not accepted; allowed: {allowed}")
        }
        /// The model is unknown.
        Model(name: Box<str>) {
            display("the model {name:?} does not exist")
        }
        /// The service is unknown.
        Service(name: Box<str>) {
            display("the service {name:?} does not exist")
        }
        /// The client account has used up its rate.
        AccountLimit(wait_ms: u64) {
            display("the rate of the client account is used up; the request was not run")
        }
        /// The service has no room within the time that a request may wait.
        Overloaded {
            display("the service is overloaded; the request was not run")
        }
        /// No upstream is available; the request was not run.
        NoUpstream {
            display("no upstream is available; the request was not run")
        }
        /// An upstream failed after the request may have reached it.
        UnknownOutcome {
            display("the upstream failed; whether the request was run is unknown")
        }
        /// The generation could not be finished.
        Generation(cause: FailCause) {
            display("the answer could not be finished: {cause}")
            from()
        }
        /// The entry failed.
        Internal {
            display("the entry failed to serve the request")
        }
    }
}

impl ApiError {
    /// HTTP status.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Key => StatusCode::UNAUTHORIZED,
            Self::Route | Self::Model(_) | Self::Service(_) => StatusCode::NOT_FOUND,
            Self::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
            Self::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Body | Self::Json(_) | Self::Field(..) => StatusCode::BAD_REQUEST,
            Self::AccountLimit(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::NoUpstream | Self::Generation(_) | Self::Overloaded => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::UnknownOutcome => StatusCode::BAD_GATEWAY,
            Self::Internal => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// Code for programs.
    pub fn code(&self) -> &'static str {
        match self {
            Self::Key => "invalid_api_key",
            Self::Route => "unknown_route",
            Self::Method(_) => "method_not_allowed",
            Self::TooLarge(_) => "body_too_large",
            Self::Body => "body_incomplete",
            Self::Json(_) => "invalid_body",
            Self::Field(..) => "invalid_value",
            Self::Model(_) => "model_not_found",
            Self::Service(_) => "service_not_found",
            Self::AccountLimit(_) => "rate_limit_exceeded",
            Self::Overloaded => "overloaded",
            Self::NoUpstream => "not_run",
            Self::UnknownOutcome => "outcome_unknown",
            Self::Generation(_) => "generation_failed",
            Self::Internal => "internal_error",
        }
    }

    /// Body of the error.
    pub fn body(&self) -> ErrorBody {
        let kind = match self.status().as_u16() {
            401 => "authentication_error",
            429 => "rate_limit_error",
            400..=499 => "invalid_request_error",
            _ => "server_error",
        };
        let param = match self {
            Self::Field(name, _) => Some((*name).to_owned()),
            Self::Model(_) => Some("model".to_owned()),
            _ => None,
        };
        let code = Some(self.code().to_owned());
        ErrorBody {
            error: ErrorDetail { message: self.to_string(), r#type: kind.to_owned(), param, code },
        }
    }

    /// Whole response.
    pub fn response(&self) -> Response<ResponseBody> {
        let mut response = web::json(self.status(), &self.body());
        if let Self::Method(allowed) = self {
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
