//! Rendering of whole answers, and of the server-sent events of streamed answers, in the format of the OpenAI API.

use crate::{
    api_error::ApiError,
    job::{AnswerKind, Job},
};
use bytes::Bytes;
use hyper::Response;
use serde_json::{json, to_writer};
use web::{ResponseBody, StatusCode};
use wire::{
    engine::FinishReason,
    openai::{ChatChoice, ChatCompletion, ChatReply, Choice, Completion, Usage},
    sse,
};

/// Renders the server-sent events of one streamed answer.
#[derive(Clone, Debug)]
pub(crate) struct Renderer {
    /// Event identifier without the number of tokens.
    id_prefix: String,
    /// Start of the JSON object that is the same in all events, up to the opening bracket of `choices`.
    head: String,
    kind: AnswerKind,
}

impl Renderer {
    /// Creates a renderer. Event identifiers consist of `id_prefix` and the number of tokens sent so far.
    pub fn new(job: &Job, id_prefix: String) -> Self {
        let object = match job.kind {
            AnswerKind::Chat => "chat.completion.chunk",
            AnswerKind::Text => "text_completion",
        };
        let mut head = json!({
            "id": job.generation_id,
            "object": object,
            "created": job.created_s,
            "model": job.model_label,
            "system_fingerprint": job.request.version,
        })
        .to_string();
        head.pop();
        head.push_str(",\"choices\":[");
        Self { id_prefix, head, kind: job.kind }
    }

    /// Appends to `out` the event of the token at `index`, counted from 0.
    pub fn token(&self, index: u32, text: &str, out: &mut Vec<u8>) {
        self.start_event(index + 1, out);
        let start: &[u8] = match self.kind {
            AnswerKind::Chat if index == 0 => {
                b"{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":"
            }
            AnswerKind::Chat => b"{\"index\":0,\"delta\":{\"content\":",
            AnswerKind::Text => b"{\"index\":0,\"text\":",
        };
        out.extend_from_slice(start);
        // Writing into a vector does not fail.
        let _ = to_writer(&mut *out, text);
        let end: &[u8] = match self.kind {
            AnswerKind::Chat => b"},\"logprobs\":null,\"finish_reason\":null}]}\n\n",
            AnswerKind::Text => b",\"logprobs\":null,\"finish_reason\":null}]}\n\n",
        };
        out.extend_from_slice(end);
    }

    /// Appends to `out` the events that end an answer of `count` tokens: the finish reason, the usage and `[DONE]`.
    pub fn finish(&self, count: u32, reason: FinishReason, usage: Usage, out: &mut Vec<u8>) {
        self.start_event(count, out);
        let part = match self.kind {
            AnswerKind::Chat => "\"delta\":{}",
            AnswerKind::Text => "\"text\":\"\"",
        };
        let reason = reason.as_str();
        let choice = format!(
            "{{\"index\":0,{part},\"logprobs\":null,\"finish_reason\":\"{reason}\"}}]}}\n\n"
        );
        out.extend_from_slice(choice.as_bytes());
        self.start_event(count, out);
        out.extend_from_slice(b"],\"usage\":");
        let _ = to_writer(&mut *out, &usage);
        out.extend_from_slice(b"}\n\n");
        out.extend_from_slice(sse::DONE);
    }

    /// Renders the error event that ends the stream.
    pub fn error(error: &ApiError) -> Bytes {
        sse::encode(None, &serde_json::to_vec(&error.body()).unwrap_or_default())
    }

    /// Appends the identifier of an event, after which `count` tokens were sent, and the start of its JSON object.
    fn start_event(&self, count: u32, out: &mut Vec<u8>) {
        out.extend_from_slice(b"id: ");
        out.extend_from_slice(self.id_prefix.as_bytes());
        out.extend_from_slice(count.to_string().as_bytes());
        out.extend_from_slice(b"\ndata: ");
        out.extend_from_slice(self.head.as_bytes());
    }
}

/// Token counts of an answer, as reported to the caller. The total saturates.
pub(crate) fn usage(prompt_tokens: u32, completion_tokens: u32) -> Usage {
    // The engine's count of prompt tokens is not checked, so the sum could overflow.
    let total_tokens = prompt_tokens.saturating_add(completion_tokens);
    Usage { prompt_tokens, completion_tokens, total_tokens }
}

/// Response that contains a complete answer, for a caller that did not ask for a stream.
pub(crate) fn whole_response(
    job: &Job,
    text: &str,
    reason: FinishReason,
    usage: Usage,
) -> Response<ResponseBody> {
    let finish_reason = Some(reason.as_str().to_owned());
    match job.kind {
        AnswerKind::Chat => {
            let message = ChatReply { role: "assistant".to_owned(), content: text.to_owned() };
            let answer = ChatCompletion {
                id: job.generation_id.clone(),
                object: "chat.completion".to_owned(),
                created: job.created_s,
                model: job.model_label.clone(),
                system_fingerprint: job.request.version.clone(),
                choices: vec![ChatChoice { index: 0, message, logprobs: None, finish_reason }],
                usage,
            };
            web::json(StatusCode::OK, &answer)
        }
        AnswerKind::Text => {
            let choice = Choice { index: 0, text: text.to_owned(), logprobs: None, finish_reason };
            let answer = Completion {
                id: job.generation_id.clone(),
                object: "text_completion".to_owned(),
                created: job.created_s,
                model: job.model_label.clone(),
                system_fingerprint: job.request.version.clone(),
                choices: vec![choice],
                usage: Some(usage),
            };
            web::json(StatusCode::OK, &answer)
        }
    }
}
