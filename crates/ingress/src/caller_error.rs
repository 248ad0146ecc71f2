//! Errors that this system returns to callers.

use crate::{crash_quarantine::Subject, dialect::Dialect};
use hyper::{
    Response,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use quick_error::quick_error;
use web::{ResponseBody, StatusCode};

quick_error! {
    /// Why a caller gets no response of an upstream.
    ///
    /// `Busy`, `Quarantined`, `RequestQuarantined`, `StreamVersionGone`, `StreamVersionUnknown`, `NoConfig`,
    /// `MemorySpent` and `BodyTimeout` guarantee that the request has not run and never will.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum CallerError {
        /// The daemon has not received a configuration yet.
        NoConfig {
            display("no configuration is known yet")
        }
        /// No route matches the request, or the route has no service.
        NoRoute {
            display("no route matches")
        }
        /// The request lacks a key of a client account, which its route requires.
        UnknownKey {
            display("the key is missing or unknown")
        }
        /// A header that decides how the request is served is missing or malformed.
        Header(name: &'static str) {
            display("the header for the {name} is missing or malformed")
        }
        /// The headers exceed the configured limit.
        HeadersTooLarge {
            display("the headers are larger than the limit")
        }
        /// The connection failed before the end of the body.
        IncompleteBody {
            display("the body ended early")
        }
        /// The body did not arrive within 10 s or the timeout of the route.
        BodyTimeout {
            display("the body did not arrive in time")
        }
        /// The body exceeds the configured limit.
        TooLarge {
            display("the body is larger than the limit")
        }
        /// The request has not run, because there was no room for its body. The caller may retry after the given time.
        MemorySpent(retry_after_ms: u64) {
            display("the request has not run, since there is no room for its body")
        }
        /// The request has not run. The caller may retry after the given time.
        Busy(retry_after_ms: u64) {
            display("the request has not run, since no upstream can take it now")
        }
        /// The request has not run, because a part of its prompt crashes engines. The caller may retry after the given
        /// time.
        Quarantined(retry_after_ms: u64) {
            display("the request has not run, since a part of its prompt crashes engines")
        }
        /// The request was sent to engines, and a part of its prompt crashes engines. It may have run.
        PromptCrashed {
            display("a part of the prompt crashes engines; the request may have run")
        }
        /// The request has not run, because it crashes the upstreams that run it. The caller may retry after the given
        /// time.
        RequestQuarantined(retry_after_ms: u64) {
            display("the request has not run, since it crashes upstreams")
        }
        /// The request was sent to upstreams, and it crashes them. It may have run.
        RequestCrashed {
            display("the request crashes upstreams; it may have run")
        }
        /// The request has not run, because it is not known at which software version the stream began that it takes
        /// up. The caller may begin a new stream after the given time.
        StreamVersionUnknown(retry_after_ms: u64) {
            display("the request has not run, since the software version that began the stream is not known")
        }
        /// The request has not run, because no upstream has the software version at which the stream began. The caller
        /// may begin a new stream after the given time.
        StreamVersionGone(retry_after_ms: u64) {
            display("the request has not run, since no upstream has the software version that began the stream")
        }
        /// No upstream returned a valid response, and the request may have run.
        OutcomeUnknown {
            display("the upstream gave no valid answer; the request may have run")
        }
        /// The daemon panicked while it served the request, which may have run.
        Panicked {
            display("the daemon failed; the request may have run")
        }
        /// No upstream responded before the deadline, and the request may have run.
        TimedOut {
            display("no answer came in time; the request may have run")
        }
    }
}

/// Value of `Retry-After` while the daemon has no configuration.
const NO_CONFIG_RETRY_AFTER_MS: u64 = 250;

impl CallerError {
    /// Error of a request that the quarantine of `subject` refuses. `may_have_run` tells whether it was sent.
    pub(crate) fn quarantined(subject: Subject, may_have_run: bool, retry_after_ms: u64) -> Self {
        match (subject, may_have_run) {
            (Subject::Parts, false) => Self::Quarantined(retry_after_ms),
            (Subject::Parts, true) => Self::PromptCrashed,
            (Subject::Requests, false) => Self::RequestQuarantined(retry_after_ms),
            (Subject::Requests, true) => Self::RequestCrashed,
        }
    }

    /// HTTP status of the response to the caller.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoConfig
            | Self::Busy(_)
            | Self::MemorySpent(_)
            | Self::Quarantined(_)
            | Self::RequestQuarantined(_)
            | Self::StreamVersionGone(_)
            | Self::StreamVersionUnknown(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::Header(_) | Self::IncompleteBody => StatusCode::BAD_REQUEST,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::HeadersTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::OutcomeUnknown | Self::PromptCrashed | Self::RequestCrashed => {
                StatusCode::BAD_GATEWAY
            }
            Self::Panicked => StatusCode::INTERNAL_SERVER_ERROR,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Code in error bodies, logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::NoConfig => "no_config",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::Header(_) => "bad_header",
            Self::HeadersTooLarge => "headers_too_large",
            Self::IncompleteBody => "bad_body",
            Self::BodyTimeout => "body_timeout",
            Self::TooLarge => "body_too_large",
            Self::Busy(_) => "not_run",
            Self::MemorySpent(_) => "memory_spent",
            Self::Quarantined(_) => "prompt_quarantined",
            Self::PromptCrashed => "prompt_crashed",
            Self::RequestQuarantined(_) => "request_quarantined",
            Self::RequestCrashed => "request_crashed",
            Self::StreamVersionGone(_) => "stream_version_gone",
            Self::StreamVersionUnknown(_) => "stream_version_unknown",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::Panicked => "panicked",
            Self::TimedOut => "timed_out",
        }
    }

    /// Creates the response to the caller. `request_id` is the identifier that the caller sent.
    pub fn response(
        self,
        dialect: &Dialect,
        request_id: Option<&HeaderValue>,
    ) -> Response<ResponseBody> {
        let body = format!(
            r#"{{"error":{{"message":"{self}","type":"{}","code":"{}"}}}}"#,
            self.status().as_str(),
            self.code()
        );
        let mut response = Response::new(web::full(body));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(id) = request_id {
            headers.insert(dialect.request_id.clone(), id.clone());
        }
        let retry_after_ms = match self {
            Self::Busy(retry_after_ms)
            | Self::MemorySpent(retry_after_ms)
            | Self::Quarantined(retry_after_ms)
            | Self::RequestQuarantined(retry_after_ms)
            | Self::StreamVersionGone(retry_after_ms)
            | Self::StreamVersionUnknown(retry_after_ms) => Some(retry_after_ms),
            Self::NoConfig => Some(NO_CONFIG_RETRY_AFTER_MS),
            _ => None,
        };
        if let Some(ms) = retry_after_ms
            && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", ms as f64 / 1_000.0))
        {
            headers.insert(RETRY_AFTER, value);
        }
        response
    }
}
