//! Measurements of one service at one daemon.

use crate::{
    distribution::Distribution,
    duration_kind::{DURATION_KINDS, DurationKind},
    request_counts::RequestCounts,
    service_digest::ServiceDigest,
    window::WINDOWS,
    window_counts::WindowCounts,
};
use base::ServiceName;

/// Time after which a distribution is replaced. The last one is kept, so that a digest covers half an hour to an hour.
const DISTRIBUTION_S: u64 = 1_800;

/// Measurements of one service at one daemon, in bounded memory: 132 slots of counts and 6 distributions of about 8 KB.
#[derive(Clone, Debug)]
pub struct ServiceMeter {
    rings: Vec<WindowCounts>,
    present: Vec<Distribution>,
    last: Vec<Distribution>,
    period: u64,
}

impl Default for ServiceMeter {
    fn default() -> Self {
        Self {
            rings: WINDOWS.map(WindowCounts::new).to_vec(),
            present: vec![Distribution::new(); DURATION_KINDS.len()],
            last: vec![Distribution::new(); DURATION_KINDS.len()],
            period: 0,
        }
    }
}

impl ServiceMeter {
    /// Counts a request that has ended. `first_ms` is the time to the first token or the answer, none if there was
    /// none; `target_ms` the objective in force.
    pub fn record_request(
        &mut self,
        unix_s: u64,
        first_ms: Option<u64>,
        is_failed: bool,
        target_ms: Option<u64>,
    ) {
        let is_slow = match (first_ms, target_ms) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(first_ms), Some(target_ms)) => first_ms > target_ms,
        };
        let counts = RequestCounts { total: 1, failed: is_failed.into(), slow: is_slow.into() };
        for ring in &mut self.rings {
            ring.add(unix_s, &counts);
        }
        if let Some(first_ms) = first_ms {
            self.record_durations(unix_s, DurationKind::First, &[first_ms]);
        }
    }

    /// Adds durations.
    pub fn record_durations(&mut self, unix_s: u64, measure: DurationKind, durations_ms: &[u64]) {
        self.rotate(unix_s);
        let distribution = &mut self.present[measure as usize];
        for &duration_ms in durations_ms {
            distribution.record(duration_ms);
        }
    }

    /// Measurements in a form that can be merged.
    pub fn digest(&mut self, service: &ServiceName, unix_s: u64) -> ServiceDigest {
        self.rotate(unix_s);
        let durations = DURATION_KINDS.iter().zip(self.present.iter().zip(&self.last));
        let durations = durations.map(|(measure, (present, last))| {
            let mut sum = present.clone();
            sum.merge(last);
            (*measure, sum)
        });
        ServiceDigest {
            service: service.clone(),
            rings: self.rings.clone(),
            durations: durations.collect(),
        }
    }

    fn rotate(&mut self, unix_s: u64) {
        let period = unix_s / DISTRIBUTION_S;
        if period <= self.period {
            return;
        }
        let fresh = vec![Distribution::new(); DURATION_KINDS.len()];
        let present = std::mem::replace(&mut self.present, fresh.clone());
        self.last = if period == self.period + 1 { present } else { fresh };
        self.period = period;
    }
}
