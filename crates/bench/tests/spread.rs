//! Guards against daemons that start without a configuration, revert to an older one, or stay separated after a network
//! partition.

use bench::cluster::{Cluster, Layout, program};
use stand::{PlatformFault, ProxyFault};
use std::{net::SocketAddr, time::Duration};
use web::{Client, Method};
use wire::platform::{KvWrite, VmState};

/// Time between two reads of a daemon's metrics.
const POLL_INTERVAL_MS: u64 = 50;

/// Timeout of a request to a daemon or to the platform.
const REPLY_TIMEOUT_MS: u64 = 5_000;

/// Time for which a test checks that no daemon reverts to an older configuration.
const OBSERVATION_MS: u64 = 2_000;

async fn start_cluster(has_network: bool) -> Cluster {
    let layout =
        Layout { engines_per_domain: 1, worker_threads: 1, has_network, ..Layout::default() };
    let cluster = Cluster::start(&program().unwrap(), layout).await.unwrap();
    for position in 0..cluster.entry_count() {
        wait_for_metric(cluster.entry_addr(position), "member_live", 2.0).await;
    }
    cluster
}

/// Returns the value of a metric without labels; `None` if the daemon does not answer or does not report the metric.
async fn read_metric(addr: SocketAddr, name: &str) -> Option<f64> {
    let reply = Client::new(addr, REPLY_TIMEOUT_MS).send(Method::GET, "/metrics").await.ok()?;
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    let line = text.lines().find_map(|line| line.strip_prefix(&format!("{name} ")))?;
    line.parse().ok()
}

/// Waits until a metric of the daemon at `addr` equals `value`.
async fn wait_for_metric(addr: SocketAddr, name: &str, value: f64) {
    while read_metric(addr, name).await != Some(value) {
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

/// Writes the configuration document with another rate limit and returns its revision.
async fn change_rate(cluster: &Cluster, rate: u32) -> f64 {
    let mut document = cluster.layout().document().unwrap();
    document.accounts[0].requests_per_s = rate;
    let value = document.encode().unwrap();
    let write = KvWrite { value, expect_revision: None, lease_id: None };
    let client = Client::new(cluster.platform_addr().unwrap(), REPLY_TIMEOUT_MS);
    let reply = client.send_json(Method::PUT, "/kv/config/current", &write).await.unwrap();
    reply.json::<wire::platform::KvWritten>().unwrap().revision as f64
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_starts_during_an_outage_gets_configuration_and_vm_list_from_its_peers() {
    let mut cluster = start_cluster(false).await;
    let revision = change_rate(&cluster, 7).await;
    for position in 0..cluster.entry_count() {
        wait_for_metric(cluster.entry_addr(position), "config_revision", revision).await;
    }
    let list_version = read_metric(cluster.entry_addr(1), "vm_list_version").await.unwrap();
    cluster.inject_platform_fault(PlatformFault::Down).await.unwrap();
    cluster.restart_entry(0).unwrap();
    wait_for_metric(cluster.entry_addr(0), "config_revision", revision).await;
    wait_for_metric(cluster.entry_addr(0), "vm_list_version", list_version).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_daemon_reverts_when_the_platform_returns_an_older_state() {
    let mut cluster = start_cluster(false).await;
    change_rate(&cluster, 7).await;
    let revision = change_rate(&cluster, 8).await;
    for position in 0..cluster.entry_count() {
        wait_for_metric(cluster.entry_addr(position), "config_revision", revision).await;
    }
    cluster.reset_platform().await.unwrap();
    // The restarted daemon has no configuration. It can read the older one from the platform and the newer one from its
    // peers.
    cluster.restart_entry(0).unwrap();
    wait_for_metric(cluster.entry_addr(0), "config_revision", revision).await;
    let polls = OBSERVATION_MS / POLL_INTERVAL_MS;
    for _ in 0..polls {
        for position in 0..cluster.entry_count() {
            let seen = read_metric(cluster.entry_addr(position), "config_revision").await;
            assert_eq!(seen, Some(revision));
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_partitioned_domain_catches_up_after_the_partition_heals() {
    let cluster = start_cluster(true).await;
    let domains = cluster.layout().domains.clone();
    let set_fault = |fault: ProxyFault| {
        cluster.network().inject_fault_to_platform(&domains[0], fault);
        cluster.network().inject_fault_between(&domains[0], &domains[1], fault);
        cluster.network().inject_fault_between(&domains[0], &domains[2], fault);
    };
    set_fault(ProxyFault::Refuse);
    set_fault(ProxyFault::Cut);
    wait_for_metric(cluster.entry_addr(0), "member_live", 0.0).await;
    wait_for_metric(cluster.entry_addr(1), "member_live", 1.0).await;
    let missed_revision = change_rate(&cluster, 7).await;
    wait_for_metric(cluster.entry_addr(1), "config_revision", missed_revision).await;
    wait_for_metric(cluster.entry_addr(2), "config_revision", missed_revision).await;
    assert!(read_metric(cluster.entry_addr(0), "config_revision").await < Some(missed_revision));
    set_fault(ProxyFault::Restore);
    for position in 0..cluster.entry_count() {
        wait_for_metric(cluster.entry_addr(position), "member_live", 2.0).await;
        wait_for_metric(cluster.entry_addr(position), "config_revision", missed_revision).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_daemon_is_removed_and_returns_with_a_higher_incarnation() {
    let cluster = start_cluster(false).await;
    let addr = cluster.entry_addr(0);
    let before = read_metric(addr, "member_incarnation").await.unwrap();
    cluster.entry(0).unwrap().freeze();
    wait_for_metric(cluster.entry_addr(1), "member_live", 1.0).await;
    wait_for_metric(cluster.entry_addr(2), "member_live", 1.0).await;
    cluster.entry(0).unwrap().thaw();
    for position in 0..cluster.entry_count() {
        wait_for_metric(cluster.entry_addr(position), "member_live", 2.0).await;
    }
    assert!(read_metric(addr, "member_incarnation").await > Some(before));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_vm_reaches_entries_that_cannot_reach_the_platform() {
    let cluster = start_cluster(true).await;
    let domain = cluster.layout().domains[0].clone();
    cluster.network().inject_fault_to_platform(&domain, ProxyFault::Refuse);
    cluster.network().inject_fault_to_platform(&domain, ProxyFault::Cut);
    // The list of VMs has not changed since the start. So if both daemons report the same newer version, they have the
    // change, which the daemon without the platform can only have from a peer.
    let before = read_metric(cluster.entry_addr(0), "vm_list_version").await.unwrap();
    cluster.set_vm_state(cluster.engine_id(1), Some(VmState::Leaving)).await.unwrap();
    loop {
        let seen = read_metric(cluster.entry_addr(0), "vm_list_version").await.unwrap();
        let other = read_metric(cluster.entry_addr(1), "vm_list_version").await.unwrap();
        if seen > before && seen == other {
            break;
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}
