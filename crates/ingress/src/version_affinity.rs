//! Software versions at which the streams of this service's callers began.

use crate::{
    follow::PlatformKeys, inbound::Inbound, instance::Instance, instance_entry::InstanceId,
    run_copies::RunCopies,
};
use affinity::{
    CompleteEra, ItemError, Origin, ReplicaRecord, RunCopy, ServiceVersion, VersionChange,
    VersionRecords,
};
use base::{Clock, HashSet, ServiceName, lock};
use plat::{Change, Position};
use std::{
    hash::{BuildHasher, RandomState},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::sync::{Notify, watch};

/// Longest wait for a read of the records. Callers wait at least two seconds for the next event, and a refused take-up is
/// often the last one of its stream. With 89 daemons, reads begin 678 ms apart if each takes its full time.
const ORIGIN_WAIT_MS: u64 = 2_000;

/// Shortest time between two log lines on items that cannot be read.
const LOG_INTERVAL_MS: u64 = 10_000;

/// Software versions at which streams began, by the identifier of the caller's attempt that brought the first event.
#[derive(Debug)]
pub(crate) struct VersionAffinity {
    pub(crate) clock: Clock,
    versions: Mutex<VersionRecords>,
    /// KV cache replicas that other daemons are told.
    pub(crate) copies: RunCopies,
    /// Wakes the recorder.
    pub(crate) changed: Notify,
    /// Wakes the reader of the records.
    pub(crate) requested: Notify,
    /// Position in the store's history up to which the listed instances are known; `None` before the first list.
    position: Mutex<Option<Position>>,
    /// Reads of the records at the store.
    reads: watch::Sender<Reads>,
    /// When an item that cannot be read was last logged, plus one.
    logged_ms: AtomicU64,
}

/// Reads of the records at the store, of which there is at most one at a time. The first one starts after the daemon has
/// caught up.
#[derive(Clone, Copy, Debug, Default)]
struct Reads {
    started: u64,
    finished: u64,
    /// Number of the last read that has succeeded.
    succeeded: u64,
    /// Whether the last read that has succeeded found all versions at which unrecorded streams may have begun.
    is_complete: bool,
    /// When the first and the last one of a series of failed reads ended; `None` if the last read has succeeded.
    failed_ms: Option<(u64, u64)>,
}

impl VersionAffinity {
    /// Creates the state of a daemon that knows of no version and no stream. `seed` differs between daemons.
    pub fn new(seed: u64) -> Self {
        // Records must not replace those of the daemon's former lifetime.
        let lifetime = RandomState::new().hash_one(seed);
        Self {
            clock: Clock::start(),
            versions: Mutex::new(VersionRecords::new(format!("{lifetime:016x}"), seed)),
            copies: RunCopies::default(),
            changed: Notify::new(),
            requested: Notify::new(),
            position: Mutex::default(),
            reads: watch::Sender::default(),
            logged_ms: AtomicU64::new(0),
        }
    }

    /// Records that `instance` has sent the first event of a new stream. Call it before the event is released.
    pub fn record_begun(&self, inbound: &Inbound, instance: &Instance) {
        if let Ok(id) = inbound.id.to_str() {
            self.record(id, software(instance));
        }
    }

    /// Records the KV cache replica of the stream `id`, which runs at `instance`, so that each daemon can resume it.
    pub fn record_replica(&self, id: &str, instance: &Instance, replica: ReplicaRecord) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state();
        let is_written = state.record_replica(id, software(instance), replica.clone(), now_ms);
        let copy = state.copy(id).filter(|copy| copy.replica == replica);
        drop(state);
        copy.into_iter().for_each(|copy| self.copies.push(copy));
        if is_written {
            self.changed.notify_one();
        }
    }

    /// Records what another daemon tells of a stream.
    pub fn merge_copy(&self, copy: RunCopy) {
        self.state().merge_copy(copy, self.clock.now_ms());
    }

    /// What another daemon is told of the stream `id`; `None` if no KV cache replica of it is recorded.
    pub fn copy(&self, id: &str) -> Option<RunCopy> {
        self.state().copy(id)
    }

    /// Last recorded KV cache replica of the stream `id`; `None` if this daemon has no record of one.
    pub fn replica(&self, id: &str) -> Option<ReplicaRecord> {
        self.state().replica(id).cloned()
    }

    /// Service at which the stream `id` began; `None` if this daemon has no record of it.
    pub fn service(&self, id: &str) -> Option<ServiceName> {
        self.state().recorded_service(id).cloned()
    }

    /// Finds out at which version the stream began that `inbound` takes up. If the daemon has no record of the stream,
    /// it reads the records of the others from the store; if that fails for `left_ms`, the version is unknown.
    pub async fn origin(&self, inbound: &Inbound, left_ms: u64) -> Origin {
        self.find_origin(&inbound.service, inbound.resumes.as_deref(), left_ms).await
    }

    /// Those of `instances` at whose versions new streams may not begin yet, so that others are preferred.
    pub fn avoided(&self, instances: &[Arc<Instance>]) -> Vec<InstanceId> {
        let now_ms = self.clock.now_ms();
        let state = self.state();
        let avoided = instances
            .iter()
            .map(|instance| &instance.entry)
            .filter(|entry| !state.may_begin_at(&entry.service, &entry.software_version, now_ms));
        avoided.map(|entry| Arc::clone(&entry.id)).collect()
    }

    /// Records that the stream `id` has begun.
    pub(crate) fn record(&self, id: &str, software: ServiceVersion) {
        if self.state().record_begun(id, software, self.clock.now_ms()) {
            self.changed.notify_one();
        }
    }

    /// Finds out within `left_ms` at which version the stream `id` of a service began; `None` stands for a stream without
    /// a record.
    pub(crate) async fn find_origin(
        &self,
        service: &ServiceName,
        id: Option<&str>,
        left_ms: u64,
    ) -> Origin {
        let recorded = || id.and_then(|id| self.state().recorded_origin(id, service));
        if let Some(origin) = recorded() {
            return origin;
        }
        let read = self.read_records(left_ms.min(ORIGIN_WAIT_MS)).await;
        let origin = match recorded() {
            Some(origin) => origin,
            None if read.is_some_and(|is_complete| is_complete) => {
                self.state().unrecorded_origin(service, self.clock.now_ms())
            }
            None => Origin::Unknown,
        };
        if origin == Origin::Unknown {
            metrics::counter!("stream_origins_unknown_total").increment(1);
            log::info!(
                "versions: the version of the stream {:.64} of {service} is not known, read={} complete={}",
                id.unwrap_or("?"),
                read.is_some(),
                read.unwrap_or(false)
            );
        }
        origin
    }

    /// Reads the records from the store. Returns whether the versions are complete, or `None` unless a read that began
    /// after this call has succeeded within `wait_ms`: an earlier one may lack the version of a stream that has begun
    /// since. A failed read is repeated, because the store may only turn away the reads of many daemons that start at once.
    /// In an outage that has lasted for longer than the wait, the first failed read decides.
    async fn read_records(&self, wait_ms: u64) -> Option<bool> {
        let mut reads = self.reads.subscribe();
        let before = reads.borrow().started;
        let mut seen = before;
        let read = async {
            loop {
                self.requested.notify_one();
                let last = *reads.wait_for(|reads| reads.finished > seen).await.ok()?;
                if last.succeeded > before {
                    return Some(last.is_complete);
                }
                let is_outage = |(first_ms, last_ms)| last_ms >= first_ms + ORIGIN_WAIT_MS;
                if last.failed_ms.is_some_and(is_outage) {
                    return None;
                }
                seen = last.finished;
            }
        };
        tokio::time::timeout(Duration::from_millis(wait_ms), read).await.ok().flatten()
    }

    /// Records the start of a read.
    pub(crate) fn start_read(&self) {
        self.reads.send_modify(|reads| reads.started += 1);
    }

    /// Records the end of a read: whether the versions are complete, or `None` if it has failed.
    pub(crate) fn finish_read(&self, outcome: Option<bool>) {
        let now_ms = self.clock.now_ms();
        self.reads.send_modify(|reads| {
            reads.finished = reads.started;
            if let Some(is_complete) = outcome {
                reads.succeeded = reads.started;
                reads.is_complete = is_complete;
                reads.failed_ms = None;
            } else {
                // Without a take-up, there are no reads, and the store may have responded meanwhile.
                let series =
                    reads.failed_ms.filter(|(_, last_ms)| now_ms < last_ms + ORIGIN_WAIT_MS);
                reads.failed_ms = Some((series.map_or(now_ms, |(first_ms, _)| first_ms), now_ms));
            }
        });
    }

    /// Position in the store's history up to which the listed instances are known.
    pub(crate) fn position(&self) -> Option<Position> {
        *lock(&self.position)
    }

    /// Records that the listed instances are known up to `position`.
    pub(crate) fn set_position(&self, position: Position) {
        *lock(&self.position) = Some(position);
        if self.state().set_era(position.era, self.clock.now_ms()) {
            self.changed.notify_one();
        }
    }

    /// Records the versions of instances that a read has found at the store.
    pub(crate) fn insert_listed(&self, listed: HashSet<ServiceVersion>) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state();
        listed.into_iter().for_each(|software| state.insert_listed(software, now_ms));
    }

    /// Replaces what the store holds by a complete list of items.
    pub(crate) fn replace(&self, items: &[Change], keys: PlatformKeys) {
        let now_ms = self.clock.now_ms();
        let registered = items.iter().filter_map(|item| {
            let key = item.key.strip_prefix(keys.stream_versions)?;
            let software = ServiceVersion::decode(key, item.value.as_deref()?);
            Some((self.readable(&item.key, software)?, item.revision))
        });
        self.state().set_registered(registered.collect::<Vec<_>>(), now_ms);
        let stated = items.iter().find(|item| &*item.key == keys.complete_era);
        self.set_complete_era(stated);
        let names = items.iter().filter_map(|item| item.key.strip_prefix(keys.begun_streams));
        self.state().set_records(names);
        for item in items.iter().filter(|item| item.key.starts_with(keys.begun_streams)) {
            self.apply(item, keys);
        }
        self.changed.notify_one();
    }

    /// Applies the write or the removal of one item.
    pub(crate) fn apply(&self, item: &Change, keys: PlatformKeys) {
        let now_ms = self.clock.now_ms();
        if let Some(key) = item.key.strip_prefix(keys.stream_versions) {
            match &item.value {
                Some(value) => {
                    let software = self.readable(&item.key, ServiceVersion::decode(key, value));
                    if let Some(software) = software {
                        self.state().insert_registered(software, item.revision, now_ms);
                    }
                }
                None => self.state().remove_registered(key, item.revision, now_ms),
            }
        } else if let Some(name) = item.key.strip_prefix(keys.begun_streams) {
            match &item.value {
                Some(value) => {
                    let merged = self.state().merge_record(name, value, now_ms);
                    self.readable(&item.key, merged);
                }
                None => self.state().remove_record(name),
            }
        } else if &*item.key == keys.complete_era {
            self.set_complete_era(Some(item));
        }
    }

    /// Replaces the item that states in which era the registered versions are complete.
    fn set_complete_era(&self, item: Option<&Change>) {
        let stated = item.and_then(|item| {
            let complete = CompleteEra::decode(item.value.as_deref()?);
            Some((self.readable(&item.key, complete)?, item.revision))
        });
        self.state().set_complete_era(stated);
    }

    /// Replaces the versions of the listed instances.
    pub(crate) fn set_listed(&self, listed: HashSet<ServiceVersion>) {
        let changes = self.state().set_listed(listed, self.clock.now_ms());
        for change in &changes {
            match change {
                VersionChange::Appeared { software, in_play, unwritten } => log::info!(
                    "versions: {} of {} is listed, in_play={in_play} streams={unwritten}",
                    software.version,
                    software.service
                ),
                VersionChange::Left(software) => log::info!(
                    "versions: {} of {} is no longer listed",
                    software.version,
                    software.service
                ),
            }
        }
        if !changes.is_empty() {
            self.changed.notify_one();
        }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, VersionRecords> {
        lock(&self.versions)
    }

    /// Result of reading an item; `None` if the item cannot be read, which is logged from time to time.
    fn readable<T>(&self, key: &str, read: Result<T, ItemError>) -> Option<T> {
        let err = match read {
            Ok(read) => return Some(read),
            Err(err) => err,
        };
        let now_ms = self.clock.now_ms();
        let logged_ms = self.logged_ms.load(Ordering::Relaxed);
        if logged_ms == 0 || now_ms >= logged_ms + LOG_INTERVAL_MS {
            self.logged_ms.store(now_ms + 1, Ordering::Relaxed);
            log::warn!("versions: the item {key:?} cannot be read: {err}");
        }
        None
    }
}

fn software(instance: &Instance) -> ServiceVersion {
    ServiceVersion {
        service: instance.entry.service.clone(),
        version: instance.entry.software_version.clone(),
    }
}
