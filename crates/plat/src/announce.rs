//! Keeps items in a key-value service for as long as the process that owns them runs, by means of a lease.

use crate::source::SourceError;
use std::time::Duration;

/// Duration of the lease after each renewal. It is long, so that a short outage of the service does not remove the item
/// and few renewals are needed.
const LEASE_MS: u64 = 30_000;

/// Time between two renewals of the lease.
const RENEW_MS: u64 = 10_000;

/// Pause after the lease has expired or a call has failed, before the item is written again with a new lease.
const PAUSE_MS: u64 = 1_000;

/// Writes to a key-value service with leases. Each method makes exactly one call to the service, and none retries.
pub trait LeaseClient: Send {
    /// Acquires a lease that expires `ttl_ms` after its last renewal, and returns its identifier.
    fn grant(&mut self, ttl_ms: u64) -> impl Future<Output = Result<u64, SourceError>> + Send;

    /// Renews a lease. Returns false if the lease has expired.
    fn renew(&mut self, lease: u64) -> impl Future<Output = Result<bool, SourceError>> + Send;

    /// Writes items, as pairs of key and value, that the service removes when the lease expires. Either all of them are
    /// written or none. Returns false if the lease has expired already.
    fn put(
        &mut self,
        items: &[(String, String)],
        lease: u64,
    ) -> impl Future<Output = Result<bool, SourceError>> + Send;
}

/// Keeps the items, which are pairs of key and value, in the service until the future is dropped.
///
/// If the answer to a write is lost, the items are written again with a new lease. This is safe, because no other
/// process writes them.
pub async fn announce(mut client: impl LeaseClient, items: &[(String, String)]) {
    loop {
        if let Err(err) = keep_until_expired(&mut client, items).await {
            log::info!("plat: announcing this daemon failed and will be retried: {err}");
        }
        tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
    }
}

/// Writes the items with a new lease, and renews the lease until the service reports that it has expired. A failed
/// renewal is tried again after the usual interval.
///
/// # Errors
///
/// Returns an error if the lease cannot be acquired or the items cannot be written.
async fn keep_until_expired(
    client: &mut impl LeaseClient,
    items: &[(String, String)],
) -> Result<(), SourceError> {
    let lease = client.grant(LEASE_MS).await?;
    if !client.put(items, lease).await? {
        return Ok(());
    }
    let mut is_lease_valid = true;
    while is_lease_valid {
        tokio::time::sleep(Duration::from_millis(RENEW_MS)).await;
        is_lease_valid = match client.renew(lease).await {
            Ok(is_valid) => is_valid,
            Err(err) => {
                log::info!("plat: the lease of this daemon was not renewed: {err}");
                true
            }
        };
    }
    Ok(())
}
