//! Sends generation requests to an entry and reads the streamed answers, with one HTTP connection per request.

use crate::caller::answer::{Answer, AnswerEnd};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request,
    body::Incoming,
    client::conn::http1,
    header::{AUTHORIZATION, CONTENT_TYPE, HOST},
};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::{net::TcpStream, sync::watch, time::timeout};
use wire::sse::{Decoder, Event};

/// Largest accepted server-sent event.
const EVENT_SIZE_BYTES: usize = 1024 * 1024;

/// Default time without data after which a connection is given up.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 60_000;

/// Parameters of a generation.
#[derive(Clone, Debug)]
pub struct GenerationRequest {
    /// Name of the model.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Largest number of tokens to generate.
    pub max_tokens: u32,
}

/// Client of entries (daemons that serve callers), which authenticates with an API key.
#[derive(Clone, Debug)]
pub struct Caller {
    key: String,
    progress: Option<watch::Sender<Answer>>,
    idle_timeout_ms: u64,
}

impl Caller {
    /// Creates a caller that sends `key` as its bearer token.
    pub fn new(key: &str) -> Self {
        Self { key: key.to_owned(), progress: None, idle_timeout_ms: DEFAULT_IDLE_TIMEOUT_MS }
    }

    /// Sets the time without data after which a connection is given up.
    pub fn with_idle_timeout_ms(mut self, idle_timeout_ms: u64) -> Self {
        self.idle_timeout_ms = idle_timeout_ms;
        self
    }

    /// Sends the answer received so far to `progress` after each event.
    pub fn with_progress(mut self, progress: watch::Sender<Answer>) -> Self {
        self.progress = Some(progress);
        self
    }

    /// Sends a request to the entry at `addr` and reads the stream to its end.
    pub async fn ask(&self, addr: SocketAddr, generation: &GenerationRequest) -> Answer {
        let mut answer = Answer::empty();
        self.resume(addr, generation, &mut answer).await;
        answer
    }

    /// Sends the request again and appends to `answer` the events after its last one, or all events if it has none.
    pub async fn resume(
        &self,
        addr: SocketAddr,
        generation: &GenerationRequest,
        answer: &mut Answer,
    ) {
        answer.end = AnswerEnd::Cut;
        let _ = self.send_and_read(addr, generation, answer).await;
    }

    async fn send_and_read(
        &self,
        addr: SocketAddr,
        generation: &GenerationRequest,
        answer: &mut Answer,
    ) -> Option<()> {
        let stream = TcpStream::connect(addr).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        let body = json!({
            "model": generation.model,
            "prompt": generation.prompt,
            "max_tokens": generation.max_tokens,
            "stream": true,
        });
        let mut request = Request::post("/v1/completions")
            .header(HOST, addr.to_string())
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .header(CONTENT_TYPE, "application/json");
        if let Some(id) = &answer.last_event_id {
            request = request.header("last-event-id", id);
        }
        let request = request.body(Full::new(Bytes::from(body.to_string()))).ok()?;
        let idle_timeout = Duration::from_millis(self.idle_timeout_ms);
        let Ok(response) = timeout(idle_timeout, sender.send_request(request)).await else {
            answer.end = AnswerEnd::Silent;
            return None;
        };
        let response = response.ok()?;
        let status = response.status();
        if !status.is_success() {
            let body = response.into_body().collect().await.ok()?.to_bytes();
            let value: Value = serde_json::from_slice(&body).unwrap_or_default();
            answer.end = AnswerEnd::Refused(status.as_u16(), error_code(&value));
            return None;
        }
        self.read(response.into_body(), answer).await
    }

    async fn read(&self, mut body: Incoming, answer: &mut Answer) -> Option<()> {
        let mut decoder = Decoder::new(EVENT_SIZE_BYTES);
        let idle_timeout = Duration::from_millis(self.idle_timeout_ms);
        let mut is_finished = false;
        loop {
            let Ok(frame) = timeout(idle_timeout, body.frame()).await else {
                answer.end = AnswerEnd::Silent;
                return None;
            };
            let frame = frame?.ok()?;
            let Some(data) = frame.data_ref() else { continue };
            decoder.feed(data).ok()?;
            while let Some(event) = decoder.next_event().ok()? {
                if event.data == "[DONE]" {
                    answer.end = if is_finished { AnswerEnd::Done } else { AnswerEnd::Cut };
                    return Some(());
                }
                is_finished |= apply_event(event, answer)?;
                if let Some(progress) = &self.progress {
                    progress.send_replace(answer.clone());
                }
            }
        }
    }
}

/// Adds one event to the answer. Returns whether the event had a finish reason, or `None` if the event is invalid or
/// reports an error.
fn apply_event(event: Event, answer: &mut Answer) -> Option<bool> {
    let value: Value = serde_json::from_str(&event.data).ok()?;
    if value.get("error").is_some() {
        answer.end = AnswerEnd::Error(error_code(&value));
        return None;
    }
    if event.id.is_some() {
        answer.last_event_id = event.id;
    }
    if let Some(version) = value["system_fingerprint"].as_str() {
        version.clone_into(&mut answer.version);
    }
    if let Some(tokens) = value["usage"]["completion_tokens"].as_u64() {
        answer.usage_tokens = Some(tokens as u32);
    }
    let choice = &value["choices"][0];
    let text = choice["text"].as_str().unwrap_or_default();
    if !text.is_empty() {
        answer.text.push_str(text);
        let gap_ms = answer.last_token_at.elapsed().as_millis() as u64;
        answer.last_token_at = Instant::now();
        answer.token_times.push(answer.last_token_at);
        match answer.first_token_ms {
            Some(_) => answer.longest_gap_ms = answer.longest_gap_ms.max(gap_ms),
            None => answer.first_token_ms = Some(gap_ms),
        }
    }
    Some(choice["finish_reason"].is_string())
}

fn error_code(value: &Value) -> String {
    value["error"]["code"].as_str().unwrap_or_default().to_owned()
}
