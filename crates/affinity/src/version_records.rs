//! What a daemon knows of the software versions at which streams began and of their KV cache replicas, and what it has to
//! write to the store.

use crate::{
    begun_streams::BegunStreams,
    complete_era::CompleteEra,
    era_watch::EraWatch,
    item_error::ItemError,
    origin::Origin,
    record_item::{RecordBatch, RecordItem},
    replica_record::ReplicaRecord,
    run_copy::RunCopy,
    service_version::ServiceVersion,
    software_version::SoftwareVersion,
    step::Step,
    version_change::VersionChange,
    versions_in_play::VersionsInPlay,
};
use base::{HashSet, ServiceName};

/// Longest time after the first event of a stream in which a caller can take it up. It exceeds the time that callers
/// have for a stream.
pub const STREAM_LIFE_MS: u64 = 120_000;

/// Time in which items are written under one lease, so that no more leases than needed are granted.
const LEASE_PERIOD_MS: u64 = 30_000;

/// Duration of a lease from its grant, which is not renewed: a stream recorded in the last moment of the period can be
/// taken up for its whole life. The rest allows for a slow store.
pub const LEASE_MS: u64 = LEASE_PERIOD_MS + STREAM_LIFE_MS + 10_000;

/// Shortest time between two writes of records.
const WRITE_INTERVAL_MS: u64 = 250;

/// Number of writes of records per second that all daemons together make at most.
const FLEET_WRITES_PER_S: u64 = 200;

/// Number of streams from which an item is not rewritten with more of them.
const FULL_ITEM_STREAMS: usize = 24;

/// Maximum number of streams in one item.
const MAX_ITEM_STREAMS: usize = 32;

/// Maximum number of items in one write.
const MAX_BATCH_ITEMS: usize = 16;

/// Pause after a failed call to the store.
const FAILURE_PAUSE_MS: u64 = 500;

/// Longest time between two steps.
const MAX_WAIT_MS: u64 = 1_000;

/// What a daemon knows of the software versions at which streams began.
///
/// Daemons begin streams only at versions that are registered in the store, as far as others are available. So a daemon
/// that reads the registered versions after a stream began finds the version of this stream among them.
#[derive(Debug)]
pub struct VersionRecords {
    /// First part of the names of this daemon's items, which no other daemon and no other lifetime of this one uses.
    writer: Box<str>,
    in_play: VersionsInPlay,
    eras: EraWatch,
    streams: BegunStreams,
    /// Item that is rewritten with more streams.
    open_item: Option<(u64, Vec<u64>)>,
    next_item: u64,
    /// Number of the current lease.
    lease: u64,
    /// When the current lease is no longer used.
    lease_until_ms: u64,
    /// When records were last written.
    written_ms: Option<u64>,
    /// Time until which the store is not called after a failure.
    paused_until_ms: u64,
}

impl VersionRecords {
    /// Creates the state of a daemon that has just started. `writer` names the items that it writes and must be unique;
    /// `seed` must differ between daemons.
    pub fn new(writer: impl Into<Box<str>>, seed: u64) -> Self {
        Self {
            writer: writer.into(),
            in_play: VersionsInPlay::new(seed),
            eras: EraWatch::default(),
            streams: BegunStreams::default(),
            open_item: None,
            next_item: 0,
            lease: 0,
            lease_until_ms: 0,
            written_ms: None,
            paused_until_ms: 0,
        }
    }

    /// Records that the store has stated its era. Returns whether it is another one than before.
    pub fn set_era(&mut self, era: u64, now_ms: u64) -> bool {
        self.eras.set_current(era, now_ms)
    }

    /// Replaces the item that states in which era the registered versions are complete, with its revision; `None` if the
    /// store holds none that can be read.
    pub fn set_complete_era(&mut self, item: Option<(CompleteEra, u64)>) {
        self.eras.set_item(item);
    }

    /// Replaces the versions that listed instances have, after each answer of the store. Returns what has changed.
    pub fn set_listed(
        &mut self,
        listed: HashSet<ServiceVersion>,
        now_ms: u64,
    ) -> Vec<VersionChange> {
        let (appeared, left) = self.in_play.set_listed(listed, now_ms);
        let appeared = appeared.into_iter().map(|software| VersionChange::Appeared {
            in_play: self.in_play.of_service(&software.service, now_ms).count(),
            unwritten: self.streams.unwritten(|service| *service == software.service).count(),
            software,
        });
        let changes = appeared.collect::<Vec<_>>();
        changes.into_iter().chain(left.into_iter().map(VersionChange::Left)).collect()
    }

    /// Records that an instance of a version was found at the store, by a read that did not list all instances.
    pub fn insert_listed(&mut self, software: ServiceVersion, now_ms: u64) {
        self.in_play.insert_listed(software, now_ms);
    }

    /// Replaces the registered versions by those of a complete list, each with the revision of its item.
    pub fn set_registered(
        &mut self,
        registered: impl IntoIterator<Item = (ServiceVersion, u64)>,
        now_ms: u64,
    ) {
        self.in_play.set_registered(registered, now_ms);
    }

