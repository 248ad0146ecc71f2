//! Open-loop load: requests are sent at a given rate, whether earlier ones have been answered or not.

use crate::{
    caller::{AnswerEnd, Caller, GenerationRequest},
    cluster::Layout,
};
use rand::{RngExt, rngs::SmallRng};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::task::JoinSet;

/// Rate and duration of an open-loop load, and its retries.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenLoad {
    /// Mean arrival rate. Arrivals form a Poisson process: the times between them are exponentially distributed.
    pub requests_per_s: f64,
    /// Time during which requests arrive.
    pub duration_ms: u64,
    /// Most retries of a rejected request, each after `RETRY_PAUSE_MS`.
    pub retries: u32,
}

/// Pause before a retry. It is shorter than `Retry-After` asks for, since some clients ignore that header.
const RETRY_PAUSE_MS: u64 = 200;

/// Result of one request, over all its attempts.
#[derive(Clone, Debug)]
pub(super) struct RequestResult {
    /// Time from the start of the first attempt to the first token; `None` without a token.
    pub first_token_ms: Option<u64>,
    /// Time from the start of the first attempt to the end of the last one.
    pub total_ms: u64,
    /// Time from the start of the load to the end of the last attempt.
    pub ended_at_ms: u64,
    /// How the last attempt ended.
    pub end: AnswerEnd,
    /// Whether the answer contains exactly the tokens of its own request. Always true if `end` is not `Done`, for
    /// example after a rejection.
    pub is_intact: bool,
}

impl RequestResult {
    /// Returns whether an intact answer arrived completely within `deadline_ms` after the start of the first attempt.
    pub fn is_complete_within(&self, deadline_ms: u64) -> bool {
        self.end == AnswerEnd::Done && self.is_intact && self.total_ms <= deadline_ms
    }
}

impl OpenLoad {
    /// Sends the requests that `make_request` returns to random entries and waits for all answers.
    pub async fn run(
        self,
        addrs: &[SocketAddr],
        rng: &mut SmallRng,
        mut make_request: impl FnMut(u64, &mut SmallRng) -> GenerationRequest,
    ) -> Vec<RequestResult> {
        let start = Instant::now();
        let mut send_at_s = 0.0;
        let mut results = JoinSet::new();
        for number in 0.. {
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            send_at_s -= uniform.ln() / self.requests_per_s;
            if send_at_s * 1_000.0 > self.duration_ms as f64 {
                break;
            }
            let send_at = start + Duration::from_secs_f64(send_at_s);
            tokio::time::sleep_until(send_at.into()).await;
            let addr = addrs[rng.random_range(0..addrs.len())];
            results.spawn(send_with_retries(start, addr, make_request(number, rng), self.retries));
        }
        results.join_all().await
    }
}

/// Sends a request, and again after a rejection (status 429 or 503), at most `retries` more times.
async fn send_with_retries(
    load_start: Instant,
    addr: SocketAddr,
    request: GenerationRequest,
    retries: u32,
) -> RequestResult {
    let caller = Caller::new(Layout::KEY);
    let start = Instant::now();
    let mut retries_done = 0;
    loop {
        let last_attempt_start_ms = start.elapsed().as_millis() as u64;
        let answer = caller.ask(addr, &request).await;
        let is_rejected = matches!(answer.end, AnswerEnd::Refused(429 | 503, _));
        if is_rejected && retries_done < retries {
            retries_done += 1;
            tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
            continue;
        }
        let is_done = answer.end == AnswerEnd::Done;
        return RequestResult {
            first_token_ms: answer.first_token_ms.map(|wait_ms| last_attempt_start_ms + wait_ms),
            ended_at_ms: load_start.elapsed().as_millis() as u64,
            total_ms: start.elapsed().as_millis() as u64,
            is_intact: !is_done || answer.is_whole(&request.model, "", &request.prompt),
            end: answer.end,
        };
    }
}
