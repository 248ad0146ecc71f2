//! Losses of attempts by failure domain.

use base::{DomainName, HashMap};

/// Time in which several lost instances show that their failure domain has failed.
const WINDOW_MS: u64 = 600;

/// Instances whose loss within the window shows that.
const MIN_INSTANCES: usize = 2;

/// Recent losses of instances, by failure domain.
///
/// The instances of a failure domain tend to fail together, so the loss of several is a sign for the others that are
/// silent at the same time.
#[derive(Debug, Default)]
pub struct DomainLosses {
    lost: HashMap<DomainName, Vec<(Box<str>, u64)>>,
}

impl DomainLosses {
    /// Takes over that an instance was lost.
    pub fn add(&mut self, domain: &DomainName, instance: &str, now_ms: u64) {
        let lost = self.lost.entry(domain.clone()).or_default();
        lost.retain(|(id, at_ms)| now_ms < at_ms + WINDOW_MS && &**id != instance);
        lost.push((instance.into(), now_ms));
    }

    /// Whether several instances of the failure domain were lost a short while ago.
    pub fn has_failed(&self, domain: &DomainName, now_ms: u64) -> bool {
        self.count(domain, now_ms) >= MIN_INSTANCES
    }

    /// Whether an instance of the failure domain was lost a short while ago.
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
