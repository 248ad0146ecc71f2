//! Engine whose tokens carry the time at which they were sent.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Request, Response, body::Incoming};
use serde_json::Value;
use std::{
    io::Result as IoResult,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{sync::watch, time::MissedTickBehavior};
use web::{ChannelBody, Handler, ResponseBody, Server, StatusCode};
use wire::{
    engine::{CacheEventList, EngineLoad, EngineState, RawEngineEvent, Usage},
    sse,
};

/// Largest accepted request.
const REQUEST_SIZE_BYTES: usize = 64 * 1024;

/// Events that may wait for a slow reader.
const PENDING_EVENTS: usize = 64;

/// Sequences that the engine says it can run at a time.
const BATCH_LIMIT: u32 = 100_000;

/// Engine in this process. The text of each token is its time of sending in microseconds, so that a caller on the
/// same clock knows its delay. The prompt is the gap between tokens in milliseconds.
#[derive(Debug)]
pub(in crate::experiment) struct ClockEngine {
    addr: SocketAddr,
    clock: Instant,
    _stop: watch::Sender<bool>,
}

#[derive(Debug)]
struct ClockHandler {
    clock: Instant,
}

impl ClockEngine {
    pub async fn start() -> IoResult<Self> {
        let server = Server::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let addr = server.local_addr()?;
        let clock = Instant::now();
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(server.run(Arc::new(ClockHandler { clock }), stopped));
        Ok(Self { addr, clock, _stop: stop })
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The instant that times count from.
    pub fn clock(&self) -> Instant {
        self.clock
    }
}

impl Handler for ClockHandler {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        if let Some(report) = report(request.uri().path()) {
            return report;
        }
        let body = web::read_body(request.into_body(), REQUEST_SIZE_BYTES).await;
        let value: Value = serde_json::from_slice(&body.unwrap_or_default()).unwrap_or_default();
        let Some(gap_ms) = value["prompt"].as_str().and_then(|gap| gap.parse().ok()) else {
            let mut response = Response::new(web::empty());
            *response.status_mut() = StatusCode::BAD_REQUEST;
            return response;
        };
        let request_id = value["request_id"].as_str().unwrap_or_default().to_owned();
        let count = value["max_tokens"].as_u64().unwrap_or(0) as u32;
        let (sender, body) = ChannelBody::new(PENDING_EVENTS);
        let clock = self.clock;
        tokio::spawn(async move {
            let mut ticks = tokio::time::interval(Duration::from_millis(gap_ms));
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            for index in 0..count {
                ticks.tick().await;
                let event = token(&request_id, index, clock.elapsed().as_micros());
                if sender.send(event).await.is_err() {
                    return;
                }
            }
            let _ = sender.send(finish(&request_id, count)).await;
        });
        Response::new(body.boxed_unsync())
    }
}

/// Answer to a poll: an engine that never fills up, so that daemons queue nothing.
fn report(path: &str) -> Option<Response<ResponseBody>> {
    let load = EngineLoad { batch_limit: BATCH_LIMIT, ..EngineLoad::default() };
    match path {
        "/cache_events" => Some(web::json(StatusCode::OK, &CacheEventList::default())),
        "/load" => Some(web::json(StatusCode::OK, &load)),
        "/state" => {
            let state = EngineState { load, ..EngineState::default() };
            Some(web::json(StatusCode::OK, &state))
        }
        _ => None,
    }
}

fn token(request_id: &str, index: u32, time_us: u128) -> Bytes {
    encode(&RawEngineEvent {
        request_id: request_id.into(),
        index: Some(index),
        token_id: Some(index),
        text: Some(time_us.to_string().into()),
        ..RawEngineEvent::default()
    })
}

fn finish(request_id: &str, count: u32) -> Bytes {
    let event = RawEngineEvent {
        request_id: request_id.into(),
        finish_reason: Some("length".into()),
        usage: Some(Usage { prompt_tokens: 1, completion_tokens: count }),
        ..RawEngineEvent::default()
    };
    let mut bytes = encode(&event).to_vec();
    bytes.extend_from_slice(sse::DONE);
    bytes.into()
}

fn encode(event: &RawEngineEvent<'_>) -> Bytes {
    sse::encode(None, &serde_json::to_vec(event).unwrap_or_default())
}
