//! Health of an upstream: ejection after consecutive failures, and slow start afterwards.

/// Number of consecutive failures that eject an upstream.
const EJECTION_FAILURES: u32 = 3;

/// Duration of the first ejection. Each further one lasts twice as long, until a request succeeds at full weight.
const BASE_EJECTION_MS: u64 = 1_000;

/// Maximum duration of an ejection.
const MAX_EJECTION_MS: u64 = 30_000;

/// Duration of the slow start, in which the weight of a new or returning upstream grows to 1.
const SLOW_START_MS: u64 = 5_000;

/// Weight at the beginning of the slow start. It is above 0 so that the upstream gets requests that can succeed.
const SLOW_START_WEIGHT: f64 = 0.1;

/// Health of an upstream as observed by this process.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    consecutive_failures: u32,
    /// Number of ejections since a request last succeeded at full weight.
    consecutive_ejections: u32,
    /// Beginning of the slow start: the end of the last ejection, or the time at which the upstream was discovered.
    /// `None` for an upstream that needs no slow start.
    slow_start_at_ms: Option<u64>,
}

impl Health {
    /// Creates the state of an upstream that was running before this process. It is already warm, so it receives its
    /// full load at once.
    pub fn warm() -> Self {
        Self { consecutive_failures: 0, consecutive_ejections: 0, slow_start_at_ms: None }
    }

    /// Creates the state of an upstream that was discovered at `now_ms` and begins its slow start then.
    pub fn warming_up(now_ms: u64) -> Self {
        Self { slow_start_at_ms: Some(now_ms), ..Self::warm() }
    }

    /// Records a request that succeeded.
    ///
    /// A success resets the count of consecutive failures. The ejection backoff is reset only once the slow start has
    /// ended.
    pub fn record_success(&mut self, now_ms: u64) {
        self.consecutive_failures = 0;
        if self.weight(now_ms) >= 1.0 {
            self.consecutive_ejections = 0;
        }
    }

    /// Records a request that the upstream failed, and returns whether this ejects the upstream.
    ///
    /// Failures during an ejection are not counted, so they do not prolong it.
    pub fn record_failure(&mut self, now_ms: u64) -> bool {
        if self.is_ejected(now_ms) {
            return false;
        }
        self.consecutive_failures += 1;
        if self.consecutive_failures < EJECTION_FAILURES {
            return false;
        }
        let ejection_ms =
            (BASE_EJECTION_MS << self.consecutive_ejections.min(10)).min(MAX_EJECTION_MS);
        self.consecutive_failures = 0;
        self.consecutive_ejections += 1;
        self.slow_start_at_ms = Some(now_ms + ejection_ms);
        true
    }

    /// Returns whether the upstream is ejected.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        self.slow_start_at_ms.is_some_and(|at_ms| now_ms < at_ms)
    }

    /// Returns the fraction of its normal load that the upstream may receive, from 0 (ejected) to 1.
    pub fn weight(&self, now_ms: u64) -> f64 {
        match self.slow_start_at_ms {
            None => 1.0,
            Some(at_ms) if now_ms < at_ms => 0.0,
            Some(at_ms) => {
                let progress = (now_ms - at_ms) as f64 / SLOW_START_MS as f64;
                (SLOW_START_WEIGHT + (1.0 - SLOW_START_WEIGHT) * progress).min(1.0)
            }
        }
    }
}
