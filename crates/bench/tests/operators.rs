//! Guards against answers to operators that contradict the configuration that daemons apply.

use bench::{
    caller::{AnswerEnd, Caller, GenerationRequest},
    cluster::{Cluster, CtlOutcome, Layout, program},
};
use serde_json::Value;
use stand::PlatformFault;
use std::time::Duration;
use web::{Client, Method};
use wire::platform::{KvEntry, KvWrite};

async fn start_cluster() -> Cluster {
    let layout = Layout { engines_per_domain: 1, token_gap_ms: 20, ..Layout::default() };
    Cluster::start(&program().unwrap(), layout).await.unwrap()
}

fn run_ctl(cluster: &Cluster, entry: usize, args: &[&str]) -> CtlOutcome {
    let server = cluster.admin_addrs().unwrap()[entry];
    CtlOutcome::run(&program().unwrap(), server, Layout::OPERATOR_KEY, args).unwrap()
}

fn parse_output(outcome: &CtlOutcome) -> Value {
    assert_eq!(outcome.code, 0, "{}", outcome.stderr);
    serde_json::from_str(&outcome.stdout).unwrap()
}

/// Creates a plan from `intent`, the text of a change. Returns the output of the program and the identifier of the
/// plan.
fn create_plan(cluster: &Cluster, entry: usize, intent: &str) -> (Value, String) {
    let mut args = vec!["plan", "--json"];
    args.extend(intent.split(' '));
    let created = parse_output(&run_ctl(cluster, entry, &args));
    let id = created["plan"]["id"].as_str().unwrap().to_owned();
    (created, id)
}

/// Confirms a plan, waits until its revision is active at every entry, and returns the revision.
fn confirm_plan(cluster: &Cluster, entry: usize, id: &str) -> u64 {
    let confirmed = parse_output(&run_ctl(cluster, entry, &["confirm", "--json", id]));
    let revision = confirmed["revision"].as_u64().unwrap();
    let after = (revision - 1).to_string();
    for entry in 0..cluster.admin_addrs().unwrap().len() {
        let args = ["watch", "--json", "--after", &after, "--wait-ms", "10000"];
        let watched = parse_output(&run_ctl(cluster, entry, &args));
        assert!(watched["revision"].as_u64().unwrap() >= revision);
    }
    revision
}

