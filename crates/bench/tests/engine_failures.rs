//! Guards against answers that break when an engine fails, for each kind of failure of an engine process.
//!
//! Every answer is checked with the token chain. Each wait is for a state of a process and is bounded.

use bench::{
    caller::{Answer, Caller, GenerationRequest},
    cluster::{Cluster, Layout, program},
};
use fleet::Preset;
use stand::EngineFault;
use std::{net::SocketAddr, time::Duration};
use tokio::task::JoinHandle;
use web::{Client, Method};

/// Prompt of all questions.
const PROMPT: &str = "a peal plan";

/// Tries, 20 ms apart, until a state that has to come is given up.
const MAX_TRIES: usize = 1_500;

/// Tokens that an attempt has decoded when it counts as running.
const RUNNING_TOKENS: u64 = 10;

async fn start(engines: usize, preset: Preset) -> Cluster {
    start_with(engines, preset, "").await
}

async fn start_with(engines: usize, preset: Preset, recovery: &str) -> Cluster {
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

fn ask(cluster: &Cluster, max_tokens: u32) -> JoinHandle<Answer> {
    let addr: SocketAddr = cluster.entry_addrs()[0];
    let question = GenerationRequest {
        model: Layout::MODEL.to_owned(),
        prompt: PROMPT.to_owned(),
        max_tokens,
    };
    tokio::spawn(async move { Caller::new(Layout::KEY).ask(addr, &question).await })
}

/// Checks the answer and returns the number of its tokens.
async fn check_whole(asking: JoinHandle<Answer>) -> u64 {
    let answer = asking.await.unwrap();
    assert!(answer.is_whole(Layout::MODEL, "", PROMPT), "{answer:?}");
    answer.usage_tokens.map(u64::from).unwrap()
}

async fn pause() {
    tokio::time::sleep(Duration::from_millis(20)).await;
}

/// Waits until an engine other than those in `except` has decoded tokens of a request in flight.
async fn serving(cluster: &Cluster, except: &[usize]) -> usize {
    for _ in 0..MAX_TRIES {
        for position in (0..cluster.engine_count()).filter(|position| !except.contains(position)) {
            let state = cluster.engine_state(position).await.unwrap();
            if !state.active.is_empty() && state.counters.decoded_tokens >= RUNNING_TOKENS {
                return position;
            }
        }
        pause().await;
    }
    panic!("no engine serves the request");
}

/// Sum of the entry's counters whose lines start with `prefix`.
async fn count(cluster: &Cluster, prefix: &str) -> u64 {
    let client = Client::new(cluster.entry_addrs()[0], 2_000);
    let reply = client.send(Method::GET, "/metrics").await.unwrap();
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    let lines = text.lines().filter(|line| line.starts_with(prefix));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum()
}

/// Waits until a counter of the entry has reached `least`.
async fn counted(cluster: &Cluster, prefix: &str, least: u64) {
    for _ in 0..MAX_TRIES {
        if count(cluster, prefix).await >= least {
            return;
        }
        pause().await;
    }
    panic!("{prefix} stays below {least}");
}

/// Waits until the entry has started a second attempt beside a suspected one.
async fn hedged(cluster: &Cluster) {
    counted(cluster, "generation_hedges_total ", 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_whole_after_its_engine_was_killed() {
    let mut cluster = start(2, Preset::Economy).await;
    let asking = ask(&cluster, 150);
    let victim = serving(&cluster, &[]).await;
    cluster.kill_engine(victim);
    check_whole(asking).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_whole_after_its_engine_was_frozen_and_woken() {
    for preset in [Preset::Latency, Preset::Economy] {
        let cluster = start(2, preset).await;
        let asking = ask(&cluster, 250);
        let victim = serving(&cluster, &[]).await;
        cluster.freeze_engine(victim);
        let successor = serving(&cluster, &[victim]).await;
        // The woken engine goes on with its old attempt while the new one runs.
        cluster.thaw_engine(victim);
        assert_ne!(victim, successor);
        check_whole(asking).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_whole_after_both_engines_of_a_hedge_were_killed() {
    let mut cluster = start(2, Preset::Latency).await;
    let asking = ask(&cluster, 150);
    serving(&cluster, &[]).await;
    // Both engines are silent, so that neither attempt can win before they are killed.
    (0..2).for_each(|position| cluster.freeze_engine(position));
    hedged(&cluster).await;
    for position in 0..2 {
        cluster.kill_engine(position);
        cluster.restart_engine(position).unwrap();
    }
    check_whole(asking).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_whole_after_its_silent_engine_was_taken_off_the_list() {
    let mut cluster = start(2, Preset::Economy).await;
    let asking = ask(&cluster, 150);
    let victim = serving(&cluster, &[]).await;
    cluster.freeze_engine(victim);
    cluster.remove_engine(victim).await.unwrap();
    check_whole(asking).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_engine_finishes_its_answer_and_no_other_engine_repeats_its_work() {
    let mut cluster = start(2, Preset::Latency).await;
    let asking = ask(&cluster, 150);
    let leaver = serving(&cluster, &[]).await;
    cluster.mark_engine_leaving(leaver).await.unwrap();
    let tokens = check_whole(asking).await;
    assert_eq!(cluster.engine_state(leaver).await.unwrap().counters.decoded_tokens, tokens);
    assert_eq!(cluster.engine_state(1 - leaver).await.unwrap().counters.requests, 0);
}

/// One recovery at a time must not leave any of many interrupted answers behind.
#[tokio::test(flavor = "multi_thread")]
async fn all_answers_are_whole_when_recoveries_wait_for_admission() {
    let recovery = "attempts_per_s = 20\nburst = 1\nmax_concurrent = 1\n";
    let mut cluster = start_with(2, Preset::Latency, recovery).await;
    let asking: Vec<_> = (0..12).map(|_| ask(&cluster, 150)).collect();
    let victim = serving(&cluster, &[]).await;
    cluster.kill_engine(victim);
    for answer in asking {
        check_whole(answer).await;
    }
}

/// An event that is malformed, repeated, missing or another request's must end one attempt only, and no other answer
/// may take anything from it.
#[tokio::test(flavor = "multi_thread")]
async fn a_bad_event_interrupts_only_its_own_answer() {
    const MALFORMED: &str = "generation_losses_total{cause=\"malformed\"}";
    let cluster = start(3, Preset::Economy).await;
    let asking: Vec<_> = (0..12).map(|_| ask(&cluster, 500)).collect();
    let faults = [
        EngineFault::Malformed { events: 1 },
        EngineFault::Duplicate { events: 1 },
        EngineFault::Skip { events: 1 },
        EngineFault::Cross { events: 1 },
    ];
    for (number, fault) in faults.into_iter().enumerate() {
        let victim = serving(&cluster, &[]).await;
        cluster.engine_fault(victim, fault).await.unwrap();
        counted(&cluster, MALFORMED, number as u64 + 1).await;
    }
    for answer in asking {
        check_whole(answer).await;
    }
    assert_eq!(count(&cluster, MALFORMED).await, 4);
}
