//! Claims in the platform's key-value service.

use base::Clock;
use call::{
    Claim, ClaimOutcome, ClaimRecord, ClaimState, CloseClaim, KvInput, KvStep, RecordError,
};
use plat::{Platform, PlatformError};
use std::time::Duration;
use wire::platform::{KvEntry, KvWrite};

/// Time between two reads that look for an abandoned claim.
const ABANDON_PAUSE_MS: u64 = 2_000;

/// Reads that look for an abandoned claim.
const ABANDON_READS: u32 = 15;

/// Claims in the platform's key-value service.
#[derive(Clone, Debug)]
pub(crate) struct ClaimStore {
    platform: Platform,
}

impl ClaimStore {
    pub fn new(platform: Platform) -> Self {
        Self { platform }
    }

    /// Claims a key.
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
            step = claim.on(input);
        }
    }

    /// Writes the end of a call; whether the platform holds it.
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
                step => close.on(self.perform(kv_key, &step).await),
            };
        }
    }

    /// Waits up to `wait_ms` until the owner of a busy claim ends it; the record that ended it.
    pub async fn ended(&self, kv_key: &str, revision: u64, wait_ms: u64) -> Option<ClaimRecord> {
        let list = self.platform.watch(kv_key, revision, wait_ms).await.ok()?;
        let entry = list.entries.iter().find(|entry| entry.key == kv_key)?;
        ClaimRecord::decode(&entry.value).ok()
    }

    /// Looks for a claim whose writes were lost and marks it as not run, since its call was refused as not run.
    /// Without this, a claim that was written would answer later calls with the key as unknown.
    fn abandon(&self, kv_key: &str, record: &ClaimRecord) {
        let (store, kv_key, record) = (self.clone(), kv_key.to_owned(), record.clone());
        tokio::spawn(async move {
            for _ in 0..ABANDON_READS {
                tokio::time::sleep(Duration::from_millis(ABANDON_PAUSE_MS)).await;
                match store.perform(&kv_key, &KvStep::<()>::Read).await {
                    KvInput::Found { record: found, revision } if found == record => {
                        store.close(&kv_key, record, revision, ClaimState::NotRun).await;
                        return;
                    }
                    KvInput::Found { .. } => return,
                    _ => {}
                }
            }
        });
    }

    async fn perform<T>(&self, kv_key: &str, step: &KvStep<T>) -> KvInput {
        let outcome = match step {
            KvStep::Write { record, expect_revision } => {
                self.write(kv_key, record, *expect_revision).await
            }
            KvStep::Read | KvStep::Done(_) => self.read(kv_key).await,
        };
        outcome.unwrap_or_else(|err| {
            log::warn!("calls: the claim cannot be read: {err}");
            KvInput::Lost
        })
    }

    async fn read(&self, kv_key: &str) -> Result<KvInput, RecordError> {
        match self.platform.get(kv_key).await {
            Ok(Some(entry)) => found(&entry),
            Ok(None) => Ok(KvInput::Absent),
            Err(_) => Ok(KvInput::Lost),
        }
    }

    async fn write(
        &self,
        kv_key: &str,
        record: &ClaimRecord,
        expect_revision: u64,
    ) -> Result<KvInput, RecordError> {
        let value = record.encode()?;
        let write = KvWrite { value, expect_revision: Some(expect_revision), lease_id: None };
        match self.platform.put(kv_key, &write).await {
            Ok(revision) => Ok(KvInput::Written { revision }),
            Err(PlatformError::Conflict(current)) if current.revision == 0 => Ok(KvInput::Absent),
            Err(PlatformError::Conflict(current)) => found(&current),
            Err(_) => Ok(KvInput::Lost),
        }
    }
}

fn found(entry: &KvEntry) -> Result<KvInput, RecordError> {
    let record = ClaimRecord::decode(&entry.value)?;
    Ok(KvInput::Found { record, revision: entry.revision })
}

/// Age of a claim by this entry's wall clock.
pub(crate) fn age_ms(created_unix_ms: u64) -> u64 {
    Clock::unix_ms().saturating_sub(created_unix_ms)
}
