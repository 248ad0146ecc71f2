//! Writes to the store at which software versions streams began, and reads it for streams of other daemons.

use crate::{core::Core, follow::PlatformKeys, instance_entry::InstanceEntry};
use affinity::{CompleteEra, LEASE_MS, RecordBatch, ServiceVersion, Step};
use plat::{Freshness, Lease, RecordStore, SourceError};
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Longest duration of a read of the records.
const READ_TIMEOUT_MS: u64 = 500;

/// Wait of the watch that reads which instances were listed since the last answer to the daemon's own watch. It is short,
/// because the watch must return at once also if there are none.
const JOINED_WAIT_MS: u64 = 1;

/// Pause after a read, for each daemon of the fleet. After all daemons were killed, each of them has many take-ups.
const READ_PAUSE_PER_DAEMON_MS: u64 = 2;

/// Shortest pause after a failed read, which take-ups that wait repeat at once.
const FAILED_READ_PAUSE_MS: u64 = 50;

/// Decodes the registry entry of the instance with the given identifier.
type DecodeInstance<E> = fn(&str, &[u8]) -> Result<InstanceEntry, E>;

/// Keeps the records of streams in the store and reads those of other daemons, as long as the future is polled. `writer`
/// and `reader` use separate connections, so that a slow write does not delay a caller.
pub async fn record_stream_versions<E>(
    core: Arc<Core>,
    writer: impl RecordStore,
    reader: impl RecordStore,
    keys: PlatformKeys,
    decode: DecodeInstance<E>,
) {
    core.wait_until_caught_up().await;
    let recorder = Recorder { core: &core, store: writer, keys, lease: None, is_failing: false };
    tokio::join!(recorder.run(), read_on_request(&core, reader, keys, decode));
}

