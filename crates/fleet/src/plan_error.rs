//! Errors of the confirmation of a plan.

use quick_error::quick_error;

quick_error! {
    /// Why a plan cannot be applied.
    #[derive(Debug)]
    pub enum PlanError {
        /// The document is at another revision.
        Stale(base_revision: u64, revision: u64) {
            display("the plan was built on revision {base_revision}, the document is at {revision}")
        }
        /// The plan is too old.
        Expired {
            display("the plan has expired")
        }
        /// An intent no longer fits, for example because a generation is now pinned to a version.
        Intent(cause: crate::intent_error::IntentError) {
            display("{cause}")
            source(cause)
            from()
        }
    }
}
