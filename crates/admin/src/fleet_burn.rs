//! Measurements of the whole fleet.

use crate::daemon::Daemon;
use base::{Clock, HashMap, VmId, lock};
use burn::{BurnDigest, FleetDigest};
use futures::future::{join, join_all};
use plat::{Platform, PlatformError};
use std::{net::SocketAddr, sync::Mutex, time::Duration};
use web::{Client, Method};
use wire::platform::{KvWrite, VmRole};

/// Prefix of the keys that hold the addresses of administration servers.
const ADDR_PREFIX: &str = "admin/";

/// Longest wait for the measurements of another entry.
const ENTRY_WAIT_MS: u64 = 1_000;

/// Pause before the address is published again after a failure.
const PUBLISH_PAUSE_MS: u64 = 5_000;

/// Entry; its address is unknown if it serves no operators.
type Site = (VmId, Option<SocketAddr>);

/// Asks other entries for their measurements.
#[derive(Debug)]
pub(crate) struct FleetBurn {
    platform: Platform,
    /// Entries of the last list that was read, for outages of the platform.
    known: Mutex<Vec<Site>>,
}

impl FleetBurn {
    pub fn new(platform: Platform) -> Self {
        Self { platform, known: Mutex::default() }
    }

    /// Publishes the address of this daemon's server, however long the platform is down.
    pub async fn publish(platform: Platform, vm_id: VmId, addr: SocketAddr) {
        let key = format!("{ADDR_PREFIX}{vm_id}");
        let write = KvWrite { value: addr.to_string(), expect_revision: None, lease_id: None };
        while let Err(err) = platform.put(&key, &write).await {
            log::info!("admin: the address is not published yet: {err}");
            tokio::time::sleep(Duration::from_millis(PUBLISH_PAUSE_MS)).await;
        }
    }

    /// Merges the measurements of all live entries that answer within 1 s. `key` is the operator's, who must be known
    /// at each of them.
    pub async fn collect(&self, daemon: &impl Daemon, key: &str) -> FleetDigest {
        let own = daemon.vm_id();
        let (sites, is_list_known) = self.sites().await;
        let others = sites.into_iter().filter(|(id, _)| *id != own);
        let asked = join_all(others.map(|(id, addr)| async move { (id, ask(addr, key).await) }));
        let mut fleet = FleetDigest {
            unix_s: Clock::unix_ms() / 1_000,
            entries: vec![own],
            missing: Vec::new(),
            is_list_known,
            digest: daemon.burn_digest(),
        };
        for (id, digest) in asked.await {
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

    /// The live entries, and whether the list was read just now.
    async fn sites(&self) -> (Vec<Site>, bool) {
        let known = || lock(&self.known);
        match self.read_sites().await {
            Ok(sites) => {
                known().clone_from(&sites);
                (sites, true)
            }
            Err(err) => {
                log::warn!("admin: the list of entries cannot be read: {err}");
                (known().clone(), false)
            }
        }
    }

    async fn read_sites(&self) -> Result<Vec<Site>, PlatformError> {
        let (vms, addrs) = join(self.platform.vms(), self.platform.list(ADDR_PREFIX)).await;
        let addrs: HashMap<String, SocketAddr> = addrs?
            .entries
            .into_iter()
            .filter_map(|entry| Some((entry.key, entry.value.parse().ok()?)))
            .collect();
        let entries = vms?.vms.into_iter().filter(|vm| vm.role == VmRole::Entry);
        // The key of an operator is sent only to a VM of the platform's list.
        let site = |vm: wire::platform::Vm| {
            let addr = addrs.get(&format!("{ADDR_PREFIX}{}", vm.id)).copied();
            let addr = addr.filter(|addr| addr.ip() == vm.addr.ip());
            (vm.id, addr)
        };
        Ok(entries.map(site).collect())
    }
}

async fn ask(addr: Option<SocketAddr>, key: &str) -> Option<BurnDigest> {
    let client = Client::new(addr?, ENTRY_WAIT_MS).with_bearer_key(key);
    let reply = client.send(Method::GET, "/admin/v1/burn/local").await.ok()?;
    if reply.status.is_success() { reply.json().ok() } else { None }
}
