//! Collects the measurements of requests from all entries, the daemons that serve callers.

use crate::daemon::Daemon;
use base::{Clock, HashMap, VmId, lock};
use burn::{BurnDigest, FleetDigest};
use futures::future::{join, join_all};
use plat::{Platform, PlatformError};
use std::{net::SocketAddr, sync::Mutex, time::Duration};
use web::{Client, Method};
use wire::platform::{KvWrite, VmRole};

/// Prefix of the keys in the platform's key-value store that hold the addresses of administration servers. The
/// identifier of the entry's VM follows it.
const ADDR_PREFIX: &str = "admin/";

/// Timeout of a request to another entry, in milliseconds.
const ENTRY_TIMEOUT_MS: u64 = 1_000;

/// Delay before another attempt to publish the address of the administration server, in milliseconds.
const PUBLISH_RETRY_DELAY_MS: u64 = 5_000;

/// Identifier of an entry's VM and the address of the entry's administration server, which is `None` if no valid
/// address is published.
type EntryAddr = (VmId, Option<SocketAddr>);

/// Client that collects the measurements of other entries.
#[derive(Debug)]
pub(crate) struct FleetBurn {
    platform: Platform,
    /// List of entries that was read last. It is used while the platform is unavailable.
    last_entries: Mutex<Vec<EntryAddr>>,
}

impl FleetBurn {
    pub fn new(platform: Platform) -> Self {
        Self { platform, last_entries: Mutex::default() }
    }

    /// Publishes the address of this daemon's administration server. Retries without a limit while the platform is
    /// unavailable.
    pub async fn publish(platform: Platform, vm_id: VmId, addr: SocketAddr) {
        let key = format!("{ADDR_PREFIX}{vm_id}");
        let write = KvWrite { value: addr.to_string(), expect_revision: None, lease_id: None };
        while let Err(err) = platform.put(&key, &write).await {
            log::info!("admin: the address of the server is not published yet: {err}");
            tokio::time::sleep(Duration::from_millis(PUBLISH_RETRY_DELAY_MS)).await;
        }
    }

    /// Merges the measurements of this entry and of all other entries in the platform's list that answer within
    /// `ENTRY_TIMEOUT_MS`.
    ///
    /// `key` is the operator's key, which must be valid at each of these entries.
    pub async fn collect(&self, daemon: &impl Daemon, key: &str) -> FleetDigest {
        let own = daemon.vm_id();
        let (entries, is_list_known) = self.entries().await;
        let others = entries.into_iter().filter(|(id, _)| *id != own);
        let fetches = others.map(|(id, addr)| async move { (id, fetch_digest(addr, key).await) });
        let responses = join_all(fetches);
        let mut fleet = FleetDigest {
            unix_s: Clock::unix_ms() / 1_000,
            entries: vec![own],
            missing: Vec::new(),
            is_list_known,
            digest: daemon.burn_digest(),
        };
        for (id, digest) in responses.await {
            match digest {
                Some(digest) => {
                    fleet.digest.merge(&digest);
                    fleet.entries.push(id);
                }
                None => fleet.missing.push(id),
            }
        }
        fleet
    }

    /// Returns the entries in the platform's list and `true`, or the list that was read last and `false` if the
    /// platform cannot be read.
    async fn entries(&self) -> (Vec<EntryAddr>, bool) {
        let last_entries = || lock(&self.last_entries);
        match self.read_entries().await {
            Ok(entries) => {
                last_entries().clone_from(&entries);
                (entries, true)
            }
            Err(err) => {
                log::warn!("admin: cannot read the list of entries: {err}");
                (last_entries().clone(), false)
            }
        }
    }

    async fn read_entries(&self) -> Result<Vec<EntryAddr>, PlatformError> {
        let (vms, addrs) = join(self.platform.vms(), self.platform.list(ADDR_PREFIX)).await;
        let addrs: HashMap<String, SocketAddr> = addrs?
            .entries
            .into_iter()
            .filter_map(|item| Some((item.key, item.value.parse().ok()?)))
            .collect();
        let entries = vms?.vms.into_iter().filter(|vm| vm.role == VmRole::Entry);
        // An operator's key may only be sent to a VM in the platform's list, so an address with another IP is ignored.
        let entry_addr = |vm: wire::platform::Vm| {
            let addr = addrs.get(&format!("{ADDR_PREFIX}{}", vm.id)).copied();
            let addr = addr.filter(|addr| addr.ip() == vm.addr.ip());
            (vm.id, addr)
        };
        Ok(entries.map(entry_addr).collect())
    }
}

/// Fetches the measurements of the entry whose administration server is at `addr`. Returns `None` without an address,
/// or if the entry does not answer in time, refuses the request or sends an invalid response.
async fn fetch_digest(addr: Option<SocketAddr>, key: &str) -> Option<BurnDigest> {
    let client = Client::new(addr?, ENTRY_TIMEOUT_MS).with_bearer_key(key);
    let response = client.send(Method::GET, "/admin/v1/burn/local").await.ok()?;
    if response.status.is_success() { response.json().ok() } else { None }
}
