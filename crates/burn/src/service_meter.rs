//! Records requests and durations as they are measured.

use crate::{
    distribution::Distribution,
    duration_kind::{DURATION_KINDS, DurationKind},
    request_counts::RequestCounts,
    service_digest::ServiceDigest,
    window::WINDOWS,
    window_counts::WindowCounts,
};
use base::ServiceName;

/// Interval at which new distributions are started, in seconds. The previous ones are kept, so that a digest covers the
/// last 30 to 60 minutes.
const ROTATION_PERIOD_S: u64 = 1_800;

/// Records the measurements of one service at one daemon. Its memory is limited to 132 slots of request counts and 6
/// distributions of about 8 KB each.
#[derive(Clone, Debug)]
pub struct ServiceMeter {
    windows: Vec<WindowCounts>,
    /// Distributions of the current rotation period, one for each `DurationKind`.
    current: Vec<Distribution>,
    /// Distributions of the previous rotation period.
    previous: Vec<Distribution>,
    /// Number of the current rotation period since the Unix epoch.
    period: u64,
}

impl Default for ServiceMeter {
    fn default() -> Self {
        Self {
            windows: WINDOWS.map(WindowCounts::new).to_vec(),
            current: vec![Distribution::new(); DURATION_KINDS.len()],
            previous: vec![Distribution::new(); DURATION_KINDS.len()],
            period: 0,
        }
    }
}

impl ServiceMeter {
    /// Counts a request that finished at `unix_s`.
    ///
    /// `first_ms` is the time to the first token or the response, or `None` if neither arrived. `target_ms` is the
    /// target of the active latency objective, or `None` if the service has no such objective.
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
        for window in &mut self.windows {
            window.add(unix_s, &counts);
        }
        if let Some(first_ms) = first_ms {
            self.record_durations(unix_s, DurationKind::First, &[first_ms]);
        }
    }

    /// Adds durations of one kind that were measured at `unix_s`.
    pub fn record_durations(&mut self, unix_s: u64, kind: DurationKind, durations_ms: &[u64]) {
        self.rotate(unix_s);
        let distribution = &mut self.current[kind as usize];
        for &duration_ms in durations_ms {
            distribution.record(duration_ms);
        }
    }

    /// Returns the measurements in a form that can be merged with those of other daemons.
    pub fn digest(&mut self, service: &ServiceName, unix_s: u64) -> ServiceDigest {
        self.rotate(unix_s);
        let durations = DURATION_KINDS.iter().zip(self.current.iter().zip(&self.previous));
        let durations = durations.map(|(kind, (current, previous))| {
            let mut sum = current.clone();
            sum.merge(previous);
            (*kind, sum)
        });
        ServiceDigest {
            service: service.clone(),
            rings: self.windows.clone(),
            durations: durations.collect(),
        }
    }

    /// Starts new distributions if `unix_s` is in a later rotation period than the current distributions.
    fn rotate(&mut self, unix_s: u64) {
        let period = unix_s / ROTATION_PERIOD_S;
        if period <= self.period {
            return;
        }
        let empty = vec![Distribution::new(); DURATION_KINDS.len()];
        let finished = std::mem::replace(&mut self.current, empty.clone());
        self.previous = if period == self.period + 1 { finished } else { empty };
        self.period = period;
    }
}
