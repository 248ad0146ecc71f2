//! Guards against answers that break when an engine fails, for each kind of failure of an engine process.
//!
//! Every answer is verified with the token chain. Tests wait for states of processes instead of fixed times, at most
//! for `MAX_POLLS`.

use bench::{
    caller::{Answer, Caller, GenerationRequest},
    cluster::{Cluster, Layout, program},
};
use fleet::Preset;
use stand::EngineFault;
use std::{net::SocketAddr, time::Duration};
use tokio::task::JoinHandle;
use web::{Client, Method};

/// Prompt of all requests.
const PROMPT: &str = "a peal plan";

/// Largest number of polls for the state of a process, with a `pause` of 20 ms after each.
const MAX_POLLS: usize = 1_500;

/// Number of tokens that an engine must have decoded before a test regards it as serving the request.
const RUNNING_TOKENS: u64 = 10;

async fn start_cluster(engines: usize, preset: Preset) -> Cluster {
    start_cluster_with(engines, preset, "").await
}

async fn start_cluster_with(engines: usize, preset: Preset, recovery: &str) -> Cluster {
    let layout = Layout {
        domains: vec!["lothian".to_owned()],
        engines_per_domain: engines,
        token_gap_ms: 20,
        preset,
        recovery: recovery.to_owned(),
        ..Layout::default()
    };
    Cluster::start(&program().unwrap(), layout).await.unwrap()
}

/// Starts a task that requests an answer from the first entry.
fn spawn_ask(cluster: &Cluster, max_tokens: u32) -> JoinHandle<Answer> {
    let addr: SocketAddr = cluster.entry_addrs()[0];
    let request = GenerationRequest {
        model: Layout::MODEL.to_owned(),
        prompt: PROMPT.to_owned(),
        max_tokens,
    };
    tokio::spawn(async move { Caller::new(Layout::KEY).ask(addr, &request).await })
}

/// Waits for the answer, asserts that it is complete and returns the number of its tokens.
async fn assert_complete(answer_task: JoinHandle<Answer>) -> u64 {
    let answer = answer_task.await.unwrap();
    assert!(answer.is_whole(Layout::MODEL, "", PROMPT), "{answer:?}");
    answer.usage_tokens.map(u64::from).unwrap()
}

async fn pause() {
    tokio::time::sleep(Duration::from_millis(20)).await;
}

/// Waits until an engine other than the `excluded` ones runs a request and has decoded `RUNNING_TOKENS`, and returns
/// its position.
async fn wait_for_serving_engine(cluster: &Cluster, excluded: &[usize]) -> usize {
    for _ in 0..MAX_POLLS {
        for position in (0..cluster.engine_count()).filter(|position| !excluded.contains(position))
        {
            let state = cluster.engine_state(position).await.unwrap();
            if !state.active.is_empty() && state.counters.decoded_tokens >= RUNNING_TOKENS {
                return position;
            }
        }
        pause().await;
    }
    panic!("no engine other than those at the positions {excluded:?} serves a request");
}

/// Waits until an engine runs several requests, and returns the position of the one that runs the most. One of them may
/// have been cancelled, which the engine notices at its next step.
async fn wait_for_busiest_engine(cluster: &Cluster) -> usize {
    for _ in 0..MAX_POLLS {
        let mut running = Vec::new();
        for position in 0..cluster.engine_count() {
            running.push((cluster.engine_state(position).await.unwrap().active.len(), position));
        }
        if let Some((2.., position)) = running.into_iter().max() {
            return position;
        }
        pause().await;
    }
    panic!("no engine runs several requests");
}

/// Returns the sum of the counters of the entry (the daemon that serves the caller) whose lines in the metrics start
/// with `prefix`.
async fn sum_metric(cluster: &Cluster, prefix: &str) -> u64 {
    let client = Client::new(cluster.entry_addrs()[0], 2_000);
    let reply = client.send(Method::GET, "/metrics").await.unwrap();
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    let lines = text.lines().filter(|line| line.starts_with(prefix));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum()
}

/// Waits until the result of `sum_metric` is at least `minimum`.
async fn wait_for_count(cluster: &Cluster, prefix: &str, minimum: u64) {
    for _ in 0..MAX_POLLS {
        if sum_metric(cluster, prefix).await >= minimum {
            return;
        }
        pause().await;
    }
    panic!("the sum of the metrics {prefix:?} stays below {minimum}");
}

