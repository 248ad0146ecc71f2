//! Keeps items in a key-value service for as long as the process that owns them runs, by means of a lease.

use crate::source::SourceError;
use base::stable_hash;
use std::time::Duration;
use tokio::sync::watch;

/// Duration of the lease after each renewal. It is long, so that a short outage of the service does not remove the item
/// and few renewals are needed.
const LEASE_MS: u64 = 30_000;

/// Time between two renewals of the lease.
const RENEW_MS: u64 = 10_000;

/// Shortest pause after the lease has expired or a call has failed, before the item is written again with a new lease.
const PAUSE_MS: u64 = 500;

/// Largest addition to `PAUSE_MS`, which differs between processes. A restoration of the service ends many leases at
/// once.
const PAUSE_SPREAD_MS: u64 = 1_000;

/// Lease of the service in one of its eras.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// Identifier. After a restoration of the service, it may be that of another process's lease.
    pub id: u64,
    /// Era of the service in which the lease was granted; 0 if the service does not state it.
    pub era: u64,
}

/// Writes to a key-value service with leases. Each method makes exactly one call to the service, and none retries.
pub trait LeaseClient: Send {
    /// Acquires a lease that expires `ttl_ms` after its last renewal.
    fn grant(&mut self, ttl_ms: u64) -> impl Future<Output = Result<Lease, SourceError>> + Send;

    /// Renews a lease. Returns false if the lease has expired, or is of another era than the service.
    fn renew(&mut self, lease: Lease) -> impl Future<Output = Result<bool, SourceError>> + Send;

    /// Writes items, as pairs of key and value, that the service removes when the lease expires. Either all of them are
    /// written or none. Returns false if the lease has expired already, or is of another era than the service.
    fn put(
        &mut self,
        items: &[(String, String)],
        lease: Lease,
    ) -> impl Future<Output = Result<bool, SourceError>> + Send;
}

/// Keeps the items, which are pairs of key and value, in the service until the future is dropped. `eras` holds the era
/// of the service that this process has learned elsewhere: a restoration loses items that were written since the copy.
///
/// If the answer to a write is lost, the items are written again with a new lease. This is safe, because no other
/// process writes them.
pub async fn announce(
    mut client: impl LeaseClient,
    items: &[(String, String)],
    mut eras: watch::Receiver<u64>,
) {
    let pause_ms = PAUSE_MS + stable_hash(items) % PAUSE_SPREAD_MS;
    loop {
        match keep_until_expired(&mut client, items, &mut eras).await {
            Ok(()) => {
                log::info!("plat: the lease of this daemon has ended, its items are written again")
            }
            Err(err) => {
                log::info!("plat: announcing this daemon failed and will be retried: {err}")
            }
        }
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Writes the items with a new lease, and renews the lease until it has ended: the service reports that it has expired,
/// or was restored from a copy. A failed renewal is tried again after the usual interval.
///
/// # Errors
///
/// Returns an error if the lease cannot be acquired or the items cannot be written.
async fn keep_until_expired(
    client: &mut impl LeaseClient,
    items: &[(String, String)],
    eras: &mut watch::Receiver<u64>,
) -> Result<(), SourceError> {
    let lease = client.grant(LEASE_MS).await?;
    if !client.put(items, lease).await? {
        return Ok(());
    }
    loop {
        let renewal = Duration::from_millis(RENEW_MS);
        let restoration = eras.wait_for(|&era| era > lease.era && lease.era > 0);
        let restored = tokio::time::timeout(renewal, restoration).await.map(|era| era.is_ok());
        match restored {
            Ok(true) => return Ok(()),
            // The era is no longer reported, and only renewals show the end of the lease.
            Ok(false) => tokio::time::sleep(renewal).await,
            Err(_) => {}
        }
        match client.renew(lease).await {
            Ok(true) => {}
            Ok(false) => return Ok(()),
            Err(err) => log::info!("plat: the lease of this daemon was not renewed: {err}"),
        }
    }
}
