//! Guards against a fake engine that does not schedule, cache, fence or cancel as its documentation page says.

mod common;

use common::{
    are_distinct, ask, chain_of, complete_in_time, open_stream, read_to_end, request_for,
    start_fast_engine, text_of, wait_for,
};
use stand::{Engine, EngineSettings, FencingPolicy, Platform, PlatformFault, PlatformSettings};
use std::{net::SocketAddr, time::Duration};
use upstream::{EngineError, EnginePool};
use web::{Client, Method, StatusCode};
use wire::engine::{
    CacheEventKind, CacheEventList, EngineLoad, EngineOrder, EngineRole, EngineState,
    LoadedVersion, OrderAction,
};

/// Number of tokens of an answer that does not end within a test.
const ENDLESS: u32 = 1_000_000;

fn client(addr: SocketAddr) -> Client {
    Client::new(addr, 30_000)
}

fn loaded_version(model: &str, version: &str, adapters: &[&str]) -> LoadedVersion {
    LoadedVersion {
        model: model.to_owned(),
        version: version.to_owned(),
        adapters: adapters.iter().map(|&adapter| adapter.to_owned()).collect(),
    }
}

async fn send_order(addr: SocketAddr, fencing_token: u64, action: OrderAction) -> StatusCode {
    let order = EngineOrder { fencing_token, actions: vec![action] };
    client(addr).send_json(Method::POST, "/orders", &order).await.unwrap().status
}

#[tokio::test]
async fn answers_with_several_tokens_per_step_are_valid_and_continue_from_given_tokens() {
    let settings = EngineSettings { tokens_per_step: 3, ..EngineSettings::default() };
    let engine = start_fast_engine(settings).await;
    let first = request_for("plan", 100);
    let tokens = ask(engine.addr(), &first).await;
    assert_eq!(chain_of(&first).verify(&text_of(&tokens)), Ok(100));
    let mut second = request_for("plan", 100);
    second.continue_token_ids = tokens[..40].iter().map(|token| token.token_id).collect();
    let rest = ask(engine.addr(), &second).await;
    assert_eq!(rest[0].index, 40);
    let joined = [&tokens[..40], &rest].concat();
    assert_eq!(chain_of(&first).verify(&text_of(&joined)), Ok(100));
    assert_eq!(engine.state().counters.decoded_tokens, 160);
    engine.kill().await;
}

#[tokio::test]
async fn a_continuation_with_all_tokens_finishes_immediately() {
    let engine = start_fast_engine(EngineSettings::default()).await;
    let mut continuation = request_for("plan", 3);
    continuation.continue_token_ids = vec![1, 2, 3];
    assert!(ask(engine.addr(), &continuation).await.is_empty());
    engine.kill().await;
}

#[tokio::test]
async fn a_request_of_a_lower_priority_number_overtakes_the_queue() {
    let engine =
        start_fast_engine(EngineSettings { batch_limit: 1, ..EngineSettings::default() }).await;
    let running = open_stream(engine.addr(), &request_for("running", ENDLESS)).await;
    wait_for(&engine, |_, running, _| running == 1).await;
    let mut late = request_for("late", ENDLESS);
    late.priority = 5;
    let _late = open_stream(engine.addr(), &late).await;
    wait_for(&engine, |_, _, waiting| waiting == 1).await;
    let mut urgent = open_stream(engine.addr(), &request_for("urgent", 5)).await;
    wait_for(&engine, |_, _, waiting| waiting == 2).await;
    drop(running);
    // If the request `late` ran first, it would occupy the batch for the rest of the test.
    let (tokens, end) = complete_in_time(read_to_end(&mut urgent)).await;
    assert_eq!(tokens.len(), 5);
    end.unwrap();
    engine.kill().await;
}

#[tokio::test]
async fn a_full_queue_refuses_requests() {
    let settings = EngineSettings { batch_limit: 1, queue_limit: 1, ..EngineSettings::default() };
    let engine = start_fast_engine(settings).await;
    let _running = open_stream(engine.addr(), &request_for("running", ENDLESS)).await;
    wait_for(&engine, |_, running, _| running == 1).await;
    let _waiting = open_stream(engine.addr(), &request_for("waiting", ENDLESS)).await;
    let refused = EnginePool::default().open(engine.addr(), &request_for("refused", 1)).await;
    assert!(matches!(refused, Err(EngineError::Refused(429))));
    engine.kill().await;
}

#[tokio::test]
async fn a_closed_connection_cancels_its_sequence_in_batch_and_queue() {
    let engine =
        start_fast_engine(EngineSettings { batch_limit: 1, ..EngineSettings::default() }).await;
    let running = open_stream(engine.addr(), &request_for("running", ENDLESS)).await;
    wait_for(&engine, |counters, running, _| running == 1 && counters.decoded_tokens > 0).await;
    let waiting = open_stream(engine.addr(), &request_for("waiting", ENDLESS)).await;
    wait_for(&engine, |_, _, waiting| waiting == 1).await;
    drop(waiting);
    wait_for(&engine, |counters, _, waiting| counters.cancelled == 1 && waiting == 0).await;
    drop(running);
    wait_for(&engine, |counters, running, _| counters.cancelled == 2 && running == 0).await;
    engine.kill().await;
}

