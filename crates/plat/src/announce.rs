//! Keeps an item in a key-value service as long as its owner lives.

use crate::source::SourceError;
use std::time::Duration;

/// Life of the lease after its last renewal. It is long, so that a short outage does not remove the item and renewals
/// cost little.
const LEASE_MS: u64 = 30_000;

/// Time between two renewals.
const RENEW_MS: u64 = 10_000;

/// Pause after a failed call.
const PAUSE_MS: u64 = 1_000;

/// Writing side of a key-value service, as far as an announcement needs it. Each method is one counted call.
pub trait LeaseClient: Send {
    /// Takes a lease that ends `ttl_ms` after its last renewal.
    fn grant(&mut self, ttl_ms: u64) -> impl Future<Output = Result<u64, SourceError>> + Send;

    /// Renews a lease; false if it has ended.
    fn renew(&mut self, lease: u64) -> impl Future<Output = Result<bool, SourceError>> + Send;

    /// Writes an item that ends with the lease; false if the lease has ended.
    fn put(
        &mut self,
        key: &str,
        value: &[u8],
        lease: u64,
    ) -> impl Future<Output = Result<bool, SourceError>> + Send;
}

/// Keeps the item `key` in the service. It ends only with its future.
///
/// A write whose answer was lost is repeated with a new lease: the item is the owner's alone, so the last write wins.
pub async fn announce(mut announcer: impl LeaseClient, key: &str, value: &[u8]) {
    loop {
        if let Err(err) = hold(&mut announcer, key, value).await {
            log::info!("plat: the announcement of {key} is interrupted: {err}");
        }
        tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
    }
}

/// Announces the item under one lease, until the lease has ended.
async fn hold(
    announcer: &mut impl LeaseClient,
    key: &str,
    value: &[u8],
) -> Result<(), SourceError> {
    let lease = announcer.grant(LEASE_MS).await?;
    if !announcer.put(key, value, lease).await? {
        return Ok(());
    }
    let mut renewed_in_time = true;
    while renewed_in_time {
        tokio::time::sleep(Duration::from_millis(RENEW_MS)).await;
        renewed_in_time = match announcer.renew(lease).await {
            Ok(is_held) => is_held,
            Err(err) => {
                log::info!("plat: the lease of {key} was not renewed: {err}");
                true
            }
        };
    }
    Ok(())
}
