//! Streaming caller over one HTTP connection a request.

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

/// Largest event that is accepted.
const EVENT_SIZE_BYTES: usize = 1024 * 1024;

/// Longest wait for the next part of an answer unless the caller says otherwise.
const PATIENCE_MS: u64 = 60_000;

/// What a caller asks for.
#[derive(Clone, Debug)]
pub struct GenerationRequest {
    /// Model.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Largest number of tokens.
    pub max_tokens: u32,
}

/// Caller with its key.
#[derive(Clone, Debug)]
pub struct Caller {
    key: String,
    progress: Option<watch::Sender<Answer>>,
    patience_ms: u64,
}

impl Caller {
    /// Caller with a bearer key.
    pub fn new(key: &str) -> Self {
        Self { key: key.to_owned(), progress: None, patience_ms: PATIENCE_MS }
    }

    /// Gives up a connection that delivers nothing for `patience_ms`.
    pub fn with_idle_timeout_ms(mut self, patience_ms: u64) -> Self {
        self.patience_ms = patience_ms;
        self
    }

    /// Shows the answer so far after each event.
    pub fn with_progress(mut self, progress: watch::Sender<Answer>) -> Self {
        self.progress = Some(progress);
        self
    }

    /// Asks the entry at `addr` and reads the stream to its end.
    pub async fn ask(&self, addr: SocketAddr, question: &GenerationRequest) -> Answer {
        let mut answer = Answer::empty();
        self.resume(addr, question, &mut answer).await;
        answer
    }

    /// Asks again and goes on after the last event of `answer`, if there is one.
    pub async fn resume(
        &self,
        addr: SocketAddr,
        question: &GenerationRequest,
        answer: &mut Answer,
    ) {
        answer.end = AnswerEnd::Cut;
        let _ = self.exchange(addr, question, answer).await;
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        question: &GenerationRequest,
        answer: &mut Answer,
    ) -> Option<()> {
        let stream = TcpStream::connect(addr).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        let body = json!({
            "model": question.model,
            "prompt": question.prompt,
            "max_tokens": question.max_tokens,
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
        let patience = Duration::from_millis(self.patience_ms);
        let Ok(response) = timeout(patience, sender.send_request(request)).await else {
            answer.end = AnswerEnd::Silent;
            return None;
        };
        let response = response.ok()?;
        let status = response.status();
        if !status.is_success() {
            let body = response.into_body().collect().await.ok()?.to_bytes();
            let value: Value = serde_json::from_slice(&body).unwrap_or_default();
            answer.end = AnswerEnd::Refused(status.as_u16(), code(&value));
            return None;
        }
        self.read(response.into_body(), answer).await
    }

    async fn read(&self, mut body: Incoming, answer: &mut Answer) -> Option<()> {
        let mut decoder = Decoder::new(EVENT_SIZE_BYTES);
        let patience = Duration::from_millis(self.patience_ms);
        let mut is_finished = false;
        loop {
            let Ok(frame) = timeout(patience, body.frame()).await else {
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
                is_finished |= take_event(event, answer)?;
                if let Some(progress) = &self.progress {
                    progress.send_replace(answer.clone());
                }
            }
        }
    }
}

/// Takes one event; whether it carried the finish reason.
fn take_event(event: Event, answer: &mut Answer) -> Option<bool> {
    let value: Value = serde_json::from_str(&event.data).ok()?;
    if value.get("error").is_some() {
        answer.end = AnswerEnd::Error(code(&value));
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

fn code(value: &Value) -> String {
    value["error"]["code"].as_str().unwrap_or_default().to_owned()
}
