//! Streams that measure the delay of each token.

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

/// Largest event that is accepted.
const EVENT_SIZE_BYTES: usize = 64 * 1024;

/// Start of a token's time in an event.
const TEXT: &str = "\"text\":\"";

/// Where the streams are opened.
#[derive(Clone, Copy, Debug)]
pub(in crate::experiment) enum Target {
    /// At the engine.
    Engine(SocketAddr),
    /// At the daemon.
    Entry(SocketAddr),
}

/// Number of streams and time between their tokens.
#[derive(Clone, Copy, Debug)]
pub(in crate::experiment) struct Load {
    pub streams: usize,
    pub gap_ms: u64,
}

/// What the streams measured.
#[derive(Debug)]
pub(in crate::experiment) struct Outcome {
    /// Delay of each token.
    pub delays_us: Vec<u64>,
}

impl Load {
    /// Runs the streams for about `duration_s`.
    pub async fn run(self, target: Target, clock: Instant, duration_s: u64) -> Outcome {
        let count = duration_s * 1_000 / self.gap_ms;
        let mut streams = JoinSet::new();
        for number in 0..self.streams as u64 {
            // The starts are spread over one gap, as independent callers' are.
            let offset = Duration::from_micros(number * self.gap_ms * 1_000 / self.streams as u64);
            streams.spawn(async move {
                tokio::time::sleep(offset).await;
                read(target, self.gap_ms, count, clock).await.unwrap_or_default()
            });
        }
        let delays_us = streams.join_all().await.into_iter().flatten().collect();
        Outcome { delays_us }
    }
}

async fn read(target: Target, gap_ms: u64, count: u64, clock: Instant) -> Option<Vec<u64>> {
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
        "max_tokens": count,
        "stream": true,
    });
    let request = Request::post("/v1/completions")
        .header(HOST, addr.to_string())
        .header(AUTHORIZATION, format!("Bearer {}", Layout::KEY))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body.to_string())))
        .ok()?;
    let mut body = sender.send_request(request).await.ok()?.into_body();
    let mut decoder = Decoder::new(EVENT_SIZE_BYTES);
    let mut delays = Vec::with_capacity(count as usize);
    while let Some(frame) = body.frame().await {
        let frame = frame.ok()?;
        let now_us = clock.elapsed().as_micros() as u64;
        decoder.feed(frame.data_ref()?).ok()?;
        while let Some(event) = decoder.next_event().ok()? {
            if let Some(sent_us) = sent_us(&event.data) {
                delays.push(now_us.saturating_sub(sent_us));
            }
        }
    }
    Some(delays)
}

/// Time at which the engine sent the token of an event.
fn sent_us(data: &str) -> Option<u64> {
    let (_, rest) = data.split_once(TEXT)?;
    rest.split('"').next()?.parse().ok()
}
