//! Items that a relay serves to other daemons, within its share of the network link.

use crate::{
    item_cache::ItemCache,
    serve_budget::ServeBudget,
    source::{Changes, SourceError},
};
use base::{Clock, lock};
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

/// Size of a page of a list. Ten readers of a link of 10 Mbit/s get a page each within their timeout of 300 ms.
const PAGE_BYTES: u64 = 32 * 1024;

/// Time beyond its wait for which a watch waits for the share of the link. It is shorter than the time after which the
/// reader takes the relay for lost.
const BUSY_WAIT_MS: u64 = 150;

/// Size of the heads of a call and its answer.
const HEAD_BYTES: u64 = 320;

/// Interval between two log lines about refused calls.
const LOG_INTERVAL_MS: u64 = 10_000;

/// Copy of a key-value service's items that a daemon serves to others.
#[derive(Debug)]
pub struct ServedItems {
    items: Arc<ItemCache>,
    /// Age of the copy from which it is too old.
    max_age_ms: u64,
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    budget: ServeBudget,
    /// Calls that were refused since the last log line.
    refused: u64,
    no_log_until_ms: u64,
}

impl ServedItems {
    /// Serves `items` while they are younger than `max_age_ms`, within a share of a link of `link_mbps` Mbit/s; 0 if
    /// that is not known.
    pub fn new(items: Arc<ItemCache>, max_age_ms: u64, link_mbps: u64) -> Self {
        let budget = ServeBudget::new(link_mbps);
        let state = Mutex::new(State { budget, refused: 0, no_log_until_ms: 0 });
        Self { items, max_age_ms, clock: Clock::start(), state }
    }

    /// Returns the page of items that follows the key `after`, or the first one, and whether more items follow. The
    /// share of the link for a whole list is taken with its first page.
    ///
    /// # Errors
    ///
    /// `Outdated` if the items are too old, `Busy` if the share of the link is spent.
    pub fn page(&self, after: Option<&str>) -> Result<(Changes, bool), SourceError> {
        if after.is_none() {
            let bytes = self.items.wire_bytes() + HEAD_BYTES;
            let now_ms = self.clock.now_ms();
            let admission = lock(&self.state).budget.take_list(now_ms, bytes);
            if admission.is_err() {
                return Err(self.refuse(now_ms));
            }
        }
        self.items.page(after.unwrap_or_default(), PAGE_BYTES, self.max_age_ms)
    }

    /// Waits up to `wait_ms` for changes after `revision` and, a little longer, for the share of the link to send them.
    /// Changes that come in the meantime are sent with them.
    ///
    /// # Errors
    ///
    /// As for `ItemCache::watch`; `Busy` if the share of the link is spent.
    pub async fn watch(&self, revision: u64, wait_ms: u64) -> Result<Changes, SourceError> {
        let deadline_ms = self.clock.now_ms() + wait_ms;
        loop {
            let wait_ms = deadline_ms.saturating_sub(self.clock.now_ms());
            let read = self.items.watch(revision, wait_ms, self.max_age_ms).await?;
            let bytes = read.changes.iter().map(|change| change.wire_bytes()).sum::<u64>();
            let now_ms = self.clock.now_ms();
            let admission = lock(&self.state).budget.take_changes(now_ms, bytes + HEAD_BYTES);
            match admission {
                Ok(()) => return Ok(read),
                // Without an answer, the reader would take the relay for lost and ask elsewhere.
                Err(_) if read.changes.is_empty() => return Ok(read),
                Err(pause_ms) if now_ms + pause_ms > deadline_ms + BUSY_WAIT_MS => {
                    return Err(self.refuse(now_ms));
                }
                Err(pause_ms) => tokio::time::sleep(Duration::from_millis(pause_ms)).await,
            }
        }
    }

    /// Counts a refused call, and logs the number of them from time to time.
    fn refuse(&self, now_ms: u64) -> SourceError {
        let mut state = lock(&self.state);
        state.refused += 1;
        if now_ms >= state.no_log_until_ms {
            state.no_log_until_ms = now_ms + LOG_INTERVAL_MS;
            let refused = std::mem::take(&mut state.refused);
            log::warn!("plat: the share of the link for copies is spent, refused={refused}");
        }
        SourceError::Busy
    }
}
