//! Instances that a request may go to.

use crate::{domain_losses::DomainLosses, instance::Instance, instance_entry::InstanceId};
use base::DomainName;
use rand::Rng;
use route::{Candidate, Policy, choose};
use std::sync::Arc;

/// What a request demands of its instance.
#[derive(Debug, Default)]
pub(crate) struct Placement<'a> {
    /// Instances at which the request failed.
    pub excluded: &'a [InstanceId],
    /// Failure domain that the instance must not be in.
    pub other_than: Option<&'a DomainName>,
    /// Whether instances of the own failure domain are preferred. Long requests are spread over all, so that the loss of
    /// a failure domain hits few of them at each daemon and the budget of repeats lasts.
    pub prefers_local: bool,
}

impl Placement<'_> {
    /// Chooses one of `instances`; `None` if none may be used.
    ///
    /// Instances that failed a short while ago, or whose failure domain seems to have failed, are used only if there is
    /// no other.
    pub fn choose(
        &self,
        instances: &[Arc<Instance>],
        own_domain: &DomainName,
        losses: &DomainLosses,
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<Arc<Instance>> {
        let is_usable = |instance: &Instance| {
            instance.is_open()
                && !self.excluded.contains(&instance.entry.id)
                && self.other_than != Some(&instance.entry.domain)
        };
        let mut usable: Vec<&Arc<Instance>> =
            instances.iter().filter(|instance| is_usable(instance)).collect();
        prefer(&mut usable, |instance| !losses.has_failed(&instance.entry.domain, now_ms));
        prefer(&mut usable, |instance| !instance.is_avoided(now_ms));
        let candidates: Vec<Candidate> =
            usable.iter().map(|instance| self.candidate(instance, own_domain, now_ms)).collect();
        let chosen = choose(Policy::Scored, &candidates, 0, rng)?;
        Some(Arc::clone(usable[chosen]))
    }
}

impl Placement<'_> {
    fn candidate(&self, instance: &Instance, own_domain: &DomainName, now_ms: u64) -> Candidate {
        let in_flight = instance.in_flight();
        Candidate {
            in_flight,
            reported_load: None,
            corrected_load: in_flight,
            report_age_ms: 0,
            sent_since_report: 0,
            batch_limit: instance.entry.slots,
            missing_blocks: 0,
            weight: instance.share(now_ms),
            is_local: !self.prefers_local || instance.entry.domain == *own_domain,
            has_version: None,
        }
    }
}

fn prefer(usable: &mut Vec<&Arc<Instance>>, is_preferred: impl Fn(&Instance) -> bool) {
    if usable.iter().any(|instance| is_preferred(instance)) {
        usable.retain(|instance| is_preferred(instance));
    }
}
