//! Errors that operators see.

use crate::error_body::{AdminErrorBody, AdminErrorDetail};
use base::PlanId;
use fleet::ConfirmedPlan;
use hyper::{
    Response,
    header::{HeaderValue, RETRY_AFTER},
};
use quick_error::quick_error;
use web::{ResponseBody, StatusCode};

/// Seconds after which a refused request may be tried again.
const RETRY_AFTER_S: u64 = 1;

quick_error! {
    /// Why a request of an operator was not done.
    #[derive(Debug)]
    pub enum AdminError {
        /// The bearer key is missing or unknown.
        InvalidKey {
            display("the operator key is missing or not valid")
        }
        /// There is no such route.
        UnknownRoute {
            display("there is no such route")
        }
        /// The body cannot be read.
        InvalidBody(cause: web::ReadBodyError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The body or a value in it is not valid.
        InvalidRequest(cause: serde_json::Error) {
            display("the request is not valid: {cause}")
            source(cause)
            from()
        }
        /// A query parameter is missing or not a number.
        InvalidParameter(name: &'static str) {
            display("parameter {name} is missing or not a number")
        }
        /// The plan does not exist any more, or never did.
        PlanNotFound(id: PlanId) {
            display("plan {id} does not exist; it may have expired")
        }
        /// The intents cannot be planned, or no longer applied.
        IntentRefused(cause: fleet::IntentError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The plan is larger than the platform holds.
        PlanTooLarge(size_bytes: usize) {
            display("the plan has {size_bytes} bytes, at most 1000000 are allowed; split it")
        }
        /// The plan is too old; it was not applied.
        PlanExpired(id: PlanId) {
            display("plan {id} has expired and was not applied")
        }
        /// The configuration has changed since the plan; it was not applied.
        PlanStale(base_revision: u64, revision: u64, changes: Vec<ConfirmedPlan>) {
            display("the plan was built on revision {base_revision}, the configuration is at {revision}")
        }
        /// All places for plans are taken.
        TooManyPlans {
            display("too many plans are open")
        }
        /// The platform gave no answer; the configuration was not changed by this request.
        PlatformUnavailable(cause: plat::PlatformError) {
            display("{cause}; this request did not change the configuration")
            source(cause)
            from()
        }
        /// The platform gave no answer to the confirmation.
        OutcomeUnknown(id: PlanId) {
            display("whether plan {id} was applied is unknown; confirm it again")
        }
        /// The record of the plan's outcome may have been dropped.
        OutcomeNotRecorded(id: PlanId) {
            display("plan {id} is too old to tell whether it was applied; see the history")
        }
        /// The platform holds a document that lacks changes which are in force at this daemon.
        PlatformBehind(revision: u64, sequence: u64) {
            display("the platform's revision {revision} lacks accepted changes up to change {sequence}")
        }
        /// The platform holds a document that cannot be read.
        InvalidDocument(cause: fleet::DocumentError) {
            display("{cause}")
            source(cause)
            from()
        }
    }
}

impl AdminError {
    /// HTTP status.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::InvalidKey => StatusCode::UNAUTHORIZED,
            Self::UnknownRoute | Self::PlanNotFound(_) => StatusCode::NOT_FOUND,
            Self::PlanStale(..) | Self::PlanExpired(_) => StatusCode::CONFLICT,
            Self::InvalidBody(web::ReadBodyError::TooLarge(_)) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::InvalidBody(_) | Self::InvalidParameter(_) => StatusCode::BAD_REQUEST,
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

    /// Code for programs.
    pub fn code(&self) -> &'static str {
        match self {
            Self::InvalidKey => "invalid_operator_key",
            Self::UnknownRoute => "unknown_route",
            Self::InvalidBody(_) => "invalid_body",
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

    /// Whole response.
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
