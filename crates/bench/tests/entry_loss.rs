//! Guards against answers that break when an entry is lost in the middle of a stream, or the replica holder of that
//! stream.
//!
//! An entry is a daemon that serves callers. It replicates the journal of each stream to another daemon, the replica
//! holder.

use bench::{
    caller::{Answer, AnswerEnd, Caller, GenerationRequest},
    cluster::{Cluster, Layout, program},
};
use std::net::SocketAddr;
use tokio::{sync::watch, task::JoinHandle};
use web::{Client, Method};

/// Number of tokens that a caller receives before the test injects a fault.
const TOKENS_BEFORE: u32 = 10;

/// Timeout of a request that an entry answers at once.
const REPLY_TIMEOUT_MS: u64 = 5_000;

async fn start_cluster(has_peers: bool) -> Cluster {
    let layout = Layout { engines_per_domain: 1, token_gap_ms: 20, has_peers, ..Layout::default() };
    Cluster::start(&program().unwrap(), layout).await.unwrap()
}

fn generation_request() -> GenerationRequest {
    GenerationRequest {
        model: Layout::MODEL.to_owned(),
        prompt: "a peal plan".to_owned(),
        max_tokens: 100,
    }
}

/// Starts a stream and waits for `TOKENS_BEFORE` tokens. Returns the task that reads the whole stream, and the partial
/// answer so far.
async fn start_stream(addr: SocketAddr) -> (JoinHandle<Answer>, Answer) {
    let (progress, mut progress_receiver) = watch::channel(Answer::empty());
    let caller = Caller::new(Layout::KEY).with_progress(progress);
    let answer_task = tokio::spawn(async move { caller.ask(addr, &generation_request()).await });
    let answer = progress_receiver
        .wait_for(|answer| answer.token_count() >= TOKENS_BEFORE)
        .await
        .unwrap()
        .clone();
    (answer_task, answer)
}

/// Resumes a partial answer at an entry and returns the answer when the stream has ended.
async fn resume(addr: SocketAddr, answer: &Answer) -> Answer {
    let mut answer = answer.clone();
    Caller::new(Layout::KEY).resume(addr, &generation_request(), &mut answer).await;
    answer
}

fn assert_complete(answer: &Answer) {
    assert_eq!(answer.end, AnswerEnd::Done);
    assert!(answer.is_whole(Layout::MODEL, "", &generation_request().prompt));
}

