//! What an entry knows of one upstream.

use base::{Clock, lock};
use route::{Candidate, Health, LoadHistory, LoadReport, PrefixSet};
use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicU64, Ordering},
};
use wire::engine::{CacheEventKind, CacheEventList, EngineRequest, LoadedVersion};

/// Requests at a time that an upstream is taken to serve until it reports its limit.
const DEFAULT_BATCH_LIMIT: u32 = 256;

/// How long an upstream's announcement holds. A VM that leaves is gone from the list by then; a service that restarted
/// on the same VM and stays gets work again.
const LEAVING_TTL_MS: u64 = 600_000;

/// Knowledge of one upstream, shared by its requests.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamState {
    clock: Clock,
    inner: Arc<Mutex<Inner>>,
    /// Time of the last bytes from the upstream. It is noted for each event, so it stands outside of the lock.
    last_activity_ms: Arc<AtomicU64>,
}

#[derive(Debug)]
struct Inner {
    load: LoadHistory,
    health: Health,
    prefixes: PrefixSet,
    /// Versions that an engine serves; `None` if it serves all or they are not known.
    loaded: Option<Vec<LoadedVersion>>,
    last_cache_event: u64,
    state_read_at_ms: Option<u64>,
    is_leaving: bool,
    /// Until when the upstream's own announcement holds against a list that still shows it as live.
    leaving_until_ms: Option<u64>,
}

impl UpstreamState {
    /// An upstream that was just seen for the first time.
    pub fn new(clock: Clock, health: Health) -> Self {
        let inner = Inner {
            load: LoadHistory::default(),
            health,
            prefixes: PrefixSet::default(),
            loaded: None,
            last_cache_event: 0,
            state_read_at_ms: None,
            is_leaving: false,
            leaving_until_ms: None,
        };
        Self { clock, inner: Arc::new(Mutex::new(inner)), last_activity_ms: Arc::default() }
    }

    /// Counts a request and remembers the blocks of its context.
    pub fn record_sent(&self, blocks: &[u64]) {
        let mut inner = self.lock();
        inner.load.record_sent(self.clock.now_ms());
        blocks.iter().for_each(|&block| inner.prefixes.insert(block));
    }

    /// Counts the end of a request.
    pub fn record_ended(&self) {
        self.lock().load.record_ended(self.clock.now_ms());
    }

    /// Requests of this entry that are in flight there.
    pub fn in_flight(&self) -> u32 {
        self.lock().load.in_flight()
    }

    /// Counts a success.
    pub fn record_success(&self) {
        self.lock().health.record_success(self.clock.now_ms());
    }

    /// Counts a failure of the upstream; whether it is ejected by it.
    pub fn record_failure(&self) -> bool {
        self.lock().health.record_failure(self.clock.now_ms())
    }

    /// Whether the upstream is ejected.
    pub fn is_ejected(&self) -> bool {
        self.lock().health.is_ejected(self.clock.now_ms())
    }

    /// Whether the upstream announced that it leaves.
    pub fn is_leaving(&self) -> bool {
        let inner = self.lock();
        let now_ms = self.clock.now_ms();
        inner.is_leaving || inner.leaving_until_ms.is_some_and(|until_ms| now_ms < until_ms)
    }

    /// Takes an announcement in an answer of the upstream; whether it is the first one.
    pub fn mark_leaving(&self) -> bool {
        let until_ms = self.clock.now_ms() + LEAVING_TTL_MS;
        self.lock().leaving_until_ms.replace(until_ms).is_none()
    }

    /// Notes that the upstream sent something at `now_ms`.
    pub fn record_activity(&self, now_ms: u64) {
        self.last_activity_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Whether something came from the upstream since `since_ms`.
    pub fn is_active_since(&self, since_ms: u64) -> bool {
        self.last_activity_ms.load(Ordering::Relaxed) >= since_ms
    }

    /// Whether requests of this entry run there and nothing came back since `since_ms`.
    pub fn is_unresponsive_since(&self, since_ms: u64) -> bool {
        !self.is_active_since(since_ms) && self.lock().load.in_flight() > 0
    }

    /// Requests that this entry may have in flight there, which is what other entries leave of the limit, and the places
    /// for short requests.
    pub fn capacity(&self) -> (u32, u32) {
        let inner = self.lock();
        if inner.health.is_ejected(self.clock.now_ms()) {
            return (0, 0);
        }
        let limit = batch_limit(&inner);
        let others = inner.load.other_requests(self.clock.now_ms());
        (limit.saturating_sub(others), route::short_reserve(limit))
    }

    /// Takes over a load that is from `at_ms`.
    pub fn apply_load_report(&self, report: LoadReport, is_leaving: bool) {
        let mut inner = self.lock();
        inner.load.record_report(report);
        inner.is_leaving = is_leaving;
    }

    /// Takes over the versions that an engine serves.
    pub fn set_loaded_versions(&self, loaded: Option<Vec<LoadedVersion>>) {
        let mut inner = self.lock();
        inner.loaded = loaded;
        inner.state_read_at_ms = Some(self.clock.now_ms());
    }

    /// Time at which the versions were read last.
    pub fn state_read_at_ms(&self) -> Option<u64> {
        self.lock().state_read_at_ms
    }

    /// Number of the last cache event that was read.
    pub fn last_cache_event(&self) -> u64 {
        self.lock().last_cache_event
    }

    /// Takes over cache events. Lost ones leave hints that are wrong until the block is used again.
    pub fn apply_cache_events(&self, list: &CacheEventList) {
        let mut inner = self.lock();
        inner.last_cache_event = list.last_number;
        for event in &list.events {
            let Ok(block) = u64::from_str_radix(&event.block, 16) else { continue };
            match event.kind {
                CacheEventKind::Stored => inner.prefixes.insert(block),
                CacheEventKind::Removed => inner.prefixes.remove(block),
            }
        }
    }

    /// Forgets what a restarted engine no longer has.
    pub fn clear_cache(&self) {
        let mut inner = self.lock();
        inner.prefixes = PrefixSet::default();
        inner.last_cache_event = 0;
    }

    /// What the choice needs to know. `request` is `None` for plain services.
    pub fn candidate(
        &self,
        request: Option<&EngineRequest>,
        blocks: &[u64],
        is_local: bool,
    ) -> Candidate {
        let inner = self.lock();
        let now_ms = self.clock.now_ms();
        let missing = blocks.len() - inner.prefixes.cached_prefix_len(blocks);
        Candidate {
            in_flight: inner.load.in_flight(),
            reported_load: inner.load.report().map(|report| report.requests),
            corrected_load: inner.load.corrected_load(now_ms),
            report_age_ms: inner
                .load
                .report()
                .map_or(0, |report| now_ms.saturating_sub(report.at_ms)),
            sent_since_report: inner.load.sent_since_report(),
            batch_limit: batch_limit(&inner),
            missing_blocks: u32::try_from(missing).unwrap_or(u32::MAX),
            weight: inner.health.weight(now_ms),
            is_local,
            has_version: request.and_then(|request| has_version(inner.loaded.as_ref()?, request)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

fn batch_limit(inner: &Inner) -> u32 {
    inner.load.report().map_or(DEFAULT_BATCH_LIMIT, |report| report.batch_limit)
}

fn has_version(loaded: &[LoadedVersion], request: &EngineRequest) -> Option<bool> {
    let mut same = loaded
        .iter()
        .filter(|loaded| loaded.model == request.model && loaded.version == request.version);
    Some(
        same.any(|loaded| request.adapter.is_empty() || loaded.adapters.contains(&request.adapter)),
    )
}
