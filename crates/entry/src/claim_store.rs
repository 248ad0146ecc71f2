//! Writes, reads and releases claims of idempotency keys in the platform's key-value store.

use crate::abandoned_claim::AbandonedClaim;
use base::Clock;
use call::{
    Claim, ClaimOutcome, ClaimRecord, ClaimRecordError, ClaimState, CloseClaim, KvInput, KvStep,
};
use plat::{Platform, PlatformError};
use std::time::Duration;
use tokio::{sync::mpsc, time::Instant};
use wire::platform::{KvEntry, KvWrite};

/// Pause before each read of an abandoned claim, since the write of the claim may still be in progress, and after a
/// failed release.
const ABANDONED_PAUSE_MS: u64 = 2_000;

/// Interval between reads of abandoned claims. It limits each entry to 20 reads per second, so that the end of an
/// outage does not cause a burst of reads.
const ABANDONED_READ_INTERVAL_MS: u64 = 50;

/// Number of answered reads of an abandoned claim, after which a claim that was not found counts as never written.
const ABANDONED_READS: u32 = 2;

/// Largest number of abandoned claims that are queued for release. Further ones stay open, and the outcome of later
/// calls with their keys is reported as unknown.
const MAX_ABANDONED_CLAIMS: usize = 10_000;

/// Access to the claims of idempotency keys on the platform, with a task that releases abandoned claims.
#[derive(Clone, Debug)]
pub(crate) struct ClaimStore {
    platform: Platform,
    /// `None` in the task that releases abandoned claims. A sender there would keep the task alive after the entry has
    /// stopped.
    abandoned: Option<mpsc::Sender<AbandonedClaim>>,
}

impl ClaimStore {
    /// Creates a store on `platform` and starts the task that releases abandoned claims.
    pub fn new(platform: Platform) -> Self {
        let (sender, receiver) = mpsc::channel(MAX_ABANDONED_CLAIMS);
        let store = Self { platform: platform.clone(), abandoned: None };
        let requeue = sender.downgrade();
        tokio::spawn(async move { store.release_abandoned(receiver, requeue).await });
        Self { platform, abandoned: Some(sender) }
    }

    /// Claims a key. If the outcome is `Unavailable` after a response of the platform was lost, the claim may have been
    /// written, so it is queued for release.
    pub async fn claim(&self, kv_key: &str, record: ClaimRecord) -> ClaimOutcome {
        let mut claim = Claim::new(record);
        let mut was_lost = false;
        let mut step = claim.start();
        loop {
            let input = match step {
                KvStep::Done(outcome) => {
                    if outcome == ClaimOutcome::Unavailable && was_lost {
                        self.abandon(kv_key, claim.record());
                    }
                    return outcome;
                }
                step => self.perform(kv_key, &step).await,
            };
            was_lost |= input == KvInput::Lost;
            step = claim.handle_input(input);
        }
    }

    /// Writes the final state of a call into its claim and returns whether the platform stored it.
    pub async fn close(
        &self,
        kv_key: &str,
        record: ClaimRecord,
        revision: u64,
        state: ClaimState,
    ) -> bool {
        let mut close = CloseClaim::new(record, revision, state);
        let mut step = close.start();
        loop {
            step = match step {
                KvStep::Done(is_closed) => return is_closed,
                step => close.handle_input(self.perform(kv_key, &step).await),
            };
        }
    }

    /// Waits up to `wait_ms` until the owner of a claim that is open at `revision` closes it, and returns the changed
    /// record; `None` if the claim did not change in time or cannot be read.
    pub async fn wait_closed(
        &self,
        kv_key: &str,
        revision: u64,
        wait_ms: u64,
    ) -> Option<ClaimRecord> {
        let list = self.platform.watch(kv_key, revision, wait_ms).await.ok()?;
        let item = list.entries.iter().find(|item| item.key == kv_key)?;
        ClaimRecord::decode(&item.value).ok()
    }

