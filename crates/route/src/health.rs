//! Ejection of an upstream that fails, and its gradual return.

/// Failures in a row that eject an upstream.
const EJECT_FAILURES: u32 = 3;

/// First ejection; each further one without a success between takes twice as long.
const EJECT_MS: u64 = 1_000;

/// Longest ejection.
const EJECT_LIMIT_MS: u64 = 30_000;

/// Time in which the share of a new or returning upstream grows to the full one.
const RAMP_MS: u64 = 5_000;

/// Share at the start of the ramp. It is above zero, so that the upstream gets requests that can succeed.
const RAMP_START: f64 = 0.1;

/// Health of one upstream as this entry sees it.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    failures: u32,
    ejections: u32,
    /// End of the last ejection, or the time at which the upstream was first seen.
    returns_at_ms: Option<u64>,
}

impl Health {
    /// An upstream that was there before this entry: it needs no warm-up.
    pub fn warm() -> Self {
        Self { failures: 0, ejections: 0, returns_at_ms: None }
    }

    /// An upstream that appeared at `now_ms`.
    pub fn warming_up(now_ms: u64) -> Self {
        Self { returns_at_ms: Some(now_ms), ..Self::warm() }
    }

    /// Takes over a request that succeeded. Successes end a row of failures; full trust returns with the ramp.
    pub fn record_success(&mut self, now_ms: u64) {
        self.failures = 0;
        if self.weight(now_ms) >= 1.0 {
            self.ejections = 0;
        }
    }

    /// Takes over a request that failed through the upstream's fault; whether that ejects it.
    pub fn record_failure(&mut self, now_ms: u64) -> bool {
        if self.is_ejected(now_ms) {
            return false;
        }
        self.failures += 1;
        if self.failures < EJECT_FAILURES {
            return false;
        }
        let length_ms = (EJECT_MS << self.ejections.min(10)).min(EJECT_LIMIT_MS);
        self.failures = 0;
        self.ejections += 1;
        self.returns_at_ms = Some(now_ms + length_ms);
        true
    }

    /// Whether the upstream is ejected.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        self.returns_at_ms.is_some_and(|at_ms| now_ms < at_ms)
    }

    /// Share of the usual load that the upstream takes, from 0 while ejected to 1.
    pub fn weight(&self, now_ms: u64) -> f64 {
        match self.returns_at_ms {
            None => 1.0,
            Some(at_ms) if now_ms < at_ms => 0.0,
            Some(at_ms) => {
                let progress = (now_ms - at_ms) as f64 / RAMP_MS as f64;
                (RAMP_START + (1.0 - RAMP_START) * progress).min(1.0)
            }
        }
    }
}
