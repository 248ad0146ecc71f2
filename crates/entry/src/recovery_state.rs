//! Recovery state that the generations of an entry share.

use crate::service_pacer::ServicePacer;
use base::{Clock, HashMap, ServiceName, lock};
use conf::{RecoveryPolicy, RecoverySettings};
use fleet::Preset;
use recovery::{EngineBackoff, Policy, RecoveryLimits, TimingTracker};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

/// Recovery state that the generations of an entry share: usual token timings, rate limits of recovery attempts, and
/// engines that new attempts avoid.
#[derive(Debug)]
pub(crate) struct RecoveryState {
    clock: Clock,
    settings: RecoverySettings,
    trackers: Mutex<HashMap<String, Arc<Mutex<TimingTracker>>>>,
    pacers: Mutex<HashMap<ServiceName, Arc<ServicePacer>>>,
    suspects: Mutex<HashMap<SocketAddr, EngineBackoff>>,
}

impl RecoveryState {
    pub fn new(settings: RecoverySettings, clock: Clock) -> Self {
        Self {
            clock,
            settings,
            trackers: Mutex::default(),
            pacers: Mutex::default(),
            suspects: Mutex::default(),
        }
    }

    /// Recovery policy for generations of a service with `preset`. The settings may override the preset and its silence
    /// timeout.
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
    pub fn tracker(&self, model: &str) -> Arc<Mutex<TimingTracker>> {
        let mut trackers = lock(&self.trackers);
        if let Some(tracker) = trackers.get(model) {
            return Arc::clone(tracker);
        }
        let tracker = Arc::<Mutex<TimingTracker>>::default();
        trackers.insert(model.to_owned(), Arc::clone(&tracker));
        tracker
    }

    /// Rate limiter of the recovery attempts of a service, created on first use.
    pub fn pacer(&self, service: &ServiceName) -> Arc<ServicePacer> {
        let mut pacers = lock(&self.pacers);
        if let Some(pacer) = pacers.get(service) {
            return Arc::clone(pacer);
        }
        let pace = RecoveryLimits {
            attempts_per_s: self.settings.attempts_per_s as u32,
            burst: self.settings.burst as u32,
            max_concurrent: self.settings.max_concurrent as u32,
        };
        let pacer = Arc::new(ServicePacer::new(pace, self.clock));
        pacers.insert(service.clone(), Arc::clone(&pacer));
        pacer
    }

    /// Records a failure of an engine, so that new attempts avoid it for a while.
    pub fn suspect(&self, addr: SocketAddr) {
        let now_ms = self.clock.now_ms();
        let mut suspects = lock(&self.suspects);
        match suspects.get_mut(&addr) {
            Some(suspect) => suspect.record_failure(now_ms),
            None => drop(suspects.insert(addr, EngineBackoff::new(now_ms))),
        }
    }

    /// Adds to `addrs` the engines that new attempts should avoid.
    pub fn add_suspects(&self, addrs: &mut Vec<SocketAddr>) {
        let now_ms = self.clock.now_ms();
        let mut suspects = lock(&self.suspects);
        suspects.retain(|_, suspect| !suspect.is_expired(now_ms));
        let avoided = suspects.iter().filter(|(_, suspect)| suspect.is_avoided(now_ms));
        addrs.extend(avoided.map(|(addr, _)| addr));
    }
}
