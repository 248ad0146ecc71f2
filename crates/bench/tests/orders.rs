//! Guards against two holders of orders, versions that are mixed in a roll-out, and orders that stop for good after an
//! outage, with real processes.

use bench::{
    caller::{Answer, AnswerEnd, Caller, GenerationRequest},
    cluster::{Cluster, CtlOutcome, Layout, program},
};
use orders::HolderRecord;
use serde_json::Value;
use stand::PlatformFault;
use std::time::Duration;
use web::{Client, Method};
use wire::{
    engine::{EngineOrder, LoadedVersion, OrderAction},
    platform::KvEntry,
};

/// Time after which a wait is given up; it only ends a test that hangs.
const WAIT_MS: u64 = 60_000;

async fn cluster(fencing: &str) -> Cluster {
    let orders = "lease_ms = 3000\ninterval_ms = 200\nload_interval_ms = 50\n\
                  order_timeout_ms = 500\nmax_loads = 1\nsender_key = \"sender\"";
    let layout = Layout {
        engines_per_domain: 1,
        token_gap_ms: 20,
        orders: Some(orders.to_owned()),
        has_weight_store: true,
        engine_args: ["--fencing", fencing, "--order-key", "sender"].map(str::to_owned).to_vec(),
        ..Layout::default()
    };
    Cluster::start(&program().unwrap(), layout).await.unwrap()
}

fn ctl(cluster: &Cluster, entry: usize, args: &[&str]) -> CtlOutcome {
    let server = cluster.admin_addrs().unwrap()[entry];
    CtlOutcome::run(&program().unwrap(), server, Layout::OPERATOR_KEY, args).unwrap()
}

/// Plans and confirms an intent at an entry.
fn change(cluster: &Cluster, entry: usize, intent: &str) {
    let mut args = vec!["plan", "--json"];
    args.extend(intent.split(' '));
    let planned = ctl(cluster, entry, &args);
    assert_eq!(planned.code, 0, "{}", planned.stderr);
    let planned: Value = serde_json::from_str(&planned.stdout).unwrap();
    let confirmed = ctl(cluster, entry, &["confirm", planned["plan"]["id"].as_str().unwrap()]);
    assert_eq!(confirmed.code, 0, "{}", confirmed.stderr);
}

