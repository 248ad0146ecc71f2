//! Checks that the active configuration revision never decreases at any daemon.

use crate::cluster::Layout;
use admin::Status;
use base::HashMap;
use std::{net::SocketAddr, time::Duration};
use tokio::{sync::watch, time::Instant};
use web::{Client, Method};

/// Time between two rounds in which the revision of each daemon is read.
const POLL_INTERVAL_MS: u64 = 250;

/// Timeout of a status request.
const REPLY_TIMEOUT_MS: u64 = 500;

/// Reads the active revision of all daemons until `end`. Returns the number of reads, and how many of them returned a
/// lower revision than an earlier read of the same daemon. A daemon that restarts has another address and counts as
/// another daemon.
pub(super) async fn watch_revisions(
    addrs: watch::Receiver<Vec<SocketAddr>>,
    end: Instant,
) -> (usize, usize) {
    let mut highest_revisions: HashMap<SocketAddr, u64> = HashMap::default();
    let (mut reads, mut reverts) = (0, 0);
    while Instant::now() < end {
        let current_addrs = addrs.borrow().clone();
        for addr in current_addrs {
            let client = Client::new(addr, REPLY_TIMEOUT_MS).with_bearer_key(Layout::OPERATOR_KEY);
            let Ok(reply) = client.send(Method::GET, "/admin/v1/status").await else { continue };
            let Ok(status) = reply.json::<Status>() else { continue };
            let highest = highest_revisions.entry(addr).or_default();
            reads += 1;
            reverts += usize::from(status.revision < *highest);
            *highest = status.revision.max(*highest);
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
    (reads, reverts)
}
