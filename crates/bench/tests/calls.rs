//! Guards against calls that are executed twice, `not_run` answers for executed calls, new calls to leaving upstreams,
//! and requests that a shutdown cuts off. Uses real processes.
//!
//! An entry is a daemon that serves callers. A leaving upstream is one that will be removed soon.

use bench::{
    caller::{CallOutcome, ServiceCall},
    cluster::{Cluster, Layout, program},
};
use stand::{Run, RunReport, ServiceFault, ServiceFaultKind};
use std::{net::SocketAddr, time::Duration};
use tokio::task::JoinHandle;

/// Plain service that the tests call.
const SERVICE: &str = "belfry-desk";

async fn start_cluster(service_instances: usize) -> Cluster {
    let layout = Layout {
        engines_per_domain: 0,
        services: vec![SERVICE.to_owned()],
        service_instances,
        ..Layout::default()
    };
    let cluster = Cluster::start(&program().unwrap(), layout).await.unwrap();
    // A ready entry has its configuration, but may not have read the list of VMs yet.
    for addr in cluster.entry_addrs() {
        let call = ServiceCall { method: "GET".to_owned(), ..new_call(None, "warm-up") };
        while !matches!(call.send(addr).await, CallOutcome::Answer(..)) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    cluster
}

fn new_call(key: Option<&str>, request_id: &str) -> ServiceCall {
    ServiceCall {
        bearer_key: Layout::KEY.to_owned(),
        method: "POST".to_owned(),
        path: format!("/services/{SERVICE}/bookings?tower=st-giles"),
        idempotency_key: key.map(str::to_owned),
        request_id: request_id.to_owned(),
        body: "{}".to_owned(),
    }
}

fn spawn_send(call: ServiceCall, addr: SocketAddr) -> JoinHandle<CallOutcome> {
    tokio::spawn(async move { call.send(addr).await })
}

/// Describes the answers of the platform to a read of the key at `path` and of the list of VMs, and whether the instances
/// of the service answer.
async fn describe_platform(cluster: &Cluster, path: &str) -> String {
    let client = web::Client::new(cluster.platform_addr().unwrap(), 2_000);
    let claim = client.send(web::Method::GET, path).await;
    let vms = client.send(web::Method::GET, "/vms").await;
    let mut instances = Vec::new();
    for position in 0..cluster.service_count() {
        let client = web::Client::new(cluster.service_addr(position), 2_000);
        instances
            .push(client.send(web::Method::GET, "/control/runs").await.map(|reply| reply.status));
    }
    format!("claim: {claim:?}; VMs: {vms:?}; instances: {instances:?}")
}

/// Injects a fault into the next request of each instance.
async fn set_fault_everywhere(cluster: &Cluster, kind: ServiceFaultKind, wait_ms: u64) {
    for position in 0..cluster.service_count() {
        let fault = ServiceFault { kind, count: 1, wait_ms };
        cluster.inject_service_fault(position, fault).await.unwrap();
    }
}

/// Returns the execution that an answered call reports in its body.
fn run_of(outcome: &CallOutcome) -> Run {
    match outcome {
        CallOutcome::Answer(200, body) => serde_json::from_slice(body).unwrap(),
        other => panic!("the call has no answer with status 200, its outcome is {other:?}"),
    }
}

/// Returns the number of executions with an idempotency key.
fn runs_of_key(report: &RunReport, key: &str) -> u64 {
    report.by_key.get(&format!("{SERVICE}/{key}")).copied().unwrap_or(0)
}

/// Guards against two entries that both have an upstream execute a call with the same idempotency key.
#[tokio::test(flavor = "multi_thread")]
async fn the_same_key_at_two_entries_at_once_runs_once() {
    let cluster = start_cluster(2).await;
    let addrs = cluster.entry_addrs();
    set_fault_everywhere(&cluster, ServiceFaultKind::AnswerLate, 200).await;
    let send_tasks: Vec<_> = (0..6)
        .map(|number| {
            spawn_send(new_call(Some("twin"), &format!("twin-{number}")), addrs[number % 3])
        })
        .collect();
    let mut runs = Vec::new();
    for send_task in send_tasks {
        runs.push(run_of(&send_task.await.unwrap()));
    }
    assert!(runs.iter().all(|run| *run == runs[0]), "{runs:?}");
    assert_eq!(runs_of_key(&cluster.runs().unwrap(), "twin"), 1);
    let other = ServiceCall { body: "other".to_owned(), ..new_call(Some("twin"), "other") };
    let refused = CallOutcome::Refused(422, "idempotency_key_reused".to_owned());
    assert_eq!(other.send(addrs[0]).await, refused);
}

/// Guards against API keys that leak to an upstream, and against lost paths, idempotency keys and request IDs.
#[tokio::test(flavor = "multi_thread")]
async fn headers_pass_without_the_bearer_key() {
    let cluster = start_cluster(1).await;
    let run = run_of(&new_call(Some("headers"), "id-1").send(cluster.entry_addrs()[0]).await);
    assert_eq!(run.path, "/bookings?tower=st-giles");
    assert_eq!((run.key.as_str(), run.request_id.as_str()), ("headers", "id-1"));
    assert!(!run.header_names.contains(&"authorization".to_owned()), "{run:?}");
}

/// Guards against a second execution after an entry was killed between its claim of the idempotency key and the answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_entry_died_is_not_run_again() {
    let mut cluster = start_cluster(1).await;
    let addrs = cluster.entry_addrs();
    set_fault_everywhere(&cluster, ServiceFaultKind::AnswerLate, 1_500).await;
    let first = spawn_send(new_call(Some("orphan"), "orphan-1"), addrs[0]);
    while runs_of_key(&cluster.runs().unwrap(), "orphan") == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    cluster.kill_entry(0);
    assert_eq!(first.await.unwrap(), CallOutcome::CutOff);
    for number in 0..2 {
        let again = new_call(Some("orphan"), &format!("orphan-again-{number}"));
        assert_eq!(again.send(addrs[1 + number]).await, CallOutcome::Unknown);
    }
    assert_eq!(runs_of_key(&cluster.runs().unwrap(), "orphan"), 1);
}