fn generation_request(max_tokens: u32) -> GenerationRequest {
    GenerationRequest {
        model: Layout::MODEL.to_owned(),
        prompt: "a peal plan".to_owned(),
        max_tokens,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_confirmed_account_works_at_every_entry_and_a_stale_plan_does_not() {
    let cluster = start_cluster().await;
    let (created, first) = create_plan(&cluster, 0, "create account borders requests_per_s=10");
    let key = created["new_keys"][0]["key"].as_str().unwrap().to_owned();
    let (_, second) = create_plan(&cluster, 1, "create account tweed");
    let shown = run_ctl(&cluster, 2, &["show", &first]);
    assert!(shown.code == 0 && !shown.stdout.contains(&key));
    // Nothing changes before the confirmation.
    let answer = Caller::new(&key).ask(cluster.entry_addrs()[2], &generation_request(1)).await;
    assert_eq!(answer.end, AnswerEnd::Refused(401, "invalid_api_key".to_owned()));
    confirm_plan(&cluster, 1, &first);
    for addr in cluster.entry_addrs() {
        assert_eq!(Caller::new(&key).ask(addr, &generation_request(1)).await.end, AnswerEnd::Done);
    }
    let again = parse_output(&run_ctl(&cluster, 2, &["confirm", "--json", &first]));
    assert_eq!(again["was_confirmed_before"], true);
    let stale = run_ctl(&cluster, 0, &["confirm", &second]);
    assert_eq!(stale.code, 3);
    assert!(stale.stderr.contains("+ accounts.borders.requests_per_s: 10"), "{}", stale.stderr);
    let history = run_ctl(&cluster, 0, &["history"]);
    assert!(history.stdout.contains(&first) && !history.stdout.contains(&second));
    let diff = run_ctl(&cluster, 0, &["diff", "0"]);
    assert!(diff.stdout.contains("accounts.borders"), "{}", diff.stdout);
}

#[tokio::test(flavor = "multi_thread")]
async fn exit_codes_distinguish_usage_refusal_and_outage() {
    let cluster = start_cluster().await;
    let server = cluster.admin_addrs().unwrap()[0];
    let wrong_key = CtlOutcome::run(&program().unwrap(), server, "wrong", &["status"]).unwrap();
    assert_eq!(wrong_key.code, 1);
    let caller_key =
        CtlOutcome::run(&program().unwrap(), server, Layout::KEY, &["status"]).unwrap();
    assert_eq!(caller_key.code, 1);
    assert_eq!(run_ctl(&cluster, 0, &["frobnicate"]).code, 2);
    assert_eq!(run_ctl(&cluster, 0, &["plan", "remove", "account", "nobody"]).code, 1);
    assert_eq!(run_ctl(&cluster, 0, &["show", "p00-0"]).code, 1);
    let (_, id) = create_plan(&cluster, 0, "create account borders");
    cluster.platform().freeze();
    assert_eq!(run_ctl(&cluster, 0, &["confirm", &id]).code, 4);
    assert_eq!(run_ctl(&cluster, 0, &["status"]).code, 0);
    cluster.platform().thaw();
    assert_eq!(run_ctl(&cluster, 1, &["confirm", &id]).code, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_to_a_confirmation_is_resolved() {
    let cluster = start_cluster().await;
    let (_, id) = create_plan(&cluster, 0, "create account borders");
    cluster.inject_platform_fault(PlatformFault::LoseNextAnswers { writes: 1 }).await.unwrap();
    assert_eq!(run_ctl(&cluster, 0, &["confirm", &id]).code, 0);
    let again = parse_output(&run_ctl(&cluster, 1, &["confirm", "--json", &id]));
    assert_eq!(again["sequence"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_older_document_does_not_revert_a_confirmed_change() {
    let cluster = start_cluster().await;
    let platform = Client::new(cluster.platform_addr().unwrap(), 2_000);
    let reply = platform.send(Method::GET, "/kv/config/current").await.unwrap();
    let older: KvEntry = reply.json().unwrap();
    let (created, id) = create_plan(&cluster, 0, "create account borders");
    let key = created["new_keys"][0]["key"].as_str().unwrap().to_owned();
    let revision = confirm_plan(&cluster, 0, &id);
    let write = KvWrite { value: older.value, expect_revision: None, lease_id: None };
    platform.send_json(Method::PUT, "/kv/config/current", &write).await.unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;
    // A plan that is based on the older document would revert the confirmed change, so it is refused with exit code 4.
    assert_eq!(run_ctl(&cluster, 0, &["plan", "create", "account", "tweed"]).code, 4);
    for (entry, addr) in cluster.entry_addrs().into_iter().enumerate() {
        assert_eq!(Caller::new(&key).ask(addr, &generation_request(1)).await.end, AnswerEnd::Done);
        let status = parse_output(&run_ctl(&cluster, entry, &["status", "--json"]));
        assert_eq!(status["revision"], revision);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_cannot_be_removed_until_its_generations_have_ended() {
    let cluster = start_cluster().await;
    let addr = cluster.entry_addrs()[0];
    let answer_task =
        tokio::spawn(
            async move { Caller::new(Layout::KEY).ask(addr, &generation_request(400)).await },
        );
    tokio::time::sleep(Duration::from_millis(500)).await;
    let (_, id) = create_plan(&cluster, 0, "create version composer v2");
    confirm_plan(&cluster, 0, &id);
    let remove = ["plan", "remove", "version", "composer", "v1"];
    let refused = run_ctl(&cluster, 0, &remove);
    assert_eq!(refused.code, 1);
    assert!(refused.stderr.contains("pinned"), "{}", refused.stderr);
    let answer = answer_task.await.unwrap();
    assert!(answer.is_whole(Layout::MODEL, "", "a peal plan"));
    assert_eq!(run_ctl(&cluster, 0, &remove).code, 0);
}
