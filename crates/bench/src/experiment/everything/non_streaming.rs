//! Callers that request generations without streaming, so that the whole answer arrives in one response.

use crate::cluster::Layout;
use rand::{RngExt, rngs::SmallRng};
use serde_json::{Value, json};
use stand::TokenChain;
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;
use web::{Client, ClientError, Method, Reply};

/// Most tokens of each answer.
const TOKENS: u64 = 50;

/// Time for which a caller waits for an answer.
const ANSWER_TIMEOUT_MS: u64 = 30_000;

/// Pause of a caller after a request that got no complete answer.
const RETRY_PAUSE_MS: u64 = 100;

/// Outcome of a request without streaming.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum NonStreamingOutcome {
    /// Complete answer to the request.
    Complete,
    /// Typed error with this code, or `no_answer` if no response arrived.
    Error(String),
    /// Response that is incomplete, belongs to another request or is not in the expected format.
    Broken,
}

/// Sends one request after another to random entries until `end`, and returns their outcomes.
pub(super) async fn ask_non_streaming_until(
    addrs: Vec<SocketAddr>,
    number: u64,
    mut rng: SmallRng,
    end: Instant,
) -> Vec<NonStreamingOutcome> {
    let mut outcomes = Vec::new();
    while Instant::now() < end {
        let prompt = format!("whole {number} question {}", outcomes.len());
        let addr = addrs[rng.random_range(0..addrs.len())];
        let client = Client::new(addr, ANSWER_TIMEOUT_MS).with_bearer_key(Layout::KEY);
        let body = json!({"model": Layout::MODEL, "prompt": prompt, "max_tokens": TOKENS});
        let reply = client.send_json(Method::POST, "/v1/completions", &body).await;
        let outcome = outcome_of(reply, &prompt);
        if outcome != NonStreamingOutcome::Complete {
            tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
        }
        outcomes.push(outcome);
    }
    outcomes
}

/// Verifies the response to a request with `prompt`.
fn outcome_of(reply: Result<Reply, ClientError>, prompt: &str) -> NonStreamingOutcome {
    let Ok(reply) = reply else { return NonStreamingOutcome::Error("no_answer".to_owned()) };
    let Ok(value) = reply.json::<Value>() else { return NonStreamingOutcome::Broken };
    if !reply.status.is_success() {
        return match value["error"]["code"].as_str() {
            Some(code) => NonStreamingOutcome::Error(code.to_owned()),
            None => NonStreamingOutcome::Broken,
        };
    }
    let text = value["choices"][0]["text"].as_str().unwrap_or_default();
    let count = TokenChain::new(Layout::MODEL, Layout::VERSION, "", prompt).verify(text);
    let reported_count = value["usage"]["completion_tokens"].as_u64();
    match count {
        Ok(count) if count > 0 && reported_count == Some(count as u64) => {
            NonStreamingOutcome::Complete
        }
        _ => NonStreamingOutcome::Broken,
    }
}
