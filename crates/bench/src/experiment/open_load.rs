//! Load at a given rate that does not wait for answers.

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

/// Load at a given rate.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenLoad {
    /// Mean rate; the times between requests are exponential.
    pub requests_per_s: f64,
    /// Length of the load.
    pub duration_ms: u64,
    /// Times that a caller tries again after a rejection, each after `RETRY_PAUSE_MS`.
    pub retries: u32,
}

/// Pause of a caller before it tries again: shorter than `Retry-After` asks for, as an impatient caller does it.
const RETRY_PAUSE_MS: u64 = 200;

/// What became of one request.
#[derive(Clone, Debug)]
pub(super) struct Shot {
    /// Time from the first try to the first token; `None` without one.
    pub first_token_ms: Option<u64>,
    /// Time from the first try to the end of the answer.
    pub total_ms: u64,
    /// Time from the start of the load to the end of the answer.
    pub ended_at_ms: u64,
    /// How the last try ended.
    pub end: AnswerEnd,
    /// Whether an answer that ended properly is whole and unmixed; true for rejections.
    pub is_intact: bool,
}

impl Shot {
    /// Whether the answer arrived within the time.
    pub fn is_good(&self, deadline_ms: u64) -> bool {
        self.end == AnswerEnd::Done && self.is_intact && self.total_ms <= deadline_ms
    }
}

impl OpenLoad {
    /// Sends questions to random entries and waits for all answers.
    pub async fn run(
        self,
        addrs: &[SocketAddr],
        rng: &mut SmallRng,
        mut question: impl FnMut(u64, &mut SmallRng) -> GenerationRequest,
    ) -> Vec<Shot> {
        let start = Instant::now();
        let mut at_s = 0.0;
        let mut shots = JoinSet::new();
        for number in 0.. {
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            at_s -= uniform.ln() / self.requests_per_s;
            if at_s * 1_000.0 > self.duration_ms as f64 {
                break;
            }
            let at = start + Duration::from_secs_f64(at_s);
            tokio::time::sleep_until(at.into()).await;
            let addr = addrs[rng.random_range(0..addrs.len())];
            shots.spawn(shoot(start, addr, question(number, rng), self.retries));
        }
        shots.join_all().await
    }
}

async fn shoot(
    load_start: Instant,
    addr: SocketAddr,
    question: GenerationRequest,
    retries: u32,
) -> Shot {
    let caller = Caller::new(Layout::KEY);
    let start = Instant::now();
    let mut tries = 0;
    loop {
        let before_ms = start.elapsed().as_millis() as u64;
        let answer = caller.ask(addr, &question).await;
        let is_rejected = matches!(answer.end, AnswerEnd::Refused(429 | 503, _));
        if is_rejected && tries < retries {
            tries += 1;
            tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
            continue;
        }
        let is_done = answer.end == AnswerEnd::Done;
        return Shot {
            first_token_ms: answer.first_token_ms.map(|wait_ms| before_ms + wait_ms),
            ended_at_ms: load_start.elapsed().as_millis() as u64,
            total_ms: start.elapsed().as_millis() as u64,
            is_intact: !is_done || answer.is_whole(&question.model, "", &question.prompt),
            end: answer.end,
        };
    }
}