/// Reads the records each time this is requested. Requests that arrive during a read are answered by the next one.
async fn read_on_request<E>(
    core: &Core,
    mut store: impl RecordStore,
    keys: PlatformKeys,
    decode: DecodeInstance<E>,
) {
    let versions = &core.versions;
    loop {
        versions.requested.notified().await;
        versions.start_read();
        metrics::counter!("stream_origin_reads_total").increment(1);
        let timeout = Duration::from_millis(READ_TIMEOUT_MS);
        let read = tokio::time::timeout(timeout, read_versions(core, &mut store, keys, decode));
        let is_complete = match read.await {
            Ok(Ok(is_complete)) => Some(is_complete),
            Ok(Err(err)) => {
                log::info!("versions: the records were not read: {err}");
                None
            }
            Err(_) => {
                log::info!("versions: the records were not read in {READ_TIMEOUT_MS} ms");
                None
            }
        };
        versions.finish_read(is_complete);
        let least_ms = if is_complete.is_some() { 0 } else { FAILED_READ_PAUSE_MS };
        let pause_ms = (core.listed_daemons() as u64 * READ_PAUSE_PER_DAEMON_MS).max(least_ms);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Reads the records, the registered versions and the versions of instances that were listed since the last answer to
/// this daemon's watch. The watch of a daemon that was cut off or stood still can be seconds late. Returns whether the
/// registered versions are complete: after a restoration of the store, some may be missing.
async fn read_versions<E>(
    core: &Core,
    store: &mut impl RecordStore,
    keys: PlatformKeys,
    decode: DecodeInstance<E>,
) -> Result<bool, SourceError> {
    let versions = &core.versions;
    let position = versions.position();
    let streams = store.list(keys.streams, Freshness::Latest).await?;
    streams.changes.iter().for_each(|item| versions.apply(item, keys));
    let stated = streams.changes.iter().find(|item| &*item.key == keys.complete_era);
    let complete = stated.and_then(|item| CompleteEra::decode(item.value.as_deref()?).ok());
    if complete.is_none_or(|complete| complete.era != streams.era) {
        return Ok(false);
    }
    let watched = match position {
        Some(position) if position.era == streams.era => {
            let watched = store.watch(keys.instances, position.revision, JOINED_WAIT_MS).await;
            watched.ok().filter(|watched| watched.era == streams.era)
        }
        _ => None,
    };
    let instances = match watched {
        Some(watched) => watched,
        None => store.list(keys.instances, Freshness::Latest).await?,
    };
    let entries = instances.changes.iter().filter_map(|change| {
        let id = change.key.strip_prefix(keys.instances)?;
        decode(id, change.value.as_deref()?).ok()
    });
    core.add_listed_versions(&entries.collect::<Vec<_>>());
    Ok(instances.era == streams.era)
}

/// Makes the steps that `VersionRecords` decides on.
struct Recorder<'a, S> {
    core: &'a Core,
    store: S,
    keys: PlatformKeys,
    /// Lease with its number in the batches.
    lease: Option<(u64, Lease)>,
    /// Whether the last call to the store has failed.
    is_failing: bool,
}

impl<S: RecordStore> Recorder<'_, S> {
    async fn run(mut self) {
        let versions = &self.core.versions;
        loop {
            let step =
                versions.state().next_step(self.core.listed_daemons(), versions.clock.now_ms());
            let outcome = match step {
                Step::Register(software) => self.register(software).await,
                Step::Unregister(software, revision) => self.unregister(software, revision).await,
                Step::StateComplete(complete, revision) => {
                    self.state_complete(complete, revision).await
                }
                Step::Write(batch) => self.write(batch).await,
                Step::Wait(until_ms) => {
                    let until = Instant::from_std(versions.clock.instant_at(until_ms));
                    // Both outcomes lead to the next step.
                    let _ = tokio::time::timeout_at(until, versions.changed.notified()).await;
                    continue;
                }
            };
            self.report(outcome);
        }
    }

    async fn register(&mut self, software: ServiceVersion) -> Result<(), SourceError> {
        let key = format!("{}{}", self.keys.stream_versions, software.key());
        let created = self.store.replace(&key, &software.encode(), 0).await?;
        let versions = &self.core.versions;
        log::info!(
            "versions: {} of {} is registered, created={}",
            software.version,
            software.service,
            created.is_some()
        );
        // The watch brings the revision of an item that another daemon has created.
        versions.state().insert_registered(software, created.unwrap_or(0), versions.clock.now_ms());
        Ok(())
    }

    async fn state_complete(
        &mut self,
        complete: CompleteEra,
        revision: u64,
    ) -> Result<(), SourceError> {
        let key = self.keys.complete_era;
        let written = self.store.replace(key, &complete.encode(), revision).await?;
        let versions = &self.core.versions;
        let now_ms = versions.clock.now_ms();
        match written {
            Some(revision) => {
                log::info!("versions: the registered versions are complete, era={}", complete.era);
                versions.state().set_complete_era(Some((complete, revision)));
            }
            // The watch brings the item of another daemon.
            None => versions.state().mark_failed(now_ms),
        }
        Ok(())
    }

    async fn unregister(
        &mut self,
        software: ServiceVersion,
        revision: u64,
    ) -> Result<(), SourceError> {
        let key = software.key();
        self.store.remove(&format!("{}{key}", self.keys.stream_versions), revision).await?;
        log::info!("versions: {} of {} was removed", software.version, software.service);
        let versions = &self.core.versions;
        versions.state().remove_registered(&key, revision, versions.clock.now_ms());
        Ok(())
    }

    async fn write(&mut self, batch: RecordBatch) -> Result<(), SourceError> {
        let lease = match self.lease {
            Some((number, lease)) if number == batch.lease => lease,
            _ => {
                let lease = self.store.grant(LEASE_MS).await?;
                self.lease = Some((batch.lease, lease));
                lease
            }
        };
        let key = |name: &str| format!("{}{name}", self.keys.begun_streams);
        let items: Vec<(String, String)> =
            batch.items.iter().map(|item| (key(&item.name), item.value.clone())).collect();
        let is_written = self.store.put(&items, lease).await?;
        let versions = &self.core.versions;
        let now_ms = versions.clock.now_ms();
        if is_written {
            metrics::counter!("stream_records_written_total").increment(batch.len() as u64);
            log::debug!("versions: wrote {} streams in {} items", batch.len(), items.len());
            versions.state().mark_written(&batch, now_ms);
        } else {
            log::info!("versions: the lease of the records has ended, they are written again");
            self.lease = None;
            versions.state().mark_lease_lost(now_ms);
        }
        Ok(())
    }

    /// Records the outcome of a call. Only the first one of a series of failures is logged.
    fn report(&mut self, outcome: Result<(), SourceError>) {
        let versions = &self.core.versions;
        match outcome {
            Ok(()) => self.is_failing = false,
            Err(err) => {
                metrics::counter!("stream_record_failures_total").increment(1);
                if !self.is_failing {
                    log::warn!("versions: the records were not written, they are retried: {err}");
                }
                self.is_failing = true;
                versions.state().mark_failed(versions.clock.now_ms());
            }
        }
    }
}
