//! Check that the revision in force never decreases at any daemon.

use crate::cluster::Layout;
use admin::Status;
use base::HashMap;
use std::{net::SocketAddr, time::Duration};
use tokio::{sync::watch, time::Instant};
use web::{Client, Method};

/// Time between two reads.
const INTERVAL_MS: u64 = 250;

/// Longest wait for an answer.
const WAIT_MS: u64 = 500;

/// Reads the revision of all daemons until `end`; the numbers of reads and of decreases. A daemon that restarts has
/// another address.
pub(super) async fn watch_revisions(
    addrs: watch::Receiver<Vec<SocketAddr>>,
    end: Instant,
) -> (usize, usize) {
    let mut seen: HashMap<SocketAddr, u64> = HashMap::default();
    let (mut reads, mut reverts) = (0, 0);
    while Instant::now() < end {
        let present = addrs.borrow().clone();
        for addr in present {
            let client = Client::new(addr, WAIT_MS).with_bearer_key(Layout::OPERATOR_KEY);
            let Ok(reply) = client.send(Method::GET, "/admin/v1/status").await else { continue };
            let Ok(status) = reply.json::<Status>() else { continue };
            let highest = seen.entry(addr).or_default();
            reads += 1;
            reverts += usize::from(status.revision < *highest);
            *highest = status.revision.max(*highest);
        }
        tokio::time::sleep(Duration::from_millis(INTERVAL_MS)).await;
    }
    (reads, reverts)
}