/// Repeats a look until it gives a value.
async fn until<T, F: Future<Output = Option<T>>>(mut look: impl FnMut() -> F) -> T {
    let looks = async {
        loop {
            if let Some(value) = look().await {
                return value;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(Duration::from_millis(WAIT_MS), looks).await.expect("nothing happened")
}

async fn holder(cluster: &Cluster) -> Option<HolderRecord> {
    let client = Client::new(cluster.platform_addr().unwrap(), 2_000);
    let reply = client.send(Method::GET, "/kv/orders/composer/holder").await.ok()?;
    let entry: KvEntry = reply.json().ok()?;
    serde_json::from_str(&entry.value).ok()
}

/// Whether the holder has chosen versions for new generations, which it does in its first round.
async fn has_served(cluster: &Cluster) -> Option<()> {
    let client = Client::new(cluster.platform_addr().unwrap(), 2_000);
    let reply = client.send(Method::GET, "/kv/serving/composer").await.ok()?;
    reply.status.is_success().then_some(())
}

/// Whether every engine has a version loaded.
async fn all_have(cluster: &Cluster, version: &str) -> Option<()> {
    for engine in 0..cluster.engine_count() {
        let loaded = cluster.engine_state(engine).await.ok()?.loaded?;
        loaded.iter().find(|loaded| loaded.version == version)?;
    }
    Some(())
}

fn question(max_tokens: u32) -> GenerationRequest {
    GenerationRequest {
        model: Layout::MODEL.to_owned(),
        prompt: "a peal plan".to_owned(),
        max_tokens,
    }
}

/// Asks at an entry until the answer has a version; each answer must be whole.
async fn ask_until_version(cluster: &Cluster, entry: usize, version: &str) {
    let addr = cluster.entry_addr(entry);
    until(|| async move {
        let answer = Caller::new(Layout::KEY).ask(addr, &question(3)).await;
        assert_whole(&answer);
        (answer.version == version).then_some(())
    })
    .await;
}

fn assert_whole(answer: &Answer) {
    assert_eq!(answer.end, AnswerEnd::Done);
    assert!(answer.is_whole(Layout::MODEL, "", "a peal plan"), "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_stay_whole_and_on_one_version_while_a_version_is_rolled_out() {
    let cluster = cluster("reject").await;
    until(|| has_served(&cluster)).await;
    let addrs = cluster.entry_addrs();
    let long: Vec<_> = (0..12)
        .map(|number| {
            let addr = addrs[number % addrs.len()];
            tokio::spawn(async move { Caller::new(Layout::KEY).ask(addr, &question(150)).await })
        })
        .collect();
    change(&cluster, 0, "create version composer v2");
    for entry in 0..addrs.len() {
        ask_until_version(&cluster, entry, "v2").await;
    }
    let mut versions = Vec::new();
    for asking in long {
        let answer = asking.await.unwrap();
        assert_whole(&answer);
        versions.push(answer.version);
    }
    assert!(versions.iter().any(|version| version == "v1"), "{versions:?}");
    until(|| all_have(&cluster, "v2")).await;
    // Pins of the other entries are unknown, so the old version stays.
    assert!(all_have(&cluster, "v1").await.is_some());
}

async fn a_frozen_holder_is_replaced(fencing: &str) {
    let cluster = cluster(fencing).await;
    until(|| has_served(&cluster)).await;
    let first = until(|| holder(&cluster)).await;
    let position = cluster.entry_position(first.vm_id.as_str()).unwrap();
    cluster.entry(position).unwrap().freeze();
    let other = (position + 1) % cluster.entry_count();
    change(&cluster, other, "create version composer v2");
    until(|| all_have(&cluster, "v2")).await;
    let second = until(|| holder(&cluster)).await;
    assert!(second.vm_id != first.vm_id && second.lease_id > first.lease_id);
    cluster.entry(position).unwrap().thaw();
    ask_until_version(&cluster, position, "v2").await;
    assert!(all_have(&cluster, "v2").await.is_some());
    for counters in cluster.engine_counters().await.unwrap() {
        assert_eq!(counters.stale_orders, 0);
        assert_eq!(counters.unauthenticated_orders, 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_holder_sends_no_order_after_it_wakes_where_engines_ignore_the_token() {
    a_frozen_holder_is_replaced("ignore").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_holder_sends_no_order_after_it_wakes_where_engines_check_the_token() {
    a_frozen_holder_is_replaced("reject").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_go_on_after_an_outage_of_the_platform() {
    let cluster = cluster("reject").await;
    until(|| has_served(&cluster)).await;
    let before = until(|| holder(&cluster)).await;
    cluster.platform_fault(PlatformFault::Down).await.unwrap();
    // Longer than the lease, so that the holder has given up when the platform is back.
    tokio::time::sleep(Duration::from_millis(4_000)).await;
    let answer = Caller::new(Layout::KEY).ask(cluster.entry_addr(0), &question(20)).await;
    assert_whole(&answer);
    cluster.platform_fault(PlatformFault::Restore).await.unwrap();
    let after = until(|| holder(&cluster)).await;
    assert!(after.lease_id > before.lease_id);
    change(&cluster, 1, "create version composer v2");
    until(|| all_have(&cluster, "v2")).await;
    ask_until_version(&cluster, 2, "v2").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_an_engine_does_not_have_is_tried_at_another_engine() {
    let layout = Layout { engines_per_domain: 1, token_gap_ms: 5, ..Layout::default() };
    let cluster = Cluster::start(&program().unwrap(), layout).await.unwrap();
    let v2 = LoadedVersion {
        model: Layout::MODEL.to_owned(),
        version: "v2".to_owned(),
        adapters: Vec::new(),
    };
    let order = EngineOrder { fencing_token: 1, actions: vec![OrderAction::Load(v2)] };
    let engine = Client::new(cluster.engine_addr(2), 2_000);
    assert!(engine.send_json(Method::POST, "/orders", &order).await.unwrap().status.is_success());
    change(&cluster, 0, "create version composer v2");
    for entry in 0..cluster.entry_count() {
        ask_until_version(&cluster, entry, "v2").await;
    }
    // Each of these may be sent to an engine without the version first.
    for number in 0..12 {
        let addr = cluster.entry_addr(number % cluster.entry_count());
        let answer = Caller::new(Layout::KEY).ask(addr, &question(3)).await;
        assert_whole(&answer);
        assert_eq!(answer.version, "v2");
    }
    let counters = cluster.engine_counters().await.unwrap();
    assert!(counters[0].refused + counters[1].refused > 0);
}