async fn fetch_text(addr: SocketAddr, path: &str) -> String {
    let reply = Client::new(addr, REPLY_TIMEOUT_MS).send(Method::GET, path).await.unwrap();
    String::from_utf8_lossy(&reply.body).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_resumes_after_its_entry_was_killed() {
    let mut cluster = start_cluster(true).await;
    let (answer_task, _) = start_stream(cluster.entry_addr(0)).await;
    cluster.kill_entry(0);
    let cut = answer_task.await.unwrap();
    assert_eq!(cut.end, AnswerEnd::Cut);
    assert_complete(&resume(cluster.entry_addr(1), &cut).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_resumes_after_entry_and_engine_were_killed_together() {
    let mut cluster = start_cluster(true).await;
    let (answer_task, _) = start_stream(cluster.entry_addr(0)).await;
    cluster.kill_engine(0);
    cluster.kill_entry(0);
    let cut = answer_task.await.unwrap();
    assert_complete(&resume(cluster.entry_addr(2), &cut).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn two_entries_do_not_serve_one_answer() {
    let cluster = start_cluster(true).await;
    let (answer_task, partial) = start_stream(cluster.entry_addr(0)).await;
    let second = resume(cluster.entry_addr(1), &partial).await;
    let first = answer_task.await.unwrap();
    assert_complete(&second);
    assert_eq!(first.end, AnswerEnd::Cut);
    assert!(second.text.starts_with(&first.text));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_continues_with_a_new_replica_holder() {
    let mut cluster = start_cluster(true).await;
    let (answer_task, partial) = start_stream(cluster.entry_addr(0)).await;
    let holder = cluster.entry_position(partial.replica_holder().unwrap()).unwrap();
    assert_ne!(holder, 0);
    cluster.kill_entry(holder);
    let answer = answer_task.await.unwrap();
    assert_complete(&answer);
    let next = cluster.entry_position(answer.replica_holder().unwrap()).unwrap();
    assert!(next != holder && next != 0);
    // The new replica holder has the complete journal.
    cluster.kill_entry(0);
    assert_complete(&resume(cluster.entry_addr(next), &partial).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_entry_releases_no_tokens_after_it_was_replaced() {
    let cluster = start_cluster(true).await;
    let (answer_task, partial) = start_stream(cluster.entry_addr(0)).await;
    cluster.entry(0).unwrap().freeze();
    let second = resume(cluster.entry_addr(1), &partial).await;
    cluster.entry(0).unwrap().thaw();
    let first = answer_task.await.unwrap();
    assert_complete(&second);
    assert_eq!(first.end, AnswerEnd::Cut);
    assert!(second.text.starts_with(&first.text));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_finished_answer_can_be_read_again() {
    let mut cluster = start_cluster(true).await;
    let (answer_task, partial) = start_stream(cluster.entry_addr(0)).await;
    let first = answer_task.await.unwrap();
    assert_complete(&first);
    let again = resume(cluster.entry_addr(1), &partial).await;
    assert_complete(&again);
    assert_eq!(again.text, first.text);
    cluster.kill_entry(0);
    for position in 1..cluster.entry_count() {
        let again = resume(cluster.entry_addr(position), &partial).await;
        assert_complete(&again);
        assert_eq!(again.text, first.text);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_disconnected_caller_resumes_its_answer() {
    let cluster = start_cluster(true).await;
    let (answer_task, partial) = start_stream(cluster.entry_addr(0)).await;
    answer_task.abort();
    let _ = answer_task.await;
    assert_complete(&resume(cluster.entry_addr(0), &partial).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cursor_that_matches_no_journal_is_refused() {
    let cluster = start_cluster(true).await;
    let (answer_task, partial) = start_stream(cluster.entry_addr(0)).await;
    assert_complete(&answer_task.await.unwrap());
    let addr = cluster.entry_addr(1);
    let id = partial.last_event_id.clone().unwrap();
    let cases = [
        ("nonsense".to_owned(), 400, "invalid_cursor"),
        (id.replacen("gen-", "gen-ff", 1), 404, "generation_not_found"),
        (id.replacen("/1-", "/2-", 1), 409, "cursor_conflict"),
    ];
    for (id, status, code) in cases {
        let answer = Answer { last_event_id: Some(id), ..partial.clone() };
        let refused = resume(addr, &answer).await;
        assert_eq!(refused.end, AnswerEnd::Refused(status, code.to_owned()));
    }
    let mut other = partial.clone();
    let request = GenerationRequest { prompt: "another plan".to_owned(), ..generation_request() };
    Caller::new(Layout::KEY).resume(addr, &request, &mut other).await;
    assert_eq!(other.end, AnswerEnd::Refused(409, "request_mismatch".to_owned()));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_cuts_off_no_stream() {
    let cluster = start_cluster(true).await;
    let addr = cluster.entry_addr(0);
    let (answer_task, _) = start_stream(addr).await;
    cluster.entry(0).unwrap().terminate();
    // The entry reports that it is not ready while the stream continues, and refuses connections afterwards.
    loop {
        let reply = Client::new(addr, REPLY_TIMEOUT_MS).send(Method::GET, "/readyz").await;
        if !reply.is_ok_and(|reply| reply.status.is_success()) {
            break;
        }
        tokio::task::yield_now().await;
    }
    assert_complete(&answer_task.await.unwrap());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_without_peers_serves_and_counts_unreplicated_tokens() {
    let cluster = start_cluster(false).await;
    let (answer_task, partial) = start_stream(cluster.entry_addr(0)).await;
    assert_eq!(partial.replica_holder(), Some("-"));
    assert_complete(&answer_task.await.unwrap());
    let metrics = fetch_text(cluster.entry_addr(0), "/metrics").await;
    let line = metrics.lines().find(|line| line.starts_with("journal_uncopied_tokens_total "));
    assert_eq!(line, Some("journal_uncopied_tokens_total 100"));
}
