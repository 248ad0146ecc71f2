//! Fake engine for delay measurements, which writes the send time into each token.

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

/// Largest accepted request body.
const MAX_REQUEST_BYTES: usize = 64 * 1024;

/// Events that are buffered for a slow reader before the stream waits for it.
const MAX_PENDING_EVENTS: usize = 64;

/// Batch limit that the engine reports. It is never reached.
const BATCH_LIMIT: u32 = 100_000;

/// Engine that runs in this process. The text of each token is the time at which it was sent, in microseconds since
/// `epoch`, so that a caller in the same process can compute its delay. The prompt of a request is the time between two
/// tokens in milliseconds.
#[derive(Debug)]
pub(in crate::experiment) struct TimestampEngine {
    addr: SocketAddr,
    epoch: Instant,
    /// Keeps the server running until the engine is dropped.
    _stop: watch::Sender<bool>,
}

#[derive(Debug)]
struct TimestampHandler {
    epoch: Instant,
}

impl TimestampEngine {
    /// Starts the engine at a free port of the loopback address.
    pub async fn start() -> IoResult<Self> {
        let server = Server::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let addr = server.local_addr()?;
        let epoch = Instant::now();
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(server.run(Arc::new(TimestampHandler { epoch }), stopped));
        Ok(Self { addr, epoch, _stop: stop })
    }

    /// Returns the address of the engine.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the instant from which the times of tokens count.
    pub fn epoch(&self) -> Instant {
        self.epoch
    }
}

impl Handler for TimestampHandler {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        if let Some(poll_response) = poll_response(request.uri().path()) {
            return poll_response;
        }
        let body = web::read_body(request.into_body(), MAX_REQUEST_BYTES).await;
        let value: Value = serde_json::from_slice(&body.unwrap_or_default()).unwrap_or_default();
        let Some(gap_ms) = value["prompt"].as_str().and_then(|gap| gap.parse().ok()) else {
            let mut response = Response::new(web::empty());
            *response.status_mut() = StatusCode::BAD_REQUEST;
            return response;
        };
        let request_id = value["request_id"].as_str().unwrap_or_default().to_owned();
        let count = value["max_tokens"].as_u64().unwrap_or(0) as u32;
        let (sender, body) = ChannelBody::new(MAX_PENDING_EVENTS);
        let epoch = self.epoch;
        tokio::spawn(async move {
            let mut token_timer = tokio::time::interval(Duration::from_millis(gap_ms));
            token_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
            for index in 0..count {
                token_timer.tick().await;
                let event = token_event(&request_id, index, epoch.elapsed().as_micros());
                if sender.send(event).await.is_err() {
                    return;
                }
            }
            let _ = sender.send(finish_event(&request_id, count)).await;
        });
        Response::new(body.boxed_unsync())
    }
}

/// Returns the response if daemons poll `path`, or else `None`. The reported load always leaves capacity, so that
/// daemons queue no requests.
fn poll_response(path: &str) -> Option<Response<ResponseBody>> {
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

fn token_event(request_id: &str, index: u32, time_us: u128) -> Bytes {
    encode(&RawEngineEvent {
        request_id: request_id.into(),
        index: Some(index),
        token_id: Some(index),
        text: Some(time_us.to_string().into()),
        ..RawEngineEvent::default()
    })
}

fn finish_event(request_id: &str, count: u32) -> Bytes {
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