/// Guards against a retry at another upstream after the first one executed the call but failed before its answer, with
/// and without an idempotency key.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_fails_after_the_effect_gives_an_unknown_outcome() {
    let mut cluster = start_cluster(2).await;
    let addr = cluster.entry_addrs()[0];
    for (number, kind) in
        [ServiceFaultKind::CloseAfterRun, ServiceFaultKind::Crossed, ServiceFaultKind::DieAfterRun]
            .into_iter()
            .enumerate()
    {
        set_fault_everywhere(&cluster, kind, 0).await;
        let key = format!("effect-{number}");
        let first = new_call(Some(&key), &format!("{key}-1"));
        assert_eq!(first.send(addr).await, CallOutcome::Unknown, "{kind:?}");
        let again = new_call(Some(&key), &format!("{key}-2"));
        assert_eq!(again.send(addr).await, CallOutcome::Unknown, "{kind:?}");
        assert_eq!(runs_of_key(&cluster.runs().unwrap(), &key), 1, "{kind:?}");
    }
    for position in 0..cluster.service_count() {
        cluster.restart_service(position, false).unwrap();
    }
    set_fault_everywhere(&cluster, ServiceFaultKind::CloseAfterRun, 0).await;
    assert_eq!(new_call(None, "plain").send(addr).await, CallOutcome::Unknown);
    assert_eq!(cluster.runs().unwrap().by_request_id["plain"], 1);
}

/// Guards against a `not_run` answer for a call that the upstream executes after the entry's timeout.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_runs_late_gives_an_unknown_outcome() {
    let cluster = start_cluster(1).await;
    set_fault_everywhere(&cluster, ServiceFaultKind::RunLate, 2_500).await;
    let late = new_call(None, "late");
    assert_eq!(late.send(cluster.entry_addrs()[0]).await, CallOutcome::Unknown);
    while !cluster.runs().unwrap().by_request_id.contains_key("late") {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against an idempotent call that fails although another upstream is available.
#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_call_is_retried_at_another_upstream() {
    let cluster = start_cluster(3).await;
    let fault = ServiceFault { kind: ServiceFaultKind::CloseAfterRun, count: 1, wait_ms: 0 };
    for position in 0..2 {
        cluster.inject_service_fault(position, fault).await.unwrap();
    }
    let get = ServiceCall { method: "GET".to_owned(), ..new_call(None, "get") };
    assert!(matches!(get.send(cluster.entry_addrs()[0]).await, CallOutcome::Answer(200, _)));
}