    /// Queues the release of a claim whose write got no response and whose call was refused as not run. If the claim
    /// was written after all and is not released, the outcome of later calls with the key is reported as unknown.
    fn abandon(&self, kv_key: &str, record: &ClaimRecord) {
        let claim = AbandonedClaim {
            kv_key: kv_key.to_owned(),
            record: record.clone(),
            read_at: Instant::now() + Duration::from_millis(ABANDONED_PAUSE_MS),
            reads_left: ABANDONED_READS,
        };
        if self.abandoned.as_ref().is_some_and(|sender| sender.try_send(claim).is_err()) {
            log::warn!("calls: the queue of abandoned claims is full; a claim stays open");
        }
    }

    async fn release_abandoned(
        &self,
        mut claims: mpsc::Receiver<AbandonedClaim>,
        requeue: mpsc::WeakSender<AbandonedClaim>,
    ) {
        let pause = Duration::from_millis(ABANDONED_PAUSE_MS);
        while let Some(mut claim) = claims.recv().await {
            tokio::time::sleep_until(claim.read_at).await;
            while !self.release(&claim).await {
                tokio::time::sleep(pause).await;
            }
            claim.reads_left -= 1;
            claim.read_at = Instant::now() + pause;
            // A write that is still in progress is found by the next read.
            if claim.reads_left > 0
                && let Some(sender) = requeue.upgrade()
            {
                let _ = sender.try_send(claim);
            }
            tokio::time::sleep(Duration::from_millis(ABANDONED_READ_INTERVAL_MS)).await;
        }
    }

    /// Closes an abandoned claim as not run if the platform has it. A claim that is absent or differs needs no release.
    /// Returns `false` if the platform did not answer, or did not store the closed claim; the release is then retried.
    async fn release(&self, claim: &AbandonedClaim) -> bool {
        let AbandonedClaim { kv_key, record, .. } = claim;
        match self.perform(kv_key, &KvStep::<()>::Read).await {
            KvInput::Found { record: found, revision } if found == *record => {
                self.close(kv_key, record.clone(), revision, ClaimState::NotRun).await
            }
            KvInput::Lost => false,
            _ => true,
        }
    }

    async fn perform<T>(&self, kv_key: &str, step: &KvStep<T>) -> KvInput {
        let outcome = match step {
            KvStep::Write { record, expect_revision } => {
                self.write(kv_key, record, *expect_revision).await
            }
            KvStep::Read | KvStep::Done(_) => self.read(kv_key).await,
        };
        outcome.unwrap_or_else(|err| {
            log::warn!("calls: the claim record cannot be encoded or decoded: {err}");
            KvInput::Lost
        })
    }

    async fn read(&self, kv_key: &str) -> Result<KvInput, ClaimRecordError> {
        match self.platform.get(kv_key).await {
            Ok(Some(item)) => found_input(&item),
            Ok(None) => Ok(KvInput::Absent),
            Err(_) => Ok(KvInput::Lost),
        }
    }

    async fn write(
        &self,
        kv_key: &str,
        record: &ClaimRecord,
        expect_revision: u64,
    ) -> Result<KvInput, ClaimRecordError> {
        let value = record.encode()?;
        let write = KvWrite { value, expect_revision: Some(expect_revision), lease_id: None };
        match self.platform.put(kv_key, &write).await {
            Ok(revision) => Ok(KvInput::Written { revision }),
            Err(PlatformError::Conflict(current)) if current.revision == 0 => Ok(KvInput::Absent),
            Err(PlatformError::Conflict(current)) => found_input(&current),
            Err(_) => Ok(KvInput::Lost),
        }
    }
}

fn found_input(item: &KvEntry) -> Result<KvInput, ClaimRecordError> {
    let record = ClaimRecord::decode(&item.value)?;
    Ok(KvInput::Found { record, revision: item.revision })
}

/// Age of a claim in milliseconds by this entry's wall clock; 0 if the clock of the claiming entry is ahead.
pub(crate) fn age_ms(created_unix_ms: u64) -> u64 {
    Clock::unix_ms().saturating_sub(created_unix_ms)
}
