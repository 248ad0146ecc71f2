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
        Key {
            display("the operator key is missing or not valid")
        }
        /// There is no such route.
        Route {
            display("there is no such route")
        }
        /// The body cannot be read.
        Body(cause: web::ReadBodyError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The body or a value in it is not valid.
        Json(cause: serde_json::Error) {
            display("the request is not valid: {cause}")
            source(cause)
            from()
        }
        /// A query parameter is missing or not a number.
        Parameter(name: &'static str) {
            display("parameter {name} is missing or not a number")
        }
        /// The plan does not exist any more, or never did.
        NoPlan(id: PlanId) {
            display("plan {id} does not exist; it may have expired")
        }
        /// The intents cannot be planned, or no longer applied.
        Intent(cause: fleet::IntentError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The plan is larger than the platform holds.
        PlanTooLarge(size_bytes: usize) {
            display("the plan has {size_bytes} bytes, at most 1000000 are allowed; split it")
        }
        /// The plan is too old; it was not applied.
        Expired(id: PlanId) {
            display("plan {id} has expired and was not applied")
        }
        /// The configuration has changed since the plan; it was not applied.
        Stale(base_revision: u64, revision: u64, changes: Vec<ConfirmedPlan>) {
            display("the plan was built on revision {base_revision}, the configuration is at {revision}")
        }
        /// All places for plans are taken.
        TooManyPlans {
            display("too many plans are open")
        }
        /// The platform gave no answer; the configuration was not changed by this request.
        PlatformDown(cause: plat::PlatformError) {
            display("{cause}; this request did not change the configuration")
            source(cause)
            from()
        }
        /// The platform gave no answer to the confirmation.
        OutcomeUnknown(id: PlanId) {
            display("whether plan {id} was applied is unknown; confirm it again")
        }
        /// The record of the plan's outcome may have been dropped.
        Undecided(id: PlanId) {
            display("plan {id} is too old to tell whether it was applied; see the history")
        }
        /// The platform holds a document that lacks changes which are in force at this daemon.
        PlatformBehind(revision: u64, sequence: u64) {
            display("the platform's revision {revision} lacks accepted changes up to change {sequence}")
        }
        /// The platform holds a document that cannot be read.
        Document(cause: fleet::DocumentError) {
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
            Self::Key => StatusCode::UNAUTHORIZED,
            Self::Route | Self::NoPlan(_) => StatusCode::NOT_FOUND,
            Self::Stale(..) | Self::Expired(_) => StatusCode::CONFLICT,
            Self::Body(web::ReadBodyError::TooLarge(_)) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Body(_) | Self::Parameter(_) => StatusCode::BAD_REQUEST,
            Self::Json(_) | Self::Intent(_) | Self::PlanTooLarge(_) => {
                StatusCode::UNPROCESSABLE_ENTITY
            }
            Self::TooManyPlans
            | Self::PlatformDown(_)
            | Self::PlatformBehind(..)
            | Self::OutcomeUnknown(_)
            | Self::Undecided(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Document(_) => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// Code for programs.
    pub fn code(&self) -> &'static str {
        match self {
            Self::Key => "invalid_operator_key",
            Self::Route => "unknown_route",
            Self::Body(_) => "invalid_body",
            Self::Json(_) => "invalid_request",
            Self::Parameter(_) => "invalid_parameter",
            Self::NoPlan(_) => "plan_not_found",
            Self::Intent(_) => "intent_refused",
            Self::PlanTooLarge(_) => "plan_too_large",
            Self::Expired(_) => "plan_expired",
            Self::Stale(..) => "plan_stale",
            Self::TooManyPlans => "too_many_plans",
            Self::PlatformDown(_) => "platform_unavailable",
            Self::PlatformBehind(..) => "platform_behind",
            Self::OutcomeUnknown(_) | Self::Undecided(_) => "outcome_unknown",
            Self::Document(_) => "document_invalid",
        }
    }

    /// Whole response.
    pub fn response(&self) -> Response<ResponseBody> {
        let changes = match self {
            Self::Stale(_, _, changes) => changes.clone(),
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
