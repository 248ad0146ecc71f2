//! Callers that wait for whole answers.

use crate::cluster::Layout;
use rand::{RngExt, rngs::SmallRng};
use serde_json::{Value, json};
use stand::TokenChain;
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;
use web::{Client, ClientError, Method, Reply};

/// Tokens of each answer.
const TOKENS: u64 = 50;

/// Longest wait for an answer.
const WAIT_MS: u64 = 30_000;

/// Pause after an answer that did not arrive.
const PAUSE_MS: u64 = 100;

/// How a request for a whole answer ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum WholeEnd {
    /// With the whole answer to its own request.
    Whole,
    /// With a typed error, or without any answer because the connection broke.
    Error(String),
    /// With an answer that is not whole or not its own.
    Broken,
}

/// Asks until `end`.
pub(super) async fn ask_whole_until(
    addrs: Vec<SocketAddr>,
    number: u64,
    mut rng: SmallRng,
    end: Instant,
) -> Vec<WholeEnd> {
    let mut ends = Vec::new();
    while Instant::now() < end {
        let prompt = format!("whole {number} question {}", ends.len());
        let addr = addrs[rng.random_range(0..addrs.len())];
        let client = Client::new(addr, WAIT_MS).with_bearer_key(Layout::KEY);
        let body = json!({"model": Layout::MODEL, "prompt": prompt, "max_tokens": TOKENS});
        let reply = client.send_json(Method::POST, "/v1/completions", &body).await;
        let outcome = outcome(reply, &prompt);
        if outcome != WholeEnd::Whole {
            tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
        }
        ends.push(outcome);
    }
    ends
}

fn outcome(reply: Result<Reply, ClientError>, prompt: &str) -> WholeEnd {
    let Ok(reply) = reply else { return WholeEnd::Error("no_answer".to_owned()) };
    let Ok(value) = reply.json::<Value>() else { return WholeEnd::Broken };
    if !reply.status.is_success() {
        return match value["error"]["code"].as_str() {
            Some(code) => WholeEnd::Error(code.to_owned()),
            None => WholeEnd::Broken,
        };
    }
    let text = value["choices"][0]["text"].as_str().unwrap_or_default();
    let count = TokenChain::new(Layout::MODEL, Layout::VERSION, "", prompt).verify(text);
    let told = value["usage"]["completion_tokens"].as_u64();
    match count {
        Ok(count) if count > 0 && told == Some(count as u64) => WholeEnd::Whole,
        _ => WholeEnd::Broken,
    }
}
