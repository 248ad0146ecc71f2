//! Order of configurations, which decides whether a newly read one may replace the active one.

use crate::{confirmed_plan::MAX_RECENT_PLANS, document::Document};
use base::PlanId;

/// Position of a configuration in the history of all configurations.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ConfigPosition {
    /// Revision at which the platform holds the document.
    pub revision: u64,
    /// `Document::sequence` of the document.
    pub sequence: u64,
    /// Plan that was confirmed last; `None` in a document that was written without a plan.
    pub last_plan: Option<PlanId>,
}

impl ConfigPosition {
    /// Returns the position of a document that the platform holds at `revision`.
    pub fn of(revision: u64, document: &Document) -> Self {
        let last_plan = document.recent_plans.last().map(|plan| plan.plan_id.clone());
        Self { revision, sequence: document.sequence, last_plan }
    }

    /// Returns whether a document at `revision` may replace the one at this position without reverting an accepted
    /// change.
    ///
    /// A higher revision alone doesn't suffice. A platform that lost writes in an outage continues from an older state,
    /// so that a document without the accepted changes can get a higher revision.
    pub fn can_advance_to(&self, revision: u64, document: &Document) -> bool {
        revision > self.revision && self.is_contained_in(document)
    }

    /// Returns whether a document contains all changes up to this position. If the document is so far ahead that it no
    /// longer lists the plan at this position, only the sequence numbers are compared.
    pub fn is_contained_in(&self, document: &Document) -> bool {
        let Some(last_plan) = &self.last_plan else { return true };
        let is_record_kept =
            document.sequence < self.sequence.saturating_add(MAX_RECENT_PLANS as u64);
        document.sequence >= self.sequence
            && (!is_record_kept || document.confirmed_plan(last_plan).is_some())
    }
}