/// Guards against a `not_run` answer for a call that is executed later, and against refusals of calls that need no
/// claim of an idempotency key.
#[tokio::test(flavor = "multi_thread")]
async fn without_the_platform_keyed_calls_are_refused_and_others_served() {
    let cluster = start_cluster(1).await;
    let addr = cluster.entry_addrs()[0];
    cluster.platform().freeze();
    assert_eq!(new_call(Some("outage"), "outage-1").send(addr).await, CallOutcome::NotRun);
    assert!(matches!(new_call(None, "outage-2").send(addr).await, CallOutcome::Answer(200, _)));
    let get = ServiceCall { method: "GET".to_owned(), ..new_call(None, "outage-3") };
    assert!(matches!(get.send(addr).await, CallOutcome::Answer(200, _)));
    // The platform now applies the writes that it received while frozen, among them the claim of the refused call. The
    // call must still not be executed.
    cluster.platform().thaw();
    let mut attempts = 0;
    let mut outcomes = Vec::new();
    let run = loop {
        attempts += 1;
        let again = new_call(Some("outage"), &format!("outage-again-{attempts}"));
        match again.send(addr).await {
            outcome @ CallOutcome::Answer(..) => break run_of(&outcome),
            outcome @ (CallOutcome::Unknown | CallOutcome::NotRun) if attempts < 200 => {
                outcomes.push(outcome);
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            other => {
                let platform = describe_platform(&cluster, "/kv/calls/bench/outage").await;
                outcomes.dedup();
                panic!(
                    "the abandoned claim was not released, the call's outcome is {other:?} after \
                     {outcomes:?}; {platform}"
                )
            }
        }
    };
    let report = cluster.runs().unwrap();
    assert!(!report.by_request_id.contains_key("outage-1"));
    assert_eq!(run.request_id, format!("outage-again-{attempts}"));
    assert_eq!(runs_of_key(&report, "outage"), 1);
}

/// Guards against new calls to a leaving upstream. Either the headers of its responses announce that it is leaving
/// while the platform's list of VMs still shows it as live, or only that list shows it as leaving.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_upstream_gets_no_new_work() {
    for is_announced in [true, false] {
        let mut cluster = start_cluster(2).await;
        let addr = cluster.entry_addrs()[0];
        cluster.mark_service_leaving(0, is_announced).await.unwrap();
        let upstream_addr = cluster.service_addr(0);
        let client = web::Client::new(upstream_addr, 2_000);
        let runs = || async {
            let reply = client.send(web::Method::GET, "/control/runs").await.unwrap();
            reply.json::<RunReport>().unwrap().total
        };
        // The entry learns that the upstream is leaving from its next response, or when it polls the list. Until then
        // it may still send some calls.
        for round in 0.. {
            let before = runs().await;
            for number in 0..40 {
                let outcome = new_call(None, &format!("{round}-{number}")).send(addr).await;
                assert!(matches!(outcome, CallOutcome::Answer(200, _)), "{outcome:?}");
            }
            if runs().await == before {
                break;
            }
            assert!(round < 50, "the upstream still gets calls; is_announced is {is_announced}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

/// Guards against a shutdown that cuts off requests in flight.
#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_finishes_the_requests_in_flight() {
    let mut cluster = start_cluster(1).await;
    let addr = cluster.entry_addrs()[0];
    let fault = ServiceFault { kind: ServiceFaultKind::AnswerLate, count: 8, wait_ms: 1_000 };
    cluster.inject_service_fault(0, fault).await.unwrap();
    let send_tasks: Vec<_> =
        (0..8).map(|n| spawn_send(new_call(None, &format!("slow-{n}")), addr)).collect();
    while !(0..8).all(|n| cluster.runs().unwrap().by_request_id.contains_key(&format!("slow-{n}")))
    {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let process = cluster.terminate_entry(0).unwrap();
    for send_task in send_tasks {
        assert!(matches!(send_task.await.unwrap(), CallOutcome::Answer(200, _)));
    }
    assert!(tokio::task::spawn_blocking(|| process.wait()).await.unwrap().unwrap());
    assert_eq!(new_call(None, "closed").send(addr).await, CallOutcome::NotConnected);
}
