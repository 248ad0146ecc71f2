//! Errors of the administration API.

use crate::error_body::{AdminErrorBody, AdminErrorDetail};
use base::PlanId;
use fleet::ConfirmedPlan;
use hyper::{
    Response,
    header::{HeaderValue, RETRY_AFTER},
};
use quick_error::quick_error;
use web::{ResponseBody, StatusCode};

/// Value in seconds of the `Retry-After` header in responses with status 503.
const RETRY_AFTER_S: u64 = 1;

quick_error! {
    /// Reason why a request of an operator failed.
    #[derive(Debug)]
    pub enum AdminError {
        /// The bearer key of the request is missing or belongs to no operator.
        InvalidKey {
            display("the operator key is missing or not valid")
        }
        /// No route has this method and path.
        UnknownRoute {
            display("there is no such route")
        }
        /// The body of the request cannot be read, or it is too large.
        InvalidBody(cause: web::ReadBodyError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// There was no room for the body, or it did not arrive, within this time. The request was not run.
        BodyTimeout(wait_ms: u64) {
            display("the body did not arrive within {wait_ms} ms")
        }
        /// The JSON of the request, or of a value that the platform stores, is not valid.
        InvalidRequest(cause: serde_json::Error) {
            display("the request is not valid: {cause}")
            source(cause)
            from()
        }
        /// The named query parameter is missing or not a number.
        InvalidParameter(name: &'static str) {
            display("parameter {name} is missing or not a number")
        }
        /// No stored plan has this identifier. The plan may have expired and been overwritten by a newer one.
        PlanNotFound(id: PlanId) {
            display("plan {id} does not exist; it may have expired")
        }
        /// The intents cannot be planned, or a stored plan cannot be applied anymore.
        IntentRefused(cause: fleet::IntentError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The encoded plan exceeds the maximum size of a value on the platform. The field is its size in bytes.
        PlanTooLarge(size_bytes: usize) {
            display("the plan has {size_bytes} bytes, at most 1000000 are allowed; split it")
        }
        /// The plan has expired. It was not applied.
        PlanExpired(id: PlanId) {
            display("plan {id} has expired and was not applied")
        }
        /// The configuration has changed since the plan was built. The plan was not applied. The fields are the
        /// revision that it was built on, the current revision and the changes in between.
        PlanStale(base_revision: u64, revision: u64, changes: Vec<ConfirmedPlan>) {
            display("the plan was built on revision {base_revision}, the configuration is at {revision}")
        }
        /// Every slot that was tried for a new plan holds a plan that can still be confirmed, or was written by another
        /// request at the same time.
        TooManyPlans {
            display("too many plans are open")
        }
        /// The platform did not answer, or it refused a call. The request did not change the configuration.
        PlatformUnavailable(cause: plat::PlatformError) {
            display("{cause}; this request did not change the configuration")
            source(cause)
            from()
        }
        /// The platform did not answer the write of a confirmation, so that the plan may have been applied.
        OutcomeUnknown(id: PlanId) {
            display("whether plan {id} was applied is unknown; confirm it again")
        }
        /// The configuration document no longer lists plans as old as this one, so that the outcome of the plan cannot
        /// be determined.
        OutcomeNotRecorded(id: PlanId) {
            display("plan {id} is too old to tell whether it was applied; see the history")
        }
        /// The configuration document on the platform lacks changes that are active at this daemon. The fields are the
        /// revision on the platform and the sequence number of the last active change.
        PlatformBehind(revision: u64, sequence: u64) {
            display("the platform's revision {revision} lacks accepted changes up to change {sequence}")
        }
        /// The configuration document on the platform cannot be decoded, or the new document cannot be encoded.
        InvalidDocument(cause: fleet::DocumentError) {
            display("{cause}")
            source(cause)
            from()
        }
    }
}

impl AdminError {
    /// Returns the HTTP status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::InvalidKey => StatusCode::UNAUTHORIZED,
            Self::UnknownRoute | Self::PlanNotFound(_) => StatusCode::NOT_FOUND,
            Self::PlanStale(..) | Self::PlanExpired(_) => StatusCode::CONFLICT,
            Self::InvalidBody(web::ReadBodyError::TooLarge(_)) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::InvalidBody(_) | Self::InvalidParameter(_) => StatusCode::BAD_REQUEST,
            Self::BodyTimeout(_) => StatusCode::REQUEST_TIMEOUT,
            Self::InvalidRequest(_) | Self::IntentRefused(_) | Self::PlanTooLarge(_) => {
                StatusCode::UNPROCESSABLE_ENTITY
            }
            Self::TooManyPlans
            | Self::PlatformUnavailable(_)
            | Self::PlatformBehind(..)
            | Self::OutcomeUnknown(_)
            | Self::OutcomeNotRecorded(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::InvalidDocument(_) => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// Returns the machine-readable error code of the response body.
    pub fn code(&self) -> &'static str {
        match self {
            Self::InvalidKey => "invalid_operator_key",
            Self::UnknownRoute => "unknown_route",
            Self::InvalidBody(_) => "invalid_body",
            Self::BodyTimeout(_) => "body_timeout",
            Self::InvalidRequest(_) => "invalid_request",
            Self::InvalidParameter(_) => "invalid_parameter",
            Self::PlanNotFound(_) => "plan_not_found",
            Self::IntentRefused(_) => "intent_refused",
            Self::PlanTooLarge(_) => "plan_too_large",
            Self::PlanExpired(_) => "plan_expired",
            Self::PlanStale(..) => "plan_stale",
            Self::TooManyPlans => "too_many_plans",
            Self::PlatformUnavailable(_) => "platform_unavailable",
            Self::PlatformBehind(..) => "platform_behind",
            Self::OutcomeUnknown(_) | Self::OutcomeNotRecorded(_) => "outcome_unknown",
            Self::InvalidDocument(_) => "document_invalid",
        }
    }

    /// Builds the response, with a `Retry-After` header if its status is 503.
    pub fn response(&self) -> Response<ResponseBody> {
        let changes = match self {
            Self::PlanStale(_, _, changes) => changes.clone(),
            _ => Vec::new(),
        };
        let detail = AdminErrorDetail { message: self.to_string(), code: self.code().to_owned() };
        let mut response = web::json(self.status(), &AdminErrorBody { error: detail, changes });
        if self.status() == StatusCode::SERVICE_UNAVAILABLE {
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(RETRY_AFTER_S));
        }
        response
    }
}
