//! Guards against engine faults without the documented effect. Experiments would then not test what they claim.

mod common;

use common::{
    ask, chain_of, complete_in_time, open_stream, read_to_end, request_for, start_fast_engine,
    text_of, wait_for,
};
use stand::{Engine, EngineFault, EngineSettings};
use std::time::Duration;
use upstream::{EngineError, EnginePool, EngineStream};
use web::ClientError;
use web::{Client, Method, StatusCode};
use wire::engine::EngineState;

/// Number of tokens of an answer that does not end within a test.
const ENDLESS: u32 = 1_000_000;

/// Starts an engine and opens an endless stream that has delivered its first token.
async fn engine_with_stream() -> (Engine, EngineStream) {
    let engine = start_fast_engine(EngineSettings::default()).await;
    let mut stream = open_stream(engine.addr(), &request_for("running", ENDLESS)).await;
    stream.next().await.unwrap();
    (engine, stream)
}

/// Checks that an engine answers a new request completely.
async fn assert_serving(engine: &Engine) {
    let full_request = request_for("after", 10);
    let tokens = complete_in_time(ask(engine.addr(), &full_request)).await;
    assert_eq!(chain_of(&full_request).verify(&text_of(&tokens)), Ok(10));
}

#[tokio::test]
async fn reset_ends_streams_with_an_error_and_cancels_them() {
    let (engine, mut stream) = engine_with_stream().await;
    engine.inject_fault(EngineFault::Reset);
    let (_, end) = complete_in_time(read_to_end(&mut stream)).await;
    assert!(matches!(end, Err(EngineError::Client(ClientError::Transport(_)))));
    wait_for(&engine, |counters, running, _| counters.cancelled == 1 && running == 0).await;
    assert_serving(&engine).await;
    engine.kill().await;
}

#[tokio::test]
async fn a_refusing_engine_resets_new_requests_until_it_is_restored() {
    let engine = start_fast_engine(EngineSettings::default()).await;
    engine.inject_fault(EngineFault::Refuse);
    let refused = EnginePool::default().open(engine.addr(), &request_for("new", 1)).await;
    assert!(matches!(refused, Err(EngineError::Client(ClientError::Transport(_)))));
    engine.inject_fault(EngineFault::Restore);
    assert_serving(&engine).await;
    engine.kill().await;
}

#[tokio::test]
async fn a_silent_connection_delivers_nothing_while_the_engine_generates_and_new_ones_work() {
    let (engine, mut stream) = engine_with_stream().await;
    engine.inject_fault(EngineFault::SilenceExisting);
    let generated = engine.state().counters.decoded_tokens;
    assert_serving(&engine).await;
    wait_for(&engine, |counters, _, _| counters.decoded_tokens > generated + 500).await;
    // Tokens sent before the fault may still arrive, but tokens generated after it may not.
    let mut received = 0;
    while let Ok(event) = tokio::time::timeout(Duration::from_millis(50), stream.next()).await {
        event.unwrap();
        received += 1;
    }
    assert!(received <= generated + 16, "{received} tokens arrived, {generated} were generated");
    engine.kill().await;
}

#[tokio::test]
async fn a_silent_engine_still_accepts_control_requests() {
    let engine = start_fast_engine(EngineSettings::default()).await;
    let client = Client::new(engine.addr(), 30_000);
    for fault in [EngineFault::Silence, EngineFault::Restore] {
        let reply = client.send_json(Method::PUT, "/control/fault", &fault).await.unwrap();
        assert_eq!(reply.status, StatusCode::NO_CONTENT);
    }
    assert_serving(&engine).await;
    engine.kill().await;
}

#[tokio::test]
async fn a_frozen_engine_resumes_after_it_wakes() {
    let engine = start_fast_engine(EngineSettings::default()).await;
    let full_request = request_for("frozen", 200);
    let mut stream = open_stream(engine.addr(), &full_request).await;
    engine.inject_fault(EngineFault::Freeze);
    let client = Client::new(engine.addr(), 30_000);
    let frozen_at = client.send(Method::GET, "/control/state").await.unwrap();
    let frozen_at = frozen_at.json::<EngineState>().unwrap().counters.decoded_tokens;
    tokio::time::sleep(Duration::from_millis(50)).await;
    // A step that was due when the engine froze may still run.
    assert!(engine.state().counters.decoded_tokens <= frozen_at + 1);
    engine.inject_fault(EngineFault::Wake);
    let (tokens, end) = complete_in_time(read_to_end(&mut stream)).await;
    assert_eq!(end.unwrap(), 200);
    assert_eq!(chain_of(&full_request).verify(&text_of(&tokens)), Ok(200));
    engine.kill().await;
}

#[tokio::test]
async fn a_malformed_event_is_not_json() {
    let (engine, mut stream) = engine_with_stream().await;
    engine.inject_fault(EngineFault::Malformed { events: 1 });
    let (_, end) = complete_in_time(read_to_end(&mut stream)).await;
    assert!(matches!(end, Err(EngineError::Json(_))));
    engine.kill().await;
}

#[tokio::test]
async fn a_crossed_event_belongs_to_another_request() {
    let (engine, mut stream) = engine_with_stream().await;
    engine.inject_fault(EngineFault::Cross { events: 1 });
    let (_, end) = complete_in_time(read_to_end(&mut stream)).await;
    assert!(matches!(end, Err(EngineError::WrongRequestId)));
    engine.kill().await;
}

#[tokio::test]
async fn duplicate_and_skipped_events_break_the_order_of_the_indexes() {
    for (fault, expected) in [
        (EngineFault::Duplicate { events: 2 }, vec![0, 0, 1, 1, 2, 3]),
        (EngineFault::Skip { events: 2 }, vec![2, 3]),
    ] {
        let engine = start_fast_engine(EngineSettings::default()).await;
        engine.inject_fault(fault);
        let tokens = ask(engine.addr(), &request_for("plan", 4)).await;
        let indexes: Vec<u32> = tokens.iter().map(|token| token.index).collect();
        assert_eq!(indexes, expected);
        engine.kill().await;
    }
}

#[tokio::test]
async fn a_leaving_engine_counts_the_requests_that_still_arrive() {
    let engine = start_fast_engine(EngineSettings::default()).await;
    engine.inject_fault(EngineFault::Leave);
    assert_serving(&engine).await;
    let state = engine.state();
    assert!(state.load.is_leaving);
    assert_eq!(state.counters.requests_while_leaving, 1);
    engine.kill().await;
}
