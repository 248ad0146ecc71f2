//! Data that the generations of an entry share for recovery.

use crate::service_recovery_limiter::ServiceRecoveryLimiter;
use base::{Clock, HashMap, ServiceName, lock};
use conf::{RecoveryPolicy, RecoverySettings};
use fleet::Preset;
use recovery::{EngineBackoff, Policy, RecoveryLimits, TimingTracker};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

/// Recovery state that the generations of an entry share: usual token timings by model, rate limiters of recovery
/// attempts by service, and engines that new attempts avoid after a failure.
#[derive(Debug)]
pub(crate) struct RecoveryState {
    clock: Clock,
    settings: RecoverySettings,
    trackers: Mutex<HashMap<String, Arc<Mutex<TimingTracker>>>>,
    limiters: Mutex<HashMap<ServiceName, Arc<ServiceRecoveryLimiter>>>,
    backoffs: Mutex<HashMap<SocketAddr, EngineBackoff>>,
}

impl RecoveryState {
    pub fn new(settings: RecoverySettings, clock: Clock) -> Self {
        Self {
            clock,
            settings,
            trackers: Mutex::default(),
            limiters: Mutex::default(),
            backoffs: Mutex::default(),
        }
    }

    /// Recovery policy for generations of a service with `preset`. The settings may override the preset, and the
    /// floor and factor of its silence timeout.
    pub fn policy(&self, preset: Preset) -> Policy {
        let mut policy = match (self.settings.policy, preset) {
            (RecoveryPolicy::FixedTimeout, _) => Policy::FIXED_TIMEOUT,
            (RecoveryPolicy::Restart, _) => Policy::RESTART,
            (RecoveryPolicy::Preset, Preset::Economy) => Policy::ECONOMY,
            (RecoveryPolicy::Preset, Preset::Latency) => Policy::LATENCY,
        };
        if self.settings.silence_floor_ms > 0 {
            policy.silence_floor_ms = self.settings.silence_floor_ms;
        }
        if self.settings.silence_factor > 0 {
            policy.silence_factor = self.settings.silence_factor as f64;
        }
        policy
    }

    /// Tracker of the usual token timings of a model, created on first use.
    pub fn timing_tracker(&self, model: &str) -> Arc<Mutex<TimingTracker>> {
        let mut trackers = lock(&self.trackers);
        if let Some(tracker) = trackers.get(model) {
            return Arc::clone(tracker);
        }
        let tracker = Arc::<Mutex<TimingTracker>>::default();
        trackers.insert(model.to_owned(), Arc::clone(&tracker));
        tracker
    }

    /// Rate limiter of the recovery attempts of a service, created on first use.
    pub fn limiter(&self, service: &ServiceName) -> Arc<ServiceRecoveryLimiter> {
        let mut limiters = lock(&self.limiters);
        if let Some(limiter) = limiters.get(service) {
            return Arc::clone(limiter);
        }
        let limits = RecoveryLimits {
            attempts_per_s: self.settings.attempts_per_s as u32,
            burst: self.settings.burst as u32,
            max_concurrent: self.settings.max_concurrent as u32,
        };
        let limiter = Arc::new(ServiceRecoveryLimiter::new(limits, self.clock));
        limiters.insert(service.clone(), Arc::clone(&limiter));
        limiter
    }

    /// Records a failure of the engine at `addr`, so that new attempts of all generations avoid the engine for a while.
    pub fn record_engine_failure(&self, addr: SocketAddr) {
        let now_ms = self.clock.now_ms();
        let mut backoffs = lock(&self.backoffs);
        match backoffs.get_mut(&addr) {
            Some(backoff) => backoff.record_failure(now_ms),
            None => drop(backoffs.insert(addr, EngineBackoff::new(now_ms))),
        }
    }

    /// Adds to `addrs` the engines that new attempts should avoid because of recent failures.
    pub fn add_avoided_engines(&self, addrs: &mut Vec<SocketAddr>) {
        let now_ms = self.clock.now_ms();
        let mut backoffs = lock(&self.backoffs);
        backoffs.retain(|_, backoff| !backoff.is_expired(now_ms));
        let avoided = backoffs.iter().filter(|(_, backoff)| backoff.is_avoided(now_ms));
        addrs.extend(avoided.map(|(addr, _)| addr));
    }
}
