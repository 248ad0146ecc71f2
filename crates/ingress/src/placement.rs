//! Choice of an instance by what this daemon knows about its load and its failures.

use crate::{
    domain_losses::DomainLosses, instance::Instance, instance_entry::InstanceId,
    version_rule::VersionRule,
};
use affinity::SoftwareVersion;
use base::DomainName;
use rand::Rng;
use route::{Candidate, Policy, TimedCandidate, choose, choose_by_time, sample_by_speed};
use std::sync::Arc;

/// Number of instances that are sampled in proportion to their speeds, of which the least loaded one is chosen.
const SPEED_SAMPLE: usize = 4;

/// Constraints on the instance that a request is sent to.
#[derive(Debug, Default)]
pub(crate) struct Placement<'a> {
    /// Instances that must not be chosen, such as those that the request was sent to before.
    pub excluded: &'a [InstanceId],
    /// Failure domain to avoid: the instance must be in a different one.
    pub excluded_domain: Option<&'a DomainName>,
    /// Failure domain that the instance must be in; `None` if it may be in any.
    pub required_domain: Option<&'a DomainName>,
    /// Software version that the instance must have; `None` if it may have any.
    pub required_version: Option<&'a SoftwareVersion>,
    /// Versions or instances that a rollout allows; `None` for all of them.
    pub version_rule: Option<&'a VersionRule>,
    /// Whether instances in the daemon's own failure domain are preferred as long as they are not slower. Long requests
    /// are spread over all domains instead: the loss of one domain then hits only a few of them at each daemon, and the
    /// retry budget suffices.
    pub prefers_local: bool,
}

impl Placement<'_> {
    /// Chooses one of `instances`; `None` if none of them meets the constraints.
    ///
    /// Instances that failed recently, or whose failure domain seems to have failed, are chosen only if there are no
    /// others.
    pub fn choose(
        &self,
        instances: &[Arc<Instance>],
        own_domain: &DomainName,
        losses: &DomainLosses,
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<Arc<Instance>> {
        let mut usable: Vec<&Arc<Instance>> =
            instances.iter().filter(|instance| self.is_met_by(instance)).collect();
        prefer(&mut usable, |instance| !losses.has_failed(&instance.entry.domain, now_ms));
        prefer(&mut usable, |instance| !instance.has_failed_recently(now_ms));
        if self.prefers_local {
            return choose_for_call(usable, own_domain, now_ms, rng);
        }
        let speeds: Vec<f64> =
            usable.iter().map(|instance| instance.rates.relative_speed(now_ms)).collect();
        let sample = sample_by_speed(&speeds, SPEED_SAMPLE, rng);
        let usable: Vec<&Arc<Instance>> = sample.into_iter().map(|i| usable[i]).collect();
        let candidates: Vec<Candidate> =
            usable.iter().map(|instance| candidate(instance, now_ms)).collect();
        let chosen = choose(Policy::Scored, &candidates, 0, rng)?;
        Some(Arc::clone(usable[chosen]))
    }
}

impl Placement<'_> {
    /// Whether an instance takes requests and meets the constraints.
    pub fn is_met_by(&self, instance: &Instance) -> bool {
        instance.accepts_requests()
            && !self.excluded.contains(&instance.entry.id)
            && self.excluded_domain != Some(&instance.entry.domain)
            && self.required_domain.is_none_or(|domain| *domain == instance.entry.domain)
            && self.version_rule.is_none_or(|rule| rule.allows(instance))
            && self
                .required_version
                .is_none_or(|version| *version == instance.entry.software_version)
    }
}

/// Chooses an instance for a call by the expected response time, among those that did not refuse a call a moment ago.
fn choose_for_call(
    mut usable: Vec<&Arc<Instance>>,
    own_domain: &DomainName,
    now_ms: u64,
    rng: &mut impl Rng,
) -> Option<Arc<Instance>> {
    let is_local = |instance: &Instance| instance.entry.domain == *own_domain;
    let has_local = usable.iter().any(|instance| is_local(instance));
    prefer(&mut usable, |instance| !instance.rates.has_refused_recently(now_ms));
    let candidates: Vec<TimedCandidate> = usable
        .iter()
        .map(|instance| TimedCandidate {
            response_ms: instance.rates.response_ms(now_ms),
            has_answered: instance.rates.has_answered(),
            in_flight: instance.in_flight(),
            slots: instance.entry.slots,
            weight: instance.weight(now_ms),
            is_local: is_local(instance),
        })
        .collect();
    let chosen = usable[choose_by_time(&candidates, rng)?];
    if has_local {
        chosen.rates.service().count_call(is_local(chosen), now_ms);
    }
    Some(Arc::clone(chosen))
}

/// Describes an engine for the routing policy. The load is that of this daemon's requests alone.
fn candidate(instance: &Instance, now_ms: u64) -> Candidate {
    let in_flight = instance.in_flight();
    Candidate {
        in_flight,
        reported_load: None,
        corrected_load: in_flight,
        report_age_ms: 0,
        sent_since_report: 0,
        batch_limit: instance.entry.slots,
        missing_blocks: 0,
        weight: instance.weight(now_ms),
        is_local: true,
        has_version: None,
    }
}

/// Removes the instances that are not preferred, unless that would remove all.
fn prefer(usable: &mut Vec<&Arc<Instance>>, is_preferred: impl Fn(&Instance) -> bool) {
    if usable.iter().any(|instance| is_preferred(instance)) {
        usable.retain(|instance| is_preferred(instance));
    }
}
