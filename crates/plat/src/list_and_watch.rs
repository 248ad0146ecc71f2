//! Lists the items of a key-value service and watches their changes, through outages of the service.

use crate::{
    position::Position,
    source::{Change, Freshness, Source, SourceError},
    watch_timing::WatchTiming,
};
use base::Clock;
use std::time::Duration;

/// Duration of the watch that brings a stale list up to date. It is short, because the watch must return at once even
/// if nothing has changed.
const CATCH_UP_WAIT_MS: u64 = 1;

/// Backoff after the first failed call. It doubles with each further failure.
const BACKOFF_MS: u64 = 50;

/// Maximum backoff after a failed call.
const MAX_BACKOFF_MS: u64 = 400;

/// Number of answers in a row without a readable era after which the service counts as unavailable.
const MAX_UNREADABLE_ERAS: u32 = 4;

/// Receives the items that `list_and_watch` reads, and their changes.
pub trait WatchHandler {
    /// Replaces all items by `items`, which may be seconds old until `on_caught_up` is called.
    fn on_list(&mut self, items: Vec<Change>);

    /// Called before `on_list` if the service was restored from an older copy, from which the items are.
    fn on_restored(&mut self);

    /// Called each time all changes up to now have been delivered, so that the items are up to date.
    fn on_caught_up(&mut self);

    /// Applies the changes since the last call of `on_list` or `on_changes`; there may be none.
    fn on_changes(&mut self, changes: Vec<Change>);

    /// Called after each call of `on_list` or `on_changes`, with the position up to which changes have been delivered.
    fn on_position(&mut self, position: Position);

    /// Called once for each outage, with the first failed call.
    fn on_outage(&mut self, err: &SourceError);

    /// Called for each successful answer, before its items or changes are delivered. `outage_ms` is the length of the
    /// outage that ends with this answer; `None` if there was no outage.
    fn on_answer(&mut self, outage_ms: Option<u64>);
}

/// Reads the items whose keys begin with `prefix` and then their changes, until the future is dropped. Each watch waits up
/// to `wait_ms` for changes. After changes, or a list of the latest state, the next one starts `batch_ms` later, so that
/// changes in quick succession are read with one call.
///
/// A connection that has stopped delivering anything is noticed only at the end of a watch, so `wait_ms` must be shorter
/// than the time within which changes must be active.
///
/// The first list may be stale: if a whole fleet starts at once, lists of the latest state would exceed the rate limit
/// of the service. The watch that follows brings the list up to date.
pub async fn list_and_watch(
    mut source: impl Source,
    prefix: &str,
    WatchTiming { wait_ms, batch_ms }: WatchTiming,
    mut handler: impl WatchHandler,
) {
    let clock = Clock::start();
    let mut revision = None;
    let mut era = None;
    let mut freshness = Freshness::Stale;
    let mut is_current = false;
    let mut failures = 0_u32;
    let mut outage_start_ms = None;
    loop {
        let call_start_ms = clock.now_ms();
        let outcome = match revision {
            None => source.list(prefix, freshness).await,
            Some(revision) if is_current => source.watch(prefix, revision, wait_ms).await,
            Some(revision) => source.watch(prefix, revision, CATCH_UP_WAIT_MS).await,
        };
        match outcome {
            // A watch does not tell what was changed in the new era under revisions up to the one where it starts, so
            // all items are read again.
            Ok(read) if revision.is_some() && era != Some(read.era) => {
                revision = None;
                freshness = Freshness::Latest;
            }
            Ok(read) => {
                let outage_ms =
                    outage_start_ms.take().map(|start_ms| clock.now_ms().saturating_sub(start_ms));
                failures = 0;
                if era.is_some_and(|era| era != read.era) {
                    log::warn!(
                        "plat: the service was restored from a copy, era={} before={} revision={}",
                        read.era,
                        era.unwrap_or(0),
                        read.revision
                    );
                    handler.on_restored();
                }
                era = Some(read.era);
                handler.on_answer(outage_ms);
                let is_empty = read.changes.is_empty();
                match revision {
                    None => {
                        let size_bytes = read.changes.iter().map(Change::wire_bytes).sum::<u64>();
                        log::info!(
                            "plat: listed items={} size_bytes={size_bytes} took_ms={} freshness={freshness:?}",
                            read.changes.len(),
                            clock.now_ms().saturating_sub(call_start_ms),
                        );
                        handler.on_list(read.changes);
                        is_current = freshness == Freshness::Latest;
                    }
                    Some(_) => {
                        handler.on_changes(read.changes);
                        is_current = true;
                    }
                }
                let known = read.revision.max(revision.unwrap_or(0));
                revision = Some(known);
                handler.on_position(Position { era: read.era, revision: known });
                if is_current {
                    handler.on_caught_up();
                }
                if !is_empty && is_current {
                    tokio::time::sleep(Duration::from_millis(source.batch_ms(batch_ms))).await;
                }
            }
            Err(SourceError::Compacted) => {
                log::info!("plat: the history was compacted, all items are read again");
                revision = None;
                freshness = Freshness::Latest;
            }
            // The watch is repeated: from the same revision, it returns the same changes. A list of all items would cost
            // much more, and the next answer will tell whether the service was restored.
            Err(SourceError::UnreadableEra)
                if revision.is_some() && failures < MAX_UNREADABLE_ERAS =>
            {
                log::info!("plat: the era of an answer cannot be read, the watch is repeated");
                tokio::time::sleep(Duration::from_millis(BACKOFF_MS << failures)).await;
                failures += 1;
            }
            Err(err) => {
                if outage_start_ms.is_none() {
                    outage_start_ms = Some(clock.now_ms());
                    handler.on_outage(&err);
                }
                // Until the items have been up to date once, keep listing the stale state: its rate is not limited, and
                // a whole fleet may be starting during the outage.
                if is_current {
                    freshness = Freshness::Latest;
                }
                // The service may have made changes before it cut the watch, and a new watch from the old revision may
                // report them only at its end. So all items are listed again.
                revision = None;
                let backoff_ms = (BACKOFF_MS << failures.min(8)).min(MAX_BACKOFF_MS);
                failures += 1;
                tokio::time::sleep(Duration::from_millis(backoff_ms)).await;
            }
        }
    }
}
