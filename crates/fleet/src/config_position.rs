//! Which configuration may replace the one in force.

use crate::{confirmed_plan::MAX_RECENT_PLANS, document::Document};
use base::PlanId;

/// Position of a configuration in the order of all configurations.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ConfigPosition {
    /// Revision at which the platform holds the document.
    pub revision: u64,
    /// `Document::sequence`.
    pub sequence: u64,
    /// Plan that was confirmed last; none in a document that was written without a plan.
    pub last_plan: Option<PlanId>,
}

impl ConfigPosition {
    /// Position of a document that the platform holds at `revision`.
    pub fn of(revision: u64, document: &Document) -> Self {
        let last_plan = document.recent_plans.last().map(|plan| plan.plan_id.clone());
        Self { revision, sequence: document.sequence, last_plan }
    }

    /// Whether a document that is offered at `revision` may take the place of this one, so that no accepted change is
    /// reverted.
    ///
    /// The revision alone is not enough: a platform that lost writes in an outage counts on from an older state, and
    /// a document without the accepted changes can then get a higher revision.
    pub fn can_advance_to(&self, revision: u64, document: &Document) -> bool {
        revision > self.revision && self.is_contained_in(document)
    }

    /// Whether a document contains all changes up to this position. Beyond the records that a document keeps, the
    /// number of changes decides.
    pub fn is_contained_in(&self, document: &Document) -> bool {
        let Some(last_plan) = &self.last_plan else { return true };
        let is_record_kept =
            document.sequence < self.sequence.saturating_add(MAX_RECENT_PLANS as u64);
        document.sequence >= self.sequence
            && (!is_record_kept || document.confirmed_plan(last_plan).is_some())
    }
}