#[tokio::test]
async fn a_closed_connection_cancels_the_prefill_of_its_sequence() {
    let settings = EngineSettings { token_gap_ms: 1, ..EngineSettings::default() };
    let settings = EngineSettings { prefill_us_per_token: 3_600_000_000, ..settings };
    let engine = Engine::start(settings).await.unwrap();
    let abandoned = open_stream(engine.addr(), &request_for("three words long", ENDLESS)).await;
    wait_for(&engine, |counters, _, _| counters.prefilled_tokens == 3).await;
    drop(abandoned);
    wait_for(&engine, |counters, running, _| counters.cancelled == 1 && running == 0).await;
    let counters = engine.state().counters;
    // The token that was being computed counts if a step ran before the connection closed.
    assert!(counters.prefilled_tokens <= 1, "{} tokens count", counters.prefilled_tokens);
    assert_eq!(counters.decoded_tokens, 0);
    // An empty context needs no prefill and does not wait for the cancelled one.
    assert_eq!(complete_in_time(ask(engine.addr(), &request_for("", 1))).await.len(), 1);
    engine.kill().await;
}

#[tokio::test]
async fn a_cached_prefix_is_not_computed_again() {
    let engine = start_fast_engine(EngineSettings::default()).await;
    let history = "tower 1 ".repeat(64);
    ask(engine.addr(), &request_for(&history, 1)).await;
    assert_eq!(engine.state().counters.prefilled_tokens, 128);
    ask(engine.addr(), &request_for(&format!("{history}and a funeral"), 1)).await;
    let counters = engine.state().counters;
    assert_eq!((counters.cache_hits, counters.cache_misses), (1, 1));
    assert_eq!((counters.cached_tokens, counters.prefilled_tokens), (128, 131));
    engine.kill().await;
}

#[tokio::test]
async fn the_prefix_cache_is_limited_and_reports_evicted_blocks() {
    let settings = EngineSettings {
        cache_blocks: 2,
        cache_event_delay_ms: 0,
        cache_event_loss_pct: 0,
        ..EngineSettings::default()
    };
    let engine = start_fast_engine(settings).await;
    for prompt in ["tower 1 ".repeat(64), "tower 2 ".repeat(64), "tower 1 ".repeat(64)] {
        ask(engine.addr(), &request_for(&prompt, 1)).await;
    }
    assert_eq!(engine.state().counters.cache_hits, 0);
    let reply = client(engine.addr()).send(Method::GET, "/cache_events?after=0").await.unwrap();
    let list: CacheEventList = reply.json().unwrap();
    let of_kind = |kind| list.events.iter().filter(|event| event.kind == kind).count();
    assert_eq!(of_kind(CacheEventKind::Stored), 6);
    assert_eq!(of_kind(CacheEventKind::Removed), 4);
    let numbers: Vec<u64> = list.events.iter().map(|event| event.number).collect();
    assert_eq!(numbers, (1..=10).collect::<Vec<u64>>());
    // The documentation page lists the blocks of this example.
    let page = include_str!("../../../docs/stand-ins.md");
    for event in &list.events[..2] {
        assert!(page.contains(&format!("`{}`", event.block)), "the page lacks {}", event.block);
    }
    engine.kill().await;
}

#[tokio::test]
async fn lost_cache_events_leave_gaps_and_delayed_ones_are_not_published_yet() {
    for (cache_event_loss_pct, cache_event_delay_ms, last_number) in
        [(100, 0, 2), (0, 3_600_000, 0)]
    {
        let settings = EngineSettings {
            cache_event_delay_ms,
            cache_event_loss_pct,
            ..EngineSettings::default()
        };
        let engine = start_fast_engine(settings).await;
        ask(engine.addr(), &request_for(&"tower 1 ".repeat(64), 1)).await;
        let reply = client(engine.addr()).send(Method::GET, "/cache_events?after=0").await.unwrap();
        let list: CacheEventList = reply.json().unwrap();
        assert_eq!(list, CacheEventList { last_number, events: Vec::new() });
        engine.kill().await;
    }
}

#[tokio::test]
async fn the_load_is_reported_with_a_delay() {
    let settings = EngineSettings { load_lag_ms: 3_600_000, ..EngineSettings::default() };
    let engine = start_fast_engine(settings).await;
    let _running = open_stream(engine.addr(), &request_for("running", ENDLESS)).await;
    wait_for(&engine, |_, running, _| running == 1).await;
    let reply = client(engine.addr()).send(Method::GET, "/load").await.unwrap();
    assert_eq!(reply.json::<EngineLoad>().unwrap().running, 0);
    engine.kill().await;
}

