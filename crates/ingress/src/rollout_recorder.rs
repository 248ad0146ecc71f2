//! Writes to the store how rollouts stand.

use crate::{core::Core, follow::PlatformKeys, rollout_items::RolloutDecoders};
use plat::{Freshness, RecordStore, SourceError};
use rollout::{RolloutStatus, StatusWrite};
use std::{sync::Arc, time::Duration};

/// Time between two checks whether a status is to be written, and shortest time between two writes.
const CHECK_MS: u64 = 100;

/// Longest duration of a call to the store. After it, the item is read back.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// Pause after a failed write.
const BACKOFF_MS: u64 = 300;

/// Writes the statuses of rollouts that this daemon judges, as long as the future is polled. `encode` returns the value of
/// the item.
pub async fn record_rollouts<E>(
    core: Arc<Core>,
    mut store: impl RecordStore,
    keys: PlatformKeys,
    decoders: RolloutDecoders<E>,
    encode: fn(&RolloutStatus) -> String,
) {
    core.wait_until_caught_up().await;
    loop {
        let Some(write) = core.rollouts.due_write() else {
            tokio::time::sleep(Duration::from_millis(CHECK_MS)).await;
            continue;
        };
        let StatusWrite { status, expected_revision, .. } = &write;
        let key = format!("{}{}", keys.rollout_statuses, status.service);
        let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
        let value = encode(status);
        let writing = store.replace(&key, &value, *expected_revision);
        let (service, state) = (status.service.clone(), status.state);
        match tokio::time::timeout(timeout, writing).await {
            Ok(Ok(Some(revision))) => {
                log::info!(
                    "rollout: service={service} status={state:?} written, revision={revision}"
                );
                core.rollouts.note_written(write, revision);
                tokio::time::sleep(Duration::from_millis(CHECK_MS)).await;
                continue;
            }
            Ok(Ok(None)) => {
                log::info!(
                    "rollout: service={service} status={state:?} was changed by another daemon"
                );
            }
            Ok(Err(err)) => {
                log::info!("rollout: service={service} status={state:?} not written: {err}");
            }
            Err(_) => {
                log::info!(
                    "rollout: service={service} status={state:?} not written in {CALL_TIMEOUT_MS} ms"
                );
            }
        }
        // Reading the item shows whether the write took effect, and at which revision the next one may.
        let reading = read_back(&core, &mut store, &key, &decoders, status);
        let is_read = matches!(tokio::time::timeout(timeout, reading).await, Ok(Ok(())));
        let pause_ms = if is_read { CHECK_MS } else { BACKOFF_MS };
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

async fn read_back<E>(
    core: &Core,
    store: &mut impl RecordStore,
    key: &str,
    decoders: &RolloutDecoders<E>,
    status: &RolloutStatus,
) -> Result<(), SourceError> {
    let read = store.list(key, Freshness::Latest).await?;
    let item = read.changes.iter().find(|item| &*item.key == key);
    let stored = item.and_then(|item| (decoders.status)(item.value.as_deref()?).ok());
    core.rollouts.apply_status(&status.service, stored, item.map_or(0, |item| item.revision));
    Ok(())
}
