//! What this entry knows about one upstream: load, health, cached prompt blocks and announced departure.

use base::{Clock, lock};
use route::{Candidate, Health, LoadHistory, LoadReport, PrefixSet};
use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicU32, AtomicU64, Ordering},
};
use wire::engine::{CacheEventKind, CacheEventList, EngineRequest, LoadedVersion};

/// Assumed limit on concurrent requests of an upstream that has not reported one.
const DEFAULT_BATCH_LIMIT: u32 = 256;

/// Time for which an announcement in a response that the upstream is leaving stays valid. By its end, a leaving VM has
/// been removed from the list, and a service that was restarted on a VM that stays receives requests again.
const LEAVING_TTL_MS: u64 = 600_000;

/// State of one upstream. Clones share the state, so all requests to the upstream update it.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamState {
    clock: Clock,
    inner: Arc<Mutex<Inner>>,
    /// Time at which the upstream last sent something, or was sent a request while it had no other in flight; 0 before.
    /// It is updated for each event, so it is kept outside of the lock.
    last_activity_ms: Arc<AtomicU64>,
    /// Number of requests in flight whose responses are not read, because their callers do not read.
    paused: Arc<AtomicU32>,
}

#[derive(Debug)]
struct Inner {
    load: LoadHistory,
    health: Health,
    /// Prompt blocks that the engine is expected to have in its prefix cache.
    prefixes: PrefixSet,
    /// Model versions that the engine has loaded; `None` if it serves all versions or its versions are not known.
    loaded: Option<Vec<LoadedVersion>>,
    /// Number of the last cache event that was applied.
    last_cache_event: u64,
    /// Time at which `loaded` was last read; `None` if it never was.
    state_read_at_ms: Option<u64>,
    /// Whether the last load report says that the engine is leaving.
    is_leaving: bool,
    /// End of the time for which an announcement in a response, that the upstream is leaving, overrides a list that
    /// still shows the upstream as live; `None` if there was no such announcement.
    leaving_until_ms: Option<u64>,
}

