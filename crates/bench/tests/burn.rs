//! Guards against reports of the error budget burn that leave out requests of other entries (daemons that serve
//! callers), or that do not name the entries whose requests are missing. Uses real processes.

use bench::{
    caller::{AnswerEnd, Caller, GenerationRequest},
    cluster::{Cluster, CtlOutcome, Layout, program},
};
use serde_json::Value;
use stand::PlatformFault;
use std::time::Duration;

fn run_ctl(cluster: &Cluster, args: &[&str]) -> CtlOutcome {
    let server = cluster.admin_addrs().unwrap()[0];
    let outcome = CtlOutcome::run(&program().unwrap(), server, Layout::OPERATOR_KEY, args).unwrap();
    assert_eq!(outcome.code, 0, "{}", outcome.stderr);
    outcome
}

fn read_burn_report(cluster: &Cluster) -> Value {
    serde_json::from_str(&run_ctl(cluster, &["report", "burn", "--json"]).stdout).unwrap()
}

/// Requests one generation from an entry, whose stream must end normally.
async fn ask(cluster: &Cluster, entry: usize) {
    let request = GenerationRequest {
        model: Layout::MODEL.to_owned(),
        prompt: "a peal plan".to_owned(),
        max_tokens: 4,
    };
    let answer = Caller::new(Layout::KEY).ask(cluster.entry_addr(entry), &request).await;
    assert_eq!(answer.end, AnswerEnd::Done);
}

/// Sets availability and latency objectives of the service through a plan and its confirmation.
fn set_objectives(cluster: &Cluster) {
    let intent = "change service composer availability_millipct=99000 latency_p95_ms=60000";
    let mut args = vec!["plan", "--json"];
    args.extend(intent.split(' '));
    let planned: Value = serde_json::from_str(&run_ctl(cluster, &args).stdout).unwrap();
    let id = planned["plan"]["id"].as_str().unwrap();
    run_ctl(cluster, &["confirm", id]);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_report_covers_all_entries_and_names_missing_ones() {
    let layout = Layout { engines_per_domain: 1, token_gap_ms: 5, ..Layout::default() };
    let mut cluster = Cluster::start(&program().unwrap(), layout).await.unwrap();
    set_objectives(&cluster);
    for entry in [0, 1, 1, 2, 2, 2] {
        ask(&cluster, entry).await;
    }
    // An entry counts a request shortly after it has sent the last event, so the report may still lack some requests.
    let mut full_report = read_burn_report(&cluster);
    let mut polls = 0;
    while full_report["fleet"]["entries"].as_array().unwrap().len() < 3
        || full_report["services"][0]["objectives"][0]["windows"][0]["requests"] != 6
    {
        polls += 1;
        assert!(polls < 400, "{full_report}");
        tokio::time::sleep(Duration::from_millis(50)).await;
        full_report = read_burn_report(&cluster);
    }
    assert_eq!(full_report["level"], "ok");
    assert_eq!(full_report["missing"].as_array().unwrap().len(), 0);
    let page = cluster.files_path().join("burn.html");
    let text = run_ctl(&cluster, &["report", "burn", "--html", page.to_str().unwrap()]).stdout;
    assert!(text.contains("ok latency 60000 ms for 95%: burn 5 min 0.0 (0/6)"), "{text}");
    let page = std::fs::read_to_string(page).unwrap();
    assert_eq!(page.matches("<svg").count(), 4);
    assert!(!page.contains("http-equiv") && !page.contains("src="));
    cluster.kill_entry(2);
    let partial_report = read_burn_report(&cluster);
    assert_eq!(partial_report["missing"], serde_json::json!(["entry-tayside-0"]));
    assert_eq!(partial_report["services"][0]["objectives"][0]["windows"][0]["requests"], 3);
    cluster.inject_platform_fault(PlatformFault::Down).await.unwrap();
    let report_in_outage = read_burn_report(&cluster);
    assert_eq!(report_in_outage["fleet"]["is_list_known"], false);
    assert_eq!(report_in_outage["services"][0]["objectives"][0]["windows"][0]["requests"], 3);
}
