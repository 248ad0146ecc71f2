//! Opens concurrent streams and measures the delay of each token from engine to caller.

use crate::cluster::Layout;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request,
    client::conn::http1,
    header::{AUTHORIZATION, CONTENT_TYPE, HOST},
};
use hyper_util::rt::TokioIo;
use serde_json::json;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::{net::TcpStream, task::JoinSet};
use wire::sse::Decoder;

/// Largest accepted event.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Start of the JSON field that holds the time of a token.
const TEXT_FIELD_START: &str = "\"text\":\"";

/// Server at which the streams are opened.
#[derive(Clone, Copy, Debug)]
pub(in crate::experiment) enum Target {
    /// Engine at this address.
    Engine(SocketAddr),
    /// Daemon at this address.
    Entry(SocketAddr),
}

/// Number of streams and time between their tokens.
#[derive(Clone, Copy, Debug)]
pub(in crate::experiment) struct StreamLoad {
    /// Number of concurrent streams.
    pub streams: usize,
    /// Time between two tokens of a stream.
    pub gap_ms: u64,
}

/// Delays that the streams measured.
#[derive(Debug)]
pub(in crate::experiment) struct StreamDelays {
    /// Delay of each token from its sending by the engine to its arrival, in no particular order.
    pub delays_us: Vec<u64>,
}

impl StreamLoad {
    /// Runs the streams for about `duration_s` and returns their delays, or none for a stream that fails. `epoch` is
    /// the instant from which the engine counts the times of tokens.
    pub async fn run(self, target: Target, epoch: Instant, duration_s: u64) -> StreamDelays {
        let token_count = duration_s * 1_000 / self.gap_ms;
        let mut streams = JoinSet::new();
        for number in 0..self.streams as u64 {
            // The streams start spread over the time between two tokens, since independent callers do not start at
            // once.
            let offset = Duration::from_micros(number * self.gap_ms * 1_000 / self.streams as u64);
            streams.spawn(async move {
                tokio::time::sleep(offset).await;
                read_stream(target, self.gap_ms, token_count, epoch).await.unwrap_or_default()
            });
        }
        let delays_us = streams.join_all().await.into_iter().flatten().collect();
        StreamDelays { delays_us }
    }
}

/// Opens a stream and returns the delays of its tokens; `None` if it fails.
async fn read_stream(
    target: Target,
    gap_ms: u64,
    token_count: u64,
    epoch: Instant,
) -> Option<Vec<u64>> {
    let (Target::Engine(addr) | Target::Entry(addr)) = target;
    let stream = TcpStream::connect(addr).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    let body = json!({
        "model": Layout::MODEL,
        "version": Layout::VERSION,
        "request_id": "direct",
        "prompt": gap_ms.to_string(),
        "max_tokens": token_count,
        "stream": true,
    });
    let request = Request::post("/v1/completions")
        .header(HOST, addr.to_string())
        .header(AUTHORIZATION, format!("Bearer {}", Layout::KEY))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body.to_string())))
        .ok()?;
    let mut body = sender.send_request(request).await.ok()?.into_body();
    let mut decoder = Decoder::new(MAX_EVENT_BYTES);
    let mut delays = Vec::with_capacity(token_count as usize);
    while let Some(frame) = body.frame().await {
        let frame = frame.ok()?;
        let now_us = epoch.elapsed().as_micros() as u64;
        decoder.feed(frame.data_ref()?).ok()?;
        while let Some(event) = decoder.next_event().ok()? {
            if let Some(sent_us) = sent_us(&event.data) {
                delays.push(now_us.saturating_sub(sent_us));
            }
        }
    }
    Some(delays)
}

/// Returns the time in microseconds at which the engine sent the token of an event; `None` for other events.
fn sent_us(data: &str) -> Option<u64> {
    let (_, rest) = data.split_once(TEXT_FIELD_START)?;
    rest.split('"').next()?.parse().ok()
}
