//! Follows the items of a key-value service through its outages.

use crate::source::{Change, Freshness, Source, SourceError};
use base::Clock;
use std::time::Duration;

/// Wait of one watch. A watch on a connection that went silent is noticed only after it, and a leaving upstream must get
/// no more work a few seconds later.
const WATCH_WAIT_MS: u64 = 3_000;

/// Wait of the watch that brings a stale list up to date: it returns at once.
const CATCH_UP_WAIT_MS: u64 = 1;

/// Pause after a failed call; doubled for each further one.
const PAUSE_MS: u64 = 50;

/// Longest pause after a failed call.
const MAX_PAUSE_MS: u64 = 400;

/// Takes over what was read.
pub trait WatchHandler {
    /// All items. They may be seconds old until `on_caught_up` is called.
    fn on_list(&mut self, items: Vec<Change>);

    /// All changes up to now were taken over.
    fn on_caught_up(&mut self);

    /// Changes since the last call.
    fn on_changes(&mut self, changes: Vec<Change>);

    /// The service does not answer; called once for each outage.
    fn on_outage(&mut self, err: &SourceError);

    /// The service answered; `away_ms` is the length of an outage that ends with the answer.
    fn on_answer(&mut self, away_ms: Option<u64>);
}

/// Reads the items below `prefix`, and then their changes. It ends only with its future. After changes it waits for
/// `batch_ms`, so that those that come close together take one call.
///
/// The first list may be stale: when a whole fleet starts, lists of the latest state would exceed the rate of the
/// service. The watch that follows brings it up to date.
pub async fn list_and_watch(
    mut source: impl Source,
    prefix: &str,
    batch_ms: u64,
    mut follower: impl WatchHandler,
) {
    let clock = Clock::start();
    let mut revision = None;
    let mut freshness = Freshness::Stale;
    let mut is_current = false;
    let mut failures = 0_u32;
    let mut lost_at_ms = None;
    loop {
        let outcome = match revision {
            None => source.list(prefix, freshness).await,
            Some(revision) if is_current => source.watch(prefix, revision, WATCH_WAIT_MS).await,
            Some(revision) => source.watch(prefix, revision, CATCH_UP_WAIT_MS).await,
        };
        match outcome {
            Ok(read) => {
                let away_ms = lost_at_ms.take().map(|at_ms| clock.now_ms().saturating_sub(at_ms));
                failures = 0;
                follower.on_answer(away_ms);
                let is_quiet = read.changes.is_empty();
                match revision {
                    None => {
                        follower.on_list(read.changes);
                        is_current = freshness == Freshness::Latest;
                    }
                    Some(_) => {
                        follower.on_changes(read.changes);
                        is_current = true;
                    }
                }
                if is_current {
                    follower.on_caught_up();
                }
                revision = Some(read.revision.max(revision.unwrap_or(0)));
                if !is_quiet && is_current {
                    tokio::time::sleep(Duration::from_millis(batch_ms)).await;
                }
            }
            Err(SourceError::Compacted) => {
                log::info!("plat: the history is gone; all items are read again");
                revision = None;
                freshness = Freshness::Latest;
            }
            Err(err) => {
                if lost_at_ms.is_none() {
                    lost_at_ms = Some(clock.now_ms());
                    follower.on_outage(&err);
                }
                // A fleet that starts during an outage still lists the stale state, which is not limited.
                if is_current {
                    freshness = Freshness::Latest;
                }
                // The service may have made changes before it cut the watch, and a watch that begins before them may hear of
                // them only at its end.
                revision = None;
                let pause_ms = (PAUSE_MS << failures.min(8)).min(MAX_PAUSE_MS);
                failures += 1;
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
    }
}
