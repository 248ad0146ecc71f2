//! Latency and failure measurements of each service at this entry.

use base::{Clock, HashMap, ServiceName, lock};
use burn::{BurnDigest, ServiceMeter};
use std::sync::{Mutex, MutexGuard};

/// Largest number of measured services, which bounds the memory when services are created and removed. Further services
/// are not measured.
const MAX_SERVICES: usize = 64;

/// Measurements of the requests at this entry, by service.
#[derive(Debug, Default)]
pub(crate) struct Meters {
    services: Mutex<HashMap<ServiceName, ServiceMeter>>,
}

impl Meters {
    /// Updates the measurements of a service with `change`, which receives them and the time in seconds since the Unix
    /// epoch.
    pub fn update(&self, service: &ServiceName, change: impl FnOnce(&mut ServiceMeter, u64)) {
        let mut services = self.lock();
        if services.contains_key(service) || services.len() < MAX_SERVICES {
            change(services.entry(service.clone()).or_default(), Clock::unix_ms() / 1_000);
        }
    }

    /// Measurements of all services, sorted by service name, in a form that can be merged with those of other entries.
    pub fn digest(&self) -> BurnDigest {
        let unix_s = Clock::unix_ms() / 1_000;
        let mut services = self.lock();
        let digests = services.iter_mut().map(|(service, meter)| meter.digest(service, unix_s));
        let mut digests: Vec<_> = digests.collect();
        digests.sort_by(|a, b| a.service.cmp(&b.service));
        BurnDigest { services: digests }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceName, ServiceMeter>> {
        lock(&self.services)
    }
}
