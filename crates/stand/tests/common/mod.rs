//! Requests and waits that the tests of the fakes share.
#![allow(dead_code)]

use base::HashSet;
use stand::{Engine, EngineSettings, TokenChain};
use std::{net::SocketAddr, time::Duration};
use upstream::{EngineError, EnginePool, EngineStream};
use wire::engine::{EngineCounters, EngineEvent, EngineRequest};

/// Timeout of `wait_for` and `complete_in_time`; reached only when a test fails.
const STATE_TIMEOUT: Duration = Duration::from_secs(30);

/// Token of an answer and its index from the start of the whole answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Token {
    pub index: u32,
    pub token_id: u32,
}

/// Starts an engine that runs a step every millisecond and needs no time for prefills.
pub async fn start_fast_engine(settings: EngineSettings) -> Engine {
    let settings = EngineSettings { token_gap_ms: 1, prefill_us_per_token: 0, ..settings };
    Engine::start(settings).await.unwrap()
}

/// Builds a request for `max_tokens` tokens.
pub fn request_for(prompt: &str, max_tokens: u32) -> EngineRequest {
    EngineRequest {
        request_id: format!("request-{prompt}"),
        model: "composer".to_owned(),
        version: "v1".to_owned(),
        prompt: prompt.to_owned(),
        max_tokens,
        stream: true,
        ..EngineRequest::default()
    }
}

/// Sends a request and returns the stream of its answer.
pub async fn open_stream(addr: SocketAddr, request: &EngineRequest) -> EngineStream {
    EnginePool::default().open(addr, request).await.unwrap()
}

/// Reads a stream to its finish event. Returns the tokens, including those before an error, and the token count of the
/// usage.
pub async fn read_to_end(stream: &mut EngineStream) -> (Vec<Token>, Result<u32, EngineError>) {
    let mut tokens = Vec::new();
    loop {
        match stream.next().await {
            Ok(EngineEvent::Token { index, token_id, text }) => {
                assert_eq!(*text, TokenChain::text(token_id));
                tokens.push(Token { index, token_id });
            }
            Ok(EngineEvent::Finish { usage, .. }) => return (tokens, Ok(usage.completion_tokens)),
            Ok(EngineEvent::Error { message }) => panic!("unexpected error event {message}"),
            Err(err) => return (tokens, Err(err)),
        }
    }
}

/// Sends a request and reads its whole answer.
pub async fn ask(addr: SocketAddr, request: &EngineRequest) -> Vec<Token> {
    let (tokens, end) = read_to_end(&mut open_stream(addr, request).await).await;
    end.unwrap();
    tokens
}

/// Returns the concatenated text of tokens.
pub fn text_of(tokens: &[Token]) -> String {
    tokens.iter().map(|token| TokenChain::text(token.token_id)).collect()
}

/// Returns the token chain before the first token of an answer to `request`.
pub fn chain_of(request: &EngineRequest) -> TokenChain {
    TokenChain::new(&request.model, &request.version, &request.adapter, &request.prompt)
}

/// Waits until `condition` returns true for the counters, the number of running sequences and the number of waiting
/// sequences of an engine.
pub async fn wait_for(engine: &Engine, condition: impl Fn(EngineCounters, u32, u32) -> bool) {
    let waiting = async {
        loop {
            let state = engine.state();
            if condition(state.counters, state.load.running, state.load.waiting) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(STATE_TIMEOUT, waiting)
        .await
        .expect("the engine reaches the expected state in time");
}

/// Returns the output of a future, and panics if the future does not complete within `STATE_TIMEOUT`.
pub async fn complete_in_time<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(STATE_TIMEOUT, future).await.expect("the future completes in time")
}

/// Returns whether all values are different.
pub fn are_distinct(values: &[u64]) -> bool {
    values.iter().collect::<HashSet<_>>().len() == values.len()
}