#[tokio::test]
async fn an_order_with_a_stale_fencing_token_is_handled_as_the_policy_says() {
    for (fencing, status, role) in [
        (FencingPolicy::Reject, StatusCode::CONFLICT, EngineRole::Long),
        (FencingPolicy::Ignore, StatusCode::OK, EngineRole::Short),
    ] {
        let engine =
            start_fast_engine(EngineSettings { fencing, ..EngineSettings::default() }).await;
        let long = OrderAction::SetRole { role: EngineRole::Long };
        assert_eq!(send_order(engine.addr(), 7, long).await, StatusCode::OK);
        let short = OrderAction::SetRole { role: EngineRole::Short };
        assert_eq!(send_order(engine.addr(), 6, short).await, status);
        let state = engine.state();
        assert_eq!((state.role, state.last_fencing_token), (role, 7));
        assert_eq!(state.counters.stale_orders, 1);
        engine.kill().await;
    }
}

#[tokio::test]
async fn an_order_without_the_key_is_refused_if_the_key_is_checked() {
    let settings =
        EngineSettings { order_key: Some("secret".to_owned()), ..EngineSettings::default() };
    let engine = start_fast_engine(settings).await;
    let action = OrderAction::SetRole { role: EngineRole::Long };
    assert_eq!(send_order(engine.addr(), 1, action.clone()).await, StatusCode::UNAUTHORIZED);
    let body = EngineOrder { fencing_token: 1, actions: vec![action] };
    let keyed = client(engine.addr()).with_bearer_key("secret");
    let reply = keyed.send_json(Method::POST, "/orders", &body).await.unwrap();
    assert_eq!(reply.json::<EngineState>().unwrap().role, EngineRole::Long);
    assert_eq!(engine.state().counters.unauthenticated_orders, 1);
    engine.kill().await;
}

#[tokio::test]
async fn only_loaded_versions_and_adapters_are_served() {
    let loaded = Some(vec![loaded_version("composer", "v1", &[])]);
    let engine = start_fast_engine(EngineSettings { loaded, ..EngineSettings::default() }).await;
    let mut adapted = request_for("plan", 1);
    adapted.adapter = "tower".to_owned();
    let refused = EnginePool::default().open(engine.addr(), &adapted).await;
    assert!(matches!(refused, Err(EngineError::Refused(404))));
    send_order(engine.addr(), 1, OrderAction::Load(loaded_version("composer", "v1", &["tower"])))
        .await;
    assert_eq!(ask(engine.addr(), &adapted).await.len(), 1);
    let versions = vec![loaded_version("composer", "v2", &[])];
    send_order(engine.addr(), 1, OrderAction::SetLoaded { versions: versions.clone() }).await;
    assert_eq!(engine.state().loaded, Some(versions));
    let refused = EnginePool::default().open(engine.addr(), &request_for("plan", 1)).await;
    assert!(matches!(refused, Err(EngineError::Refused(404))));
    engine.kill().await;
}

#[tokio::test]
async fn a_version_is_served_only_after_its_weights_are_transferred() {
    let settings = PlatformSettings {
        weight_size_bytes: 1_000,
        weight_rate_bytes_per_s: 1_000_000,
        ..PlatformSettings::default()
    };
    let platform = Platform::start(settings).await.unwrap();
    platform.inject_fault(PlatformFault::Down);
    let settings = EngineSettings {
        loaded: Some(Vec::new()),
        weight_store: Some(platform.addr()),
        ..EngineSettings::default()
    };
    let engine = start_fast_engine(settings).await;
    let wanted = loaded_version("composer", "v1", &["tower"]);
    for _ in 0..2 {
        // The second order changes nothing, because the version is already being loaded.
        send_order(engine.addr(), 1, OrderAction::Load(wanted.clone())).await;
        assert_eq!(engine.state().loading, vec![wanted.clone()]);
    }
    let refused = EnginePool::default().open(engine.addr(), &request_for("plan", 1)).await;
    assert!(matches!(refused, Err(EngineError::Refused(404))));
    platform.inject_fault(PlatformFault::Restore);
    complete_in_time(async {
        while engine.state().loaded != Some(vec![wanted.clone()]) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
    assert!(engine.state().loading.is_empty());
    assert_eq!(platform.counts().weights, 1);
    engine.kill().await;
    platform.close().await;
}

#[tokio::test]
async fn two_engines_with_different_seeds_sample_different_answers() {
    let mut last_tokens = Vec::new();
    for seed in 1..4 {
        let engine = start_fast_engine(EngineSettings { seed, ..EngineSettings::default() }).await;
        let tokens = ask(engine.addr(), &request_for("plan", 20)).await;
        last_tokens.push(u64::from(tokens[19].token_id));
        engine.kill().await;
    }
    assert!(are_distinct(&last_tokens));
}