    /// Records that a version is registered by an item of the given revision.
    pub fn insert_registered(&mut self, software: ServiceVersion, revision: u64, now_ms: u64) {
        self.in_play.insert_registered(software, revision, now_ms);
    }

    /// Records that the item of a version was removed at `revision`. `key` is the last part of its key.
    pub fn remove_registered(&mut self, key: &str, revision: u64, now_ms: u64) {
        self.in_play.remove_registered(key, revision, now_ms);
    }

    /// Adds the streams of the record `name`, of which this daemon's own are known already.
    ///
    /// # Errors
    ///
    /// Returns an error if the value cannot be read. Nothing is added then.
    pub fn merge_record(&mut self, name: &str, value: &[u8], now_ms: u64) -> Result<(), ItemError> {
        if self.own_number(name).is_some() { Ok(()) } else { self.streams.merge(value, now_ms) }
    }

    /// Records that the store does not hold the record `name` any more.
    pub fn remove_record(&mut self, name: &str) {
        if let Some(removed) = self.own_number(name) {
            self.retain_records(|number| number != removed);
        }
    }

    /// Records that the store holds exactly the records `names`.
    pub fn set_records<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        let held: HashSet<u64> =
            names.into_iter().filter_map(|name| self.own_number(name)).collect();
        self.retain_records(|number| held.contains(&number));
    }

    /// Whether streams may begin at a version: the store holds its item. If there is no such version, streams begin at
    /// others, and are known only by their records.
    pub fn may_begin_at(
        &self,
        service: &ServiceName,
        version: &SoftwareVersion,
        now_ms: u64,
    ) -> bool {
        self.in_play.may_begin_at(service, version, now_ms)
    }

    /// Records that the stream `id` has begun at a version, before its first event is released. Returns whether the
    /// record has to be written.
    pub fn record_begun(&mut self, id: &str, software: ServiceVersion, now_ms: u64) -> bool {
        self.streams.prune(now_ms);
        self.in_play.record_begun(&software, now_ms);
        let is_written = self.needs_records(&software.service, now_ms);
        self.streams.record(id, software, now_ms);
        is_written
    }

    /// Records the KV cache replica of the stream `id` that runs at this daemon, whichever daemon has begun it.
    /// `software` is the version at which it began. Returns whether the record has to be written.
    pub fn record_replica(
        &mut self,
        id: &str,
        software: ServiceVersion,
        replica: ReplicaRecord,
        now_ms: u64,
    ) -> bool {
        let is_written = self.has_several_versions(&software.service, now_ms);
        self.streams.record_replica(id, software, replica, now_ms);
        is_written
    }

    /// Last recorded KV cache replica of the stream `id`; `None` if none is recorded.
    pub fn replica(&self, id: &str) -> Option<&ReplicaRecord> {
        self.streams.replica(id)
    }

    /// Adds the stream of a message of another daemon, which has begun or resumed it.
    pub fn merge_copy(&mut self, copy: RunCopy, now_ms: u64) {
        self.streams.prune(now_ms);
        self.streams.merge_copy(copy, now_ms);
    }

    /// What other daemons are told of the stream `id`; `None` if no replica of it is recorded.
    pub fn copy(&self, id: &str) -> Option<RunCopy> {
        self.streams.copy(id)
    }

    /// Service at which the stream `id` began, by the records; `None` if there is no record of it.
    pub fn recorded_service(&self, id: &str) -> Option<&ServiceName> {
        self.streams.service(id)
    }

    /// Version at which the stream `id` of a service began, by the records; `None` if there is no record of it.
    pub fn recorded_origin(&self, id: &str, service: &ServiceName) -> Option<Origin> {
        self.streams.origin(id, service)
    }

    /// Version at which an unrecorded stream of a service began. Call it only after the registered versions and those of
    /// listed instances were read from the store, by a read that began after the stream was taken up and found no record
    /// of the stream. A version is registered after its first instance is listed, and streams may begin at it meanwhile.
    /// The same read must have found that the registered versions are complete in the era in which it was answered.
    pub fn unrecorded_origin(&self, service: &ServiceName, now_ms: u64) -> Origin {
        let mut versions = self.in_play.of_service(service, now_ms);
        match (versions.next(), versions.next()) {
            (Some(only), None) => Origin::Known(only.version.clone()),
            _ => Origin::Unknown,
        }
    }

    /// Decides what to do next in a fleet of the given number of daemons. Report the outcome of each step but `Wait`
    /// before the next call.
    pub fn next_step(&mut self, daemons: usize, now_ms: u64) -> Step {
        self.in_play.prune(now_ms);
        self.streams.prune(now_ms);
        if now_ms < self.paused_until_ms {
            return Step::Wait(self.paused_until_ms);
        }
        let is_new_fleet = self.eras.is_unstated() && self.in_play.has_none_registered();
        let delay_ms = self.in_play.delay_ms("complete", daemons);
        let statement = self.eras.next_item(is_new_fleet, delay_ms);
        let statement_ms = match statement {
            Some((complete, revision, due_ms))
                if due_ms <= now_ms && (is_new_fleet || !self.in_play.has_missing(now_ms)) =>
            {
                return Step::StateComplete(complete, revision);
            }
            statement => statement.map(|(_, _, due_ms)| due_ms).filter(|due_ms| *due_ms > now_ms),
        };
        let registration_ms = match self.in_play.next_registration(daemons, now_ms) {
            // The statement of a new fleet holds only if it precedes the first version.
            _ if is_new_fleet => None,
            Ok(software) => return Step::Register(software),
            Err(due_ms) => due_ms,
        };
        let write_ms = self.written_ms.map_or(now_ms, |at_ms| at_ms + write_interval_ms(daemons));
        let unwritten = self.unwritten(now_ms);
        if write_ms <= now_ms && !unwritten.is_empty() {
            return Step::Write(self.batch(unwritten, now_ms));
        }
        let removal_ms = match self.in_play.next_removal(daemons, now_ms) {
            Ok((software, revision)) => return Step::Unregister(software, revision),
            Err(due_ms) => due_ms,
        };
        let write_ms = (!unwritten.is_empty()).then_some(write_ms);
        let due = [statement_ms, registration_ms, write_ms, removal_ms].into_iter().flatten();
        Step::Wait(due.min().unwrap_or(u64::MAX).min(now_ms + MAX_WAIT_MS))
    }

    /// Records that the items of a batch were written.
    pub fn mark_written(&mut self, batch: &RecordBatch, now_ms: u64) {
        self.written_ms = Some(now_ms);
        for item in &batch.items {
            self.streams.mark_written(&item.sequences, item.number);
        }
        self.open_item = batch
            .items
            .last()
            .filter(|item| item.sequences.len() < FULL_ITEM_STREAMS)
            .map(|item| (item.number, item.sequences.clone()));
    }

    /// Records that the store does not know the lease of a batch any more, so that nothing was written.
    pub fn mark_lease_lost(&mut self, now_ms: u64) {
        self.mark_failed(now_ms);
        self.lease_until_ms = 0;
    }

    /// Records that a call to the store failed. A write may still be executed later, so the names of its items are not
    /// used again: it would replace what a later write has put there.
    pub fn mark_failed(&mut self, now_ms: u64) {
        self.open_item = None;
        self.paused_until_ms = now_ms + FAILURE_PAUSE_MS;
    }

    /// Number of streams that the daemon remembers: its own and those of other daemons.
    pub fn len(&self) -> (usize, usize) {
        self.streams.len()
    }

    /// Whether the daemon remembers no stream.
    pub fn is_empty(&self) -> bool {
        self.len() == (0, 0)
    }

    fn has_several_versions(&self, service: &ServiceName, now_ms: u64) -> bool {
        self.in_play.of_service(service, now_ms).nth(1).is_some()
    }

    /// Whether the version of a stream of a service is known only by a record.
    fn needs_records(&self, service: &ServiceName, now_ms: u64) -> bool {
        !self.eras.is_complete() || self.has_several_versions(service, now_ms)
    }

    /// Streams to be written now, newest first.
    fn unwritten(&self, now_ms: u64) -> Vec<u64> {
        let unwritten = self.streams.unwritten(|service| self.needs_records(service, now_ms));
        unwritten.take(MAX_BATCH_ITEMS * MAX_ITEM_STREAMS).collect()
    }

    /// Divides streams into items, of which the first may be the open one.
    fn batch(&mut self, mut unwritten: Vec<u64>, now_ms: u64) -> RecordBatch {
        if now_ms >= self.lease_until_ms {
            self.open_item = None;
            self.lease += 1;
            self.lease_until_ms = now_ms + LEASE_PERIOD_MS;
        }
        let mut items = Vec::new();
        let mut open = self.open_item.take();
        while !unwritten.is_empty() && items.len() < MAX_BATCH_ITEMS {
            let (number, mut sequences) = open.take().unwrap_or_else(|| {
                self.next_item += 1;
                (self.next_item, Vec::new())
            });
            // Streams that were recorded again since have other sequence numbers.
            sequences.retain(|sequence| self.streams.holds(*sequence));
            let count = (MAX_ITEM_STREAMS - sequences.len()).min(unwritten.len());
            sequences.extend(unwritten.drain(..count));
            items.push(RecordItem {
                name: format!("{}-{number}", self.writer),
                value: self.streams.encode(&sequences),
                number,
                sequences,
            });
        }
        RecordBatch { lease: self.lease, items }
    }

    fn retain_records(&mut self, is_held: impl Fn(u64) -> bool) {
        self.open_item = self.open_item.take().filter(|(number, _)| is_held(*number));
        self.streams.retain_items(is_held);
    }

    /// Number of the record `name` if this daemon has written it.
    fn own_number(&self, name: &str) -> Option<u64> {
        name.strip_prefix(&*self.writer)?.strip_prefix('-')?.parse().ok()
    }
}

/// Time between two writes of one daemon, so that the fleet does not exceed its rate.
fn write_interval_ms(daemons: usize) -> u64 {
    (daemons as u64 * 1_000 / FLEET_WRITES_PER_S).max(WRITE_INTERVAL_MS)
}
