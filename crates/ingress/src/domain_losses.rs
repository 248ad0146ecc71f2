//! Detection of failed failure domains by the recent losses of their instances.

use base::{DomainName, HashMap};

/// Time for which the loss of an instance counts as recent.
const WINDOW_MS: u64 = 600;

/// Number of instances lost within the window from which their failure domain counts as failed.
const MIN_LOST_INSTANCES: usize = 2;

/// Recent losses of instances, by failure domain.
///
/// The instances of a failure domain tend to fail together. After the loss of some, others that stop sending at the
/// same time have probably failed as well.
#[derive(Debug, Default)]
pub struct DomainLosses {
    /// Identifiers of the lost instances of each failure domain, with the times of the losses.
    lost: HashMap<DomainName, Vec<(Box<str>, u64)>>,
}

impl DomainLosses {
    /// Records that the instance was lost at `now_ms`. An earlier loss of the same instance no longer counts.
    pub fn add(&mut self, domain: &DomainName, instance: &str, now_ms: u64) {
        let lost = self.lost.entry(domain.clone()).or_default();
        lost.retain(|(id, at_ms)| now_ms < at_ms + WINDOW_MS && &**id != instance);
        lost.push((instance.into(), now_ms));
    }

    /// Whether so many instances of the failure domain were lost recently that it seems to have failed as a whole.
    pub fn has_failed(&self, domain: &DomainName, now_ms: u64) -> bool {
        self.count(domain, now_ms) >= MIN_LOST_INSTANCES
    }

    /// Whether at least one instance of the failure domain was lost recently.
    pub fn has_loss(&self, domain: &DomainName, now_ms: u64) -> bool {
        self.count(domain, now_ms) > 0
    }

    fn count(&self, domain: &DomainName, now_ms: u64) -> usize {
        let recent = |lost: &Vec<(Box<str>, u64)>| {
            lost.iter().filter(|(_, at_ms)| now_ms < at_ms + WINDOW_MS).count()
        };
        self.lost.get(domain).map_or(0, recent)
    }
}