/// Waits until the entry has started a hedged attempt, which runs at another engine beside the suspected attempt.
async fn wait_for_hedge(cluster: &Cluster) {
    wait_for_count(cluster, "generation_hedges_total ", 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_complete_after_its_engine_was_killed() {
    let mut cluster = start_cluster(2, Preset::Economy).await;
    let answer_task = spawn_ask(&cluster, 150);
    let victim = wait_for_serving_engine(&cluster, &[]).await;
    cluster.kill_engine(victim);
    assert_complete(answer_task).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_complete_after_its_engine_was_frozen_and_resumed() {
    for preset in [Preset::Latency, Preset::Economy] {
        let cluster = start_cluster(2, preset).await;
        let answer_task = spawn_ask(&cluster, 250);
        let victim = wait_for_serving_engine(&cluster, &[]).await;
        cluster.freeze_engine(victim);
        let successor = wait_for_serving_engine(&cluster, &[victim]).await;
        // The resumed engine continues its old attempt while the new one runs.
        cluster.thaw_engine(victim);
        assert_ne!(victim, successor);
        assert_complete(answer_task).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_complete_after_both_engines_of_a_hedge_were_killed() {
    let mut cluster = start_cluster(2, Preset::Latency).await;
    let answer_task = spawn_ask(&cluster, 150);
    wait_for_serving_engine(&cluster, &[]).await;
    // Both engines are frozen, so that neither attempt can win before they are killed.
    (0..2).for_each(|position| cluster.freeze_engine(position));
    wait_for_hedge(&cluster).await;
    for position in 0..2 {
        cluster.kill_engine(position);
        cluster.restart_engine(position).unwrap();
    }
    assert_complete(answer_task).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_complete_after_its_frozen_engine_was_removed_from_the_list() {
    let mut cluster = start_cluster(2, Preset::Economy).await;
    let answer_task = spawn_ask(&cluster, 150);
    let victim = wait_for_serving_engine(&cluster, &[]).await;
    cluster.freeze_engine(victim);
    cluster.remove_engine(victim).await.unwrap();
    assert_complete(answer_task).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_engine_finishes_its_answer_without_a_second_attempt() {
    let mut cluster = start_cluster(2, Preset::Latency).await;
    let answer_task = spawn_ask(&cluster, 150);
    let leaver = wait_for_serving_engine(&cluster, &[]).await;
    cluster.mark_engine_leaving(leaver).await.unwrap();
    let tokens = assert_complete(answer_task).await;
    assert_eq!(cluster.engine_state(leaver).await.unwrap().counters.decoded_tokens, tokens);
    assert_eq!(cluster.engine_state(1 - leaver).await.unwrap().counters.requests, 0);
}

/// Guards against interrupted answers that are never resumed because `max_concurrent` admits only one recovery at a
/// time.
#[tokio::test(flavor = "multi_thread")]
async fn all_answers_are_complete_when_recoveries_wait_for_admission() {
    let recovery = "attempts_per_s = 20\nburst = 1\nmax_concurrent = 1\n";
    let mut cluster = start_cluster_with(2, Preset::Latency, recovery).await;
    let answer_tasks: Vec<_> = (0..12).map(|_| spawn_ask(&cluster, 150)).collect();
    let victim = wait_for_serving_engine(&cluster, &[]).await;
    cluster.kill_engine(victim);
    for answer_task in answer_tasks {
        assert_complete(answer_task).await;
    }
}

/// Guards against a malformed, duplicated, missing or foreign token event that interrupts more than one attempt, or
/// whose token reaches the answer of another request.
#[tokio::test(flavor = "multi_thread")]
async fn a_bad_event_interrupts_only_its_own_answer() {
    const MALFORMED: &str = "generation_losses_total{cause=\"malformed\"}";
    let cluster = start_cluster(3, Preset::Economy).await;
    let answer_tasks: Vec<_> = (0..12).map(|_| spawn_ask(&cluster, 500)).collect();
    let faults = [
        EngineFault::Malformed { events: 1 },
        EngineFault::Duplicate { events: 1 },
        EngineFault::Skip { events: 1 },
        EngineFault::Cross { events: 1 },
    ];
    for (number, fault) in faults.into_iter().enumerate() {
        // An engine whose last request was cancelled after the fault before has no event to apply this one to.
        let victim = wait_for_busiest_engine(&cluster).await;
        cluster.inject_engine_fault(victim, fault).await.unwrap();
        wait_for_count(&cluster, MALFORMED, number as u64 + 1).await;
    }
    for answer_task in answer_tasks {
        assert_complete(answer_task).await;
    }
    assert_eq!(sum_metric(&cluster, MALFORMED).await, 4);
}
