//! Guards against answers that break when an entry or the holder of a journal copy is lost in the middle of a stream.

use bench::{
    caller::{Answer, AnswerEnd, Caller, GenerationRequest},
    cluster::{Cluster, Layout, program},
};
use std::net::SocketAddr;
use tokio::{sync::watch, task::JoinHandle};
use web::{Client, Method};

/// Tokens that a caller has received when the fault happens.
const TOKENS_BEFORE: u32 = 10;

/// Longest wait for a short answer of an entry.
const REPLY_WAIT_MS: u64 = 5_000;

async fn start(has_peers: bool) -> Cluster {
    let layout = Layout { engines_per_domain: 1, token_gap_ms: 20, has_peers, ..Layout::default() };
    Cluster::start(&program().unwrap(), layout).await.unwrap()
}

fn question() -> GenerationRequest {
    GenerationRequest {
        model: Layout::MODEL.to_owned(),
        prompt: "a peal plan".to_owned(),
        max_tokens: 100,
    }
}

/// Starts a stream and returns its task with the answer as it was after the first tokens.
async fn begin(addr: SocketAddr) -> (JoinHandle<Answer>, Answer) {
    let (progress, mut seen) = watch::channel(Answer::empty());
    let caller = Caller::new(Layout::KEY).with_progress(progress);
    let asking = tokio::spawn(async move { caller.ask(addr, &question()).await });
    let answer =
        seen.wait_for(|answer| answer.token_count() >= TOKENS_BEFORE).await.unwrap().clone();
    (asking, answer)
}

async fn resume(addr: SocketAddr, answer: &Answer) -> Answer {
    let mut answer = answer.clone();
    Caller::new(Layout::KEY).resume(addr, &question(), &mut answer).await;
    answer
}

fn assert_whole(answer: &Answer) {
    assert_eq!(answer.end, AnswerEnd::Done);
    assert!(answer.is_whole(Layout::MODEL, "", &question().prompt));
}

async fn text_of(addr: SocketAddr, path: &str) -> String {
    let reply = Client::new(addr, REPLY_WAIT_MS).send(Method::GET, path).await.unwrap();
    String::from_utf8_lossy(&reply.body).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_goes_on_after_its_entry_was_killed() {
    let mut cluster = start(true).await;
    let (asking, _) = begin(cluster.entry_addr(0)).await;
    cluster.kill_entry(0);
    let cut = asking.await.unwrap();
    assert_eq!(cut.end, AnswerEnd::Cut);
    assert_whole(&resume(cluster.entry_addr(1), &cut).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_goes_on_after_entry_and_engine_were_killed_together() {
    let mut cluster = start(true).await;
    let (asking, _) = begin(cluster.entry_addr(0)).await;
    cluster.kill_engine(0);
    cluster.kill_entry(0);
    let cut = asking.await.unwrap();
    assert_whole(&resume(cluster.entry_addr(2), &cut).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn two_entries_do_not_serve_one_answer() {
    let cluster = start(true).await;
    let (asking, early) = begin(cluster.entry_addr(0)).await;
    let second = resume(cluster.entry_addr(1), &early).await;
    let first = asking.await.unwrap();
    assert_whole(&second);
    assert_eq!(first.end, AnswerEnd::Cut);
    assert!(second.text.starts_with(&first.text));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_goes_on_under_a_new_holder() {
    let mut cluster = start(true).await;
    let (asking, early) = begin(cluster.entry_addr(0)).await;
    let holder = cluster.entry_position(early.replica_holder().unwrap()).unwrap();
    assert_ne!(holder, 0);
    cluster.kill_entry(holder);
    let answer = asking.await.unwrap();
    assert_whole(&answer);
    let next = cluster.entry_position(answer.replica_holder().unwrap()).unwrap();
    assert!(next != holder && next != 0);
    // The new holder has the whole answer.
    cluster.kill_entry(0);
    assert_whole(&resume(cluster.entry_addr(next), &early).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_entry_releases_nothing_after_it_was_replaced() {
    let cluster = start(true).await;
    let (asking, early) = begin(cluster.entry_addr(0)).await;
    cluster.entry(0).unwrap().freeze();
    let second = resume(cluster.entry_addr(1), &early).await;
    cluster.entry(0).unwrap().thaw();
    let first = asking.await.unwrap();
    assert_whole(&second);
    assert_eq!(first.end, AnswerEnd::Cut);
    assert!(second.text.starts_with(&first.text));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_finished_answer_is_read_again() {
    let mut cluster = start(true).await;
    let (asking, early) = begin(cluster.entry_addr(0)).await;
    let first = asking.await.unwrap();
    assert_whole(&first);
    let again = resume(cluster.entry_addr(1), &early).await;
    assert_whole(&again);
    assert_eq!(again.text, first.text);
    cluster.kill_entry(0);
    for position in 1..cluster.entry_count() {
        let again = resume(cluster.entry_addr(position), &early).await;
        assert_whole(&again);
        assert_eq!(again.text, first.text);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_went_away_comes_back() {
    let cluster = start(true).await;
    let (asking, early) = begin(cluster.entry_addr(0)).await;
    asking.abort();
    let _ = asking.await;
    assert_whole(&resume(cluster.entry_addr(0), &early).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cursor_that_fits_no_journal_is_refused() {
    let cluster = start(true).await;
    let (asking, early) = begin(cluster.entry_addr(0)).await;
    assert_whole(&asking.await.unwrap());
    let addr = cluster.entry_addr(1);
    let id = early.last_event_id.clone().unwrap();
    let cases = [
        ("nonsense".to_owned(), 400, "invalid_cursor"),
        (id.replacen("gen-", "gen-ff", 1), 404, "generation_not_found"),
        (id.replacen("/1-", "/2-", 1), 409, "cursor_conflict"),
    ];
    for (id, status, code) in cases {
        let answer = Answer { last_event_id: Some(id), ..early.clone() };
        let refused = resume(addr, &answer).await;
        assert_eq!(refused.end, AnswerEnd::Refused(status, code.to_owned()));
    }
    let mut other = early.clone();
    let question = GenerationRequest { prompt: "another plan".to_owned(), ..question() };
    Caller::new(Layout::KEY).resume(addr, &question, &mut other).await;
    assert_eq!(other.end, AnswerEnd::Refused(409, "request_mismatch".to_owned()));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_cuts_no_stream_off() {
    let cluster = start(true).await;
    let addr = cluster.entry_addr(0);
    let (asking, _) = begin(addr).await;
    cluster.entry(0).unwrap().terminate();
    // Readiness fails while the stream goes on; after that the address refuses connections.
    loop {
        let reply = Client::new(addr, REPLY_WAIT_MS).send(Method::GET, "/readyz").await;
        if !reply.is_ok_and(|reply| reply.status.is_success()) {
            break;
        }
        tokio::task::yield_now().await;
    }
    assert_whole(&asking.await.unwrap());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_without_peers_serves_and_counts_tokens_without_a_copy() {
    let cluster = start(false).await;
    let (asking, early) = begin(cluster.entry_addr(0)).await;
    assert_eq!(early.replica_holder(), Some("-"));
    assert_whole(&asking.await.unwrap());
    let metrics = text_of(cluster.entry_addr(0), "/metrics").await;
    let line = metrics.lines().find(|line| line.starts_with("journal_uncopied_tokens_total "));
    assert_eq!(line, Some("journal_uncopied_tokens_total 100"));
}
