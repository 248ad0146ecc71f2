//! Guards against daemons that start without a configuration, go back to an older one, or stay apart after a partition.

use bench::cluster::{Cluster, Layout, program};
use stand::{PlatformFault, ProxyFault};
use std::{net::SocketAddr, time::Duration};
use web::{Client, Method};
use wire::platform::{KvWrite, VmState};

/// Pause between two looks at a daemon.
const LOOK_PAUSE_MS: u64 = 50;

/// Longest wait for a short answer.
const REPLY_WAIT_MS: u64 = 5_000;

/// Time for which something that must not happen is looked for.
const WATCH_MS: u64 = 2_000;

async fn start(has_network: bool) -> Cluster {
    let layout =
        Layout { engines_per_domain: 1, worker_threads: 1, has_network, ..Layout::default() };
    let cluster = Cluster::start(&program().unwrap(), layout).await.unwrap();
    for position in 0..cluster.entry_count() {
        wait(cluster.entry_addr(position), "member_live", 2.0).await;
    }
    cluster
}

async fn metric(addr: SocketAddr, name: &str) -> Option<f64> {
    let reply = Client::new(addr, REPLY_WAIT_MS).send(Method::GET, "/metrics").await.ok()?;
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    let line = text.lines().find_map(|line| line.strip_prefix(&format!("{name} ")))?;
    line.parse().ok()
}

/// Waits until a metric has a value.
async fn wait(addr: SocketAddr, name: &str, value: f64) {
    while metric(addr, name).await != Some(value) {
        tokio::time::sleep(Duration::from_millis(LOOK_PAUSE_MS)).await;
    }
}

/// Writes the document with another rate; its revision.
async fn change(cluster: &Cluster, rate: u32) -> f64 {
    let mut document = cluster.layout().document().unwrap();
    document.accounts[0].requests_per_s = rate;
    let value = document.encode().unwrap();
    let write = KvWrite { value, expect_revision: None, lease_id: None };
    let client = Client::new(cluster.platform_addr().unwrap(), REPLY_WAIT_MS);
    let reply = client.send_json(Method::PUT, "/kv/config/current", &write).await.unwrap();
    reply.json::<wire::platform::KvWritten>().unwrap().revision as f64
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_starts_during_an_outage_takes_everything_from_its_peers() {
    let mut cluster = start(false).await;
    let revision = change(&cluster, 7).await;
    for position in 0..cluster.entry_count() {
        wait(cluster.entry_addr(position), "config_revision", revision).await;
    }
    let list = metric(cluster.entry_addr(1), "vm_list_version").await.unwrap();
    cluster.platform_fault(PlatformFault::Down).await.unwrap();
    cluster.restart_entry(0).unwrap();
    wait(cluster.entry_addr(0), "config_revision", revision).await;
    wait(cluster.entry_addr(0), "vm_list_version", list).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_daemon_goes_back_when_the_platform_answers_with_an_older_state() {
    let mut cluster = start(false).await;
    change(&cluster, 7).await;
    let revision = change(&cluster, 8).await;
    for position in 0..cluster.entry_count() {
        wait(cluster.entry_addr(position), "config_revision", revision).await;
    }
    cluster.reset_platform().await.unwrap();
    // This one holds nothing, and both the older state and its peers are in reach.
    cluster.restart_entry(0).unwrap();
    wait(cluster.entry_addr(0), "config_revision", revision).await;
    let looks = WATCH_MS / LOOK_PAUSE_MS;
    for _ in 0..looks {
        for position in 0..cluster.entry_count() {
            let seen = metric(cluster.entry_addr(position), "config_revision").await;
            assert_eq!(seen, Some(revision));
        }
        tokio::time::sleep(Duration::from_millis(LOOK_PAUSE_MS)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_partition_heals_and_the_cut_domain_learns_what_it_missed() {
    let cluster = start(true).await;
    let domains = cluster.layout().domains.clone();
    let set = |fault: ProxyFault| {
        cluster.network().fault_platform(&domains[0], fault);
        cluster.network().fault_between(&domains[0], &domains[1], fault);
        cluster.network().fault_between(&domains[0], &domains[2], fault);
    };
    set(ProxyFault::Refuse);
    set(ProxyFault::Cut);
    wait(cluster.entry_addr(0), "member_live", 0.0).await;
    wait(cluster.entry_addr(1), "member_live", 1.0).await;
    let missed = change(&cluster, 7).await;
    wait(cluster.entry_addr(1), "config_revision", missed).await;
    wait(cluster.entry_addr(2), "config_revision", missed).await;
    assert!(metric(cluster.entry_addr(0), "config_revision").await < Some(missed));
    set(ProxyFault::Restore);
    for position in 0..cluster.entry_count() {
        wait(cluster.entry_addr(position), "member_live", 2.0).await;
        wait(cluster.entry_addr(position), "config_revision", missed).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_daemon_is_removed_and_returns_with_a_higher_incarnation() {
    let cluster = start(false).await;
    let addr = cluster.entry_addr(0);
    let before = metric(addr, "member_incarnation").await.unwrap();
    cluster.entry(0).unwrap().freeze();
    wait(cluster.entry_addr(1), "member_live", 1.0).await;
    wait(cluster.entry_addr(2), "member_live", 1.0).await;
    cluster.entry(0).unwrap().thaw();
    for position in 0..cluster.entry_count() {
        wait(cluster.entry_addr(position), "member_live", 2.0).await;
    }
    assert!(metric(addr, "member_incarnation").await > Some(before));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_vm_reaches_entries_that_cannot_reach_the_platform() {
    let cluster = start(true).await;
    let domain = cluster.layout().domains[0].clone();
    cluster.network().fault_platform(&domain, ProxyFault::Refuse);
    cluster.network().fault_platform(&domain, ProxyFault::Cut);
    // The list has not changed since the start, so a newer version that two entries agree on shows the change.
    let before = metric(cluster.entry_addr(0), "vm_list_version").await.unwrap();
    cluster.set_vm_state(cluster.engine_id(1), Some(VmState::Leaving)).await.unwrap();
    loop {
        let seen = metric(cluster.entry_addr(0), "vm_list_version").await.unwrap();
        let other = metric(cluster.entry_addr(1), "vm_list_version").await.unwrap();
        if seen > before && seen == other {
            break;
        }
        tokio::time::sleep(Duration::from_millis(LOOK_PAUSE_MS)).await;
    }
}
