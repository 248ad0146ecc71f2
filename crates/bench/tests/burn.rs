//! Guards against burn reports that miss requests of other entries, or do not say that entries are missing, with real
//! processes.

use bench::{
    caller::{AnswerEnd, Caller, GenerationRequest},
    cluster::{Cluster, CtlOutcome, Layout, program},
};
use serde_json::Value;
use stand::PlatformFault;
use std::time::Duration;

fn ctl(cluster: &Cluster, args: &[&str]) -> CtlOutcome {
    let server = cluster.admin_addrs().unwrap()[0];
    let outcome = CtlOutcome::run(&program().unwrap(), server, Layout::OPERATOR_KEY, args).unwrap();
    assert_eq!(outcome.code, 0, "{}", outcome.stderr);
    outcome
}

fn report(cluster: &Cluster) -> Value {
    serde_json::from_str(&ctl(cluster, &["report", "burn", "--json"]).stdout).unwrap()
}

async fn ask(cluster: &Cluster, entry: usize) {
    let question = GenerationRequest {
        model: Layout::MODEL.to_owned(),
        prompt: "a peal plan".to_owned(),
        max_tokens: 4,
    };
    let answer = Caller::new(Layout::KEY).ask(cluster.entry_addr(entry), &question).await;
    assert_eq!(answer.end, AnswerEnd::Done);
}

/// Sets objectives by plan and confirmation, and waits until every entry has them in force.
fn set_objectives(cluster: &Cluster) {
    let intent = "change service composer availability_millipct=99000 latency_p95_ms=60000";
    let mut args = vec!["plan", "--json"];
    args.extend(intent.split(' '));
    let planned: Value = serde_json::from_str(&ctl(cluster, &args).stdout).unwrap();
    let id = planned["plan"]["id"].as_str().unwrap();
    ctl(cluster, &["confirm", id]);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_report_holds_requests_of_all_entries_and_names_those_that_are_missing() {
    let layout = Layout { engines_per_domain: 1, token_gap_ms: 5, ..Layout::default() };
    let mut cluster = Cluster::start(&program().unwrap(), layout).await.unwrap();
    set_objectives(&cluster);
    for entry in [0, 1, 1, 2, 2, 2] {
        ask(&cluster, entry).await;
    }
    // The relay counts a request right after its last event.
    let mut whole = report(&cluster);
    let mut tries = 0;
    while whole["fleet"]["entries"].as_array().unwrap().len() < 3
        || whole["services"][0]["objectives"][0]["windows"][0]["requests"] != 6
    {
        tries += 1;
        assert!(tries < 400, "{whole}");
        tokio::time::sleep(Duration::from_millis(50)).await;
        whole = report(&cluster);
    }
    assert_eq!(whole["level"], "ok");
    assert_eq!(whole["missing"].as_array().unwrap().len(), 0);
    let page = cluster.files_path().join("burn.html");
    let text = ctl(&cluster, &["report", "burn", "--html", page.to_str().unwrap()]).stdout;
    assert!(text.contains("ok latency 60000 ms for 95%: burn 5 min 0.0 (0/6)"), "{text}");
    let page = std::fs::read_to_string(page).unwrap();
    assert_eq!(page.matches("<svg").count(), 4);
    assert!(!page.contains("http-equiv") && !page.contains("src="));
    cluster.kill_entry(2);
    let part = report(&cluster);
    assert_eq!(part["missing"], serde_json::json!(["entry-tayside-0"]));
    assert_eq!(part["services"][0]["objectives"][0]["windows"][0]["requests"], 3);
    cluster.platform_fault(PlatformFault::Down).await.unwrap();
    let outage = report(&cluster);
    assert_eq!(outage["fleet"]["is_list_known"], false);
    assert_eq!(outage["services"][0]["objectives"][0]["windows"][0]["requests"], 3);
}