impl UpstreamState {
    /// Creates the state of an upstream that appears in the list for the first time.
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
        Self {
            clock,
            inner: Arc::new(Mutex::new(inner)),
            last_activity_ms: Arc::default(),
            paused: Arc::default(),
        }
    }

    /// Counts a request as in flight, and records that the upstream will have the prompt blocks of the request in its
    /// prefix cache.
    pub fn record_sent(&self, blocks: &[u64]) {
        let mut inner = self.lock();
        inner.load.record_sent(self.clock.now_ms());
        blocks.iter().for_each(|&block| inner.prefixes.insert(block));
    }

    /// Counts a request as no longer in flight.
    pub fn record_ended(&self) {
        self.lock().load.record_ended(self.clock.now_ms());
    }

    /// Number of this entry's requests that are in flight at the upstream.
    pub fn in_flight(&self) -> u32 {
        self.lock().load.in_flight()
    }

    /// Records for outlier detection that a request succeeded.
    pub fn record_success(&self) {
        self.lock().health.record_success(self.clock.now_ms());
    }

    /// Records for outlier detection that a request or connection failed, and returns whether this failure caused the
    /// upstream to be ejected.
    pub fn record_failure(&self) -> bool {
        self.lock().health.record_failure(self.clock.now_ms())
    }

    /// Whether the upstream is ejected because of its failures.
    pub fn is_ejected(&self) -> bool {
        self.lock().health.is_ejected(self.clock.now_ms())
    }

    /// Whether the upstream has announced that it is leaving, in a load report or in a response.
    pub fn is_leaving(&self) -> bool {
        let inner = self.lock();
        let now_ms = self.clock.now_ms();
        inner.is_leaving || inner.leaving_until_ms.is_some_and(|until_ms| now_ms < until_ms)
    }

    /// Records that a response of the upstream announced its removal, and returns whether no earlier response did.
    pub fn mark_leaving(&self) -> bool {
        let until_ms = self.clock.now_ms() + LEAVING_TTL_MS;
        self.lock().leaving_until_ms.replace(until_ms).is_none()
    }

    /// Records that the upstream sent something at `now_ms`.
    pub fn record_activity(&self, now_ms: u64) {
        self.last_activity_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Whether the upstream has sent something since `since_ms`.
    pub fn is_active_since(&self, since_ms: u64) -> bool {
        self.last_activity_ms.load(Ordering::Relaxed) >= since_ms
    }

    /// Records that the response of a request is not read any more, or is read again.
    pub fn record_paused(&self, is_paused: bool) {
        match is_paused {
            true => self.paused.fetch_add(1, Ordering::Relaxed),
            false => self.paused.fetch_sub(1, Ordering::Relaxed),
        };
    }

    /// Whether the upstream runs requests of this entry whose responses are read, and has sent nothing since `since_ms`.
    pub fn is_unresponsive_since(&self, since_ms: u64) -> bool {
        !self.is_active_since(since_ms)
            && self.lock().load.in_flight() > self.paused.load(Ordering::Relaxed)
    }

    /// Number of requests that this entry may have in flight at the upstream, and how many of them are reserved for
    /// short requests. The first number is the upstream's limit minus the requests of the other entries. Both are 0
    /// while the upstream is ejected.
    pub fn capacity(&self) -> (u32, u32) {
        let inner = self.lock();
        if inner.health.is_ejected(self.clock.now_ms()) {
            return (0, 0);
        }
        let limit = batch_limit(&inner);
        let others = inner.load.other_requests(self.clock.now_ms());
        (limit.saturating_sub(others), route::short_reserve(limit))
    }

    /// Replaces the known load, and whether the engine is leaving, with a report of the engine.
    pub fn apply_load_report(&self, report: LoadReport, is_leaving: bool) {
        let mut inner = self.lock();
        inner.load.record_report(report);
        inner.is_leaving = is_leaving;
    }

    /// Replaces the model versions that the engine has loaded; `None` if it serves all versions.
    pub fn set_loaded_versions(&self, loaded: Option<Vec<LoadedVersion>>) {
        let mut inner = self.lock();
        inner.loaded = loaded;
        inner.state_read_at_ms = Some(self.clock.now_ms());
    }

    /// Time at which the loaded versions were last read; `None` if they never were.
    pub fn state_read_at_ms(&self) -> Option<u64> {
        self.lock().state_read_at_ms
    }

    /// Number of the last cache event that was applied; 0 before the first one and after the cache was cleared.
    pub fn last_cache_event(&self) -> u64 {
        self.lock().last_cache_event
    }

    /// Applies cache events to the known prefix blocks. If events are lost, the knowledge of their blocks is wrong
    /// until the blocks are used again. This knowledge only serves as a hint for the choice of an engine.
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

    /// Drops all known prefix blocks, because a restarted engine has an empty cache.
    pub fn clear_cache(&self) {
        let mut inner = self.lock();
        inner.prefixes = PrefixSet::default();
        inner.last_cache_event = 0;
    }

    /// Properties of the upstream that the choice among candidates depends on. For plain services, `request` is `None`
    /// and `blocks` is empty.
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

/// Limit on concurrent requests that the upstream has reported, or `DEFAULT_BATCH_LIMIT`.
fn batch_limit(inner: &Inner) -> u32 {
    inner.load.report().map_or(DEFAULT_BATCH_LIMIT, |report| report.batch_limit)
}

/// Whether the engine has loaded the version and the adapter of a request. The result is always `Some`; the caller uses
/// `None` for an engine whose versions are not known.
fn has_version(loaded: &[LoadedVersion], request: &EngineRequest) -> Option<bool> {
    let mut matching = loaded
        .iter()
        .filter(|loaded| loaded.model == request.model && loaded.version == request.version);
    Some(
        matching
            .any(|loaded| request.adapter.is_empty() || loaded.adapters.contains(&request.adapter)),
    )
}
