//! Guards against two daemons that both send orders to engines, answers that mix versions during a roll-out, and orders
//! that do not resume after an outage of the platform. Uses real processes.
//!
//! Only the lease holder, the daemon that holds the platform's lease for orders of a service, may send them.

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

/// Time within which `poll_until_some` must succeed. It only bounds a test that would hang.
const POLL_TIMEOUT_MS: u64 = 60_000;

/// Number of versions that a test loads until an engine has refused a request.
const MAX_VERSIONS: u64 = 10;

async fn start_cluster(fencing: &str) -> Cluster {
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

fn run_ctl(cluster: &Cluster, entry: usize, args: &[&str]) -> CtlOutcome {
    let server = cluster.admin_addrs().unwrap()[entry];
    CtlOutcome::run(&program().unwrap(), server, Layout::OPERATOR_KEY, args).unwrap()
}

/// Creates a plan from `intent`, the text of a change, at an entry and confirms the plan there.
fn apply_change(cluster: &Cluster, entry: usize, intent: &str) {
    let mut args = vec!["plan", "--json"];
    args.extend(intent.split(' '));
    let planned = run_ctl(cluster, entry, &args);
    assert_eq!(planned.code, 0, "{}", planned.stderr);
    let planned: Value = serde_json::from_str(&planned.stdout).unwrap();
    let confirmed = run_ctl(cluster, entry, &["confirm", planned["plan"]["id"].as_str().unwrap()]);
    assert_eq!(confirmed.code, 0, "{}", confirmed.stderr);
}

/// Calls `poll` every 50 ms until it returns a value.
async fn poll_until_some<T, F: Future<Output = Option<T>>>(mut poll: impl FnMut() -> F) -> T {
    let polls = async {
        loop {
            if let Some(value) = poll().await {
                return value;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(Duration::from_millis(POLL_TIMEOUT_MS), polls)
        .await
        .expect("the polled state is reached in time")
}

/// Returns the record of the lease holder; `None` if there is none or the platform does not answer.
async fn read_holder(cluster: &Cluster) -> Option<HolderRecord> {
    let client = Client::new(cluster.platform_addr().unwrap(), 2_000);
    let reply = client.send(Method::GET, "/kv/orders/composer/holder").await.ok()?;
    let entry: KvEntry = reply.json().ok()?;
    serde_json::from_str(&entry.value).ok()
}

/// Returns `Some` once the lease holder has chosen versions for new generations, which it does in the first of its
/// regular rounds.
async fn has_serving_versions(cluster: &Cluster) -> Option<()> {
    let client = Client::new(cluster.platform_addr().unwrap(), 2_000);
    let reply = client.send(Method::GET, "/kv/serving/composer").await.ok()?;
    reply.status.is_success().then_some(())
}

/// Returns `Some` if every engine has loaded a version.
async fn all_have_loaded(cluster: &Cluster, version: &str) -> Option<()> {
    for engine in 0..cluster.engine_count() {
        let loaded = cluster.engine_state(engine).await.ok()?.loaded?;
        loaded.iter().find(|loaded| loaded.version == version)?;
    }
    Some(())
}

fn generation_request(max_tokens: u32) -> GenerationRequest {
    GenerationRequest {
        model: Layout::MODEL.to_owned(),
        prompt: "a peal plan".to_owned(),
        max_tokens,
    }
}

/// Sends requests to an entry until an answer comes from `version`. Asserts that each answer is complete.
async fn ask_until_version(cluster: &Cluster, entry: usize, version: &str) {
    let addr = cluster.entry_addr(entry);
    poll_until_some(|| async move {
        let answer = Caller::new(Layout::KEY).ask(addr, &generation_request(3)).await;
        assert_complete(&answer);
        (answer.version == version).then_some(())
    })
    .await;
}

fn assert_complete(answer: &Answer) {
    assert_eq!(answer.end, AnswerEnd::Done);
    assert!(answer.is_whole(Layout::MODEL, "", "a peal plan"), "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_stay_complete_and_on_one_version_during_a_roll_out() {
    let cluster = start_cluster("reject").await;
    poll_until_some(|| has_serving_versions(&cluster)).await;
    let addrs = cluster.entry_addrs();
    let long_answers: Vec<_> = (0..12)
        .map(|number| {
            let addr = addrs[number % addrs.len()];
            tokio::spawn(async move {
                Caller::new(Layout::KEY).ask(addr, &generation_request(150)).await
            })
        })
        .collect();
    apply_change(&cluster, 0, "create version composer v2");
    for entry in 0..addrs.len() {
        ask_until_version(&cluster, entry, "v2").await;
    }
    let mut versions = Vec::new();
    for answer_task in long_answers {
        let answer = answer_task.await.unwrap();
        assert_complete(&answer);
        versions.push(answer.version);
    }
    assert!(versions.iter().any(|version| version == "v1"), "{versions:?}");
    poll_until_some(|| all_have_loaded(&cluster, "v2")).await;
    // The lease holder does not know to which versions generations at other entries are pinned, so it keeps v1 loaded.
    assert!(all_have_loaded(&cluster, "v1").await.is_some());
}

/// Asserts that another daemon takes the lease when the lease holder is frozen, and applies a change, and that engines
/// get no stale or unauthenticated order after the first lease holder resumes. `fencing` is the policy of the engines.
async fn assert_frozen_holder_is_replaced(fencing: &str) {
    let cluster = start_cluster(fencing).await;
    poll_until_some(|| has_serving_versions(&cluster)).await;
    let first = poll_until_some(|| read_holder(&cluster)).await;
    let position = cluster.entry_position(first.vm_id.as_str()).unwrap();
    cluster.entry(position).unwrap().freeze();
    let other = (position + 1) % cluster.entry_count();
    apply_change(&cluster, other, "create version composer v2");
    poll_until_some(|| all_have_loaded(&cluster, "v2")).await;
    let second = poll_until_some(|| read_holder(&cluster)).await;
    assert!(second.vm_id != first.vm_id && second.lease_id > first.lease_id);
    cluster.entry(position).unwrap().thaw();
    ask_until_version(&cluster, position, "v2").await;
    assert!(all_have_loaded(&cluster, "v2").await.is_some());
    for counters in cluster.engine_counters().await.unwrap() {
        assert_eq!(counters.stale_orders, 0);
        assert_eq!(counters.unauthenticated_orders, 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_lease_holder_sends_no_order_after_it_resumes_if_engines_ignore_the_token() {
    assert_frozen_holder_is_replaced("ignore").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_lease_holder_sends_no_order_after_it_resumes_if_engines_check_the_token() {
    assert_frozen_holder_is_replaced("reject").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_resume_after_an_outage_of_the_platform() {
    let cluster = start_cluster("reject").await;
    poll_until_some(|| has_serving_versions(&cluster)).await;
    let before = poll_until_some(|| read_holder(&cluster)).await;
    cluster.inject_platform_fault(PlatformFault::Down).await.unwrap();
    // The outage is longer than the lease, so the lease holder loses its lease and stops sending orders.
    tokio::time::sleep(Duration::from_millis(4_000)).await;
    let answer = Caller::new(Layout::KEY).ask(cluster.entry_addr(0), &generation_request(20)).await;
    assert_complete(&answer);
    cluster.inject_platform_fault(PlatformFault::Restore).await.unwrap();
    let after = poll_until_some(|| read_holder(&cluster)).await;
    assert!(after.lease_id > before.lease_id);
    apply_change(&cluster, 1, "create version composer v2");
    poll_until_some(|| all_have_loaded(&cluster, "v2")).await;
    ask_until_version(&cluster, 2, "v2").await;
}

/// Makes the last engine load a version that the others lack, makes this version the newest of the model, and requests
/// answers from it. Each of them may first be sent to an engine that lacks the version.
async fn ask_for_version_at_last_engine(cluster: &Cluster, fencing_token: u64, version: &str) {
    let loaded = LoadedVersion {
        model: Layout::MODEL.to_owned(),
        version: version.to_owned(),
        adapters: Vec::new(),
    };
    let order = EngineOrder { fencing_token, actions: vec![OrderAction::Load(loaded)] };
    let engine = Client::new(cluster.engine_addr(cluster.engine_count() - 1), 2_000);
    assert!(engine.send_json(Method::POST, "/orders", &order).await.unwrap().status.is_success());
    apply_change(cluster, 0, &format!("create version composer {version}"));
    for entry in 0..cluster.entry_count() {
        ask_until_version(cluster, entry, version).await;
    }
    for number in 0..12 {
        let addr = cluster.entry_addr(number % cluster.entry_count());
        let answer = Caller::new(Layout::KEY).ask(addr, &generation_request(3)).await;
        assert_complete(&answer);
        assert_eq!(answer.version, version);
    }
}

/// Guards against an answer that fails because its first engine lacks the version.
///
/// An entry sends no request to such an engine if it has read the engine's versions since the last engine loaded the new
/// one. It reads them at its start and then every 30 s, so a further version is loaded until an engine has refused a
/// request.
#[tokio::test(flavor = "multi_thread")]
async fn a_generation_is_retried_at_another_engine_if_the_first_lacks_the_version() {
    let layout = Layout { engines_per_domain: 1, token_gap_ms: 5, ..Layout::default() };
    let cluster = Cluster::start(&program().unwrap(), layout).await.unwrap();
    for number in 1..=MAX_VERSIONS {
        ask_for_version_at_last_engine(&cluster, number, &format!("v{}", number + 1)).await;
        let counters = cluster.engine_counters().await.unwrap();
        if counters[0].refused + counters[1].refused > 0 {
            return;
        }
    }
    panic!("no request was sent to an engine that lacks its version");
}
