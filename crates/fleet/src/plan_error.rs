//! Errors of the confirmation of a plan.

use quick_error::quick_error;

quick_error! {
    /// Error of a plan that cannot be confirmed.
    #[derive(Debug)]
    pub enum PlanError {
        /// The document has changed since the plan was built.
        Stale(base_revision: u64, revision: u64) {
            display("the plan was built on revision {base_revision}, the document is at {revision}")
        }
        /// The plan is older than `PLAN_LIFETIME_MS`.
        Expired {
            display("the plan has expired")
        }
        /// An intent can no longer be applied, for example because a generation is now pinned to a version that the
        /// intent removes.
        Intent(cause: crate::intent_error::IntentError) {
            display("{cause}")
            source(cause)
            from()
        }
    }
}
