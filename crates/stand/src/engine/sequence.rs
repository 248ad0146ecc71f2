//! Sequence of tokens that is generated for one request.

use crate::engine::{
    context::Context,
    event_faults::{EventAction, EventFaults},
};
use bytes::{BufMut, Bytes, BytesMut};
use rand::{RngExt, rngs::SmallRng};
use tokio::sync::mpsc::Sender;
use wire::{
    engine::{EngineRequest, FinishReason, RawEngineEvent, Usage},
    sse,
};

/// Random part of the token that ends an answer with the reason `stop`.
const STOP_NONCE: u16 = 0xffff;

/// Event whose data is not JSON.
const MALFORMED_EVENT: &[u8] = b"data: {\"request_id\": \n\n";

/// Sequence in the queue or in the batch.
#[derive(Debug)]
pub(super) struct Sequence {
    /// Prompt and tokens to continue from. The block lists are cleared when the sequence joins the batch.
    pub context: Context,
    /// Remaining time of the prefill; 0 until the sequence joins the batch.
    pub prefill_remaining_us: u64,
    sender: Sender<Bytes>,
    request_id: Box<str>,
    /// Start of each token event, up to the value of `index`.
    event_prefix: Box<[u8]>,
    index: u32,
    max_tokens: u32,
}

/// State of a sequence after a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StepOutcome {
    /// The sequence needs further steps.
    Running,
    /// All tokens have been generated and sent to the connection.
    Finished,
    /// The client has closed its connection.
    Cancelled,
}

impl Sequence {
    pub fn new(request: &EngineRequest, context: Context, sender: Sender<Bytes>) -> Self {
        let id = serde_json::to_string(&request.request_id).unwrap_or_default();
        Self {
            context,
            prefill_remaining_us: 0,
            sender,
            request_id: request.request_id.as_str().into(),
            event_prefix: event_prefix(&id),
            index: u32::try_from(request.continue_token_ids.len()).unwrap_or(u32::MAX),
            max_tokens: request.max_tokens,
        }
    }

    /// Returns the id of the request that the sequence answers.
    pub fn request_id(&self) -> &str {
        &self.request_id
    }

    /// Returns whether the client has closed its connection.
    pub fn is_cancelled(&self) -> bool {
        self.sender.is_closed()
    }

    /// Generates up to `tokens` tokens, sends them as one chunk and adds their number to `decoded`.
    pub fn step(
        &mut self,
        tokens: u32,
        rng: &mut SmallRng,
        faults: &mut EventFaults,
        buffer: &mut BytesMut,
        decoded: &mut u64,
    ) -> StepOutcome {
        if self.sender.is_closed() {
            return StepOutcome::Cancelled;
        }
        // The event buffer is full because the client reads slowly, which stalls only its own sequence.
        if self.sender.capacity() == 0 {
            return StepOutcome::Running;
        }
        let mut finish_reason = None;
        for _ in 0..tokens {
            if self.index >= self.max_tokens {
                break;
            }
            let nonce: u16 = rng.random();
            self.push_token(nonce, faults.next_action(), buffer);
            *decoded += 1;
            if nonce == STOP_NONCE {
                finish_reason = Some(FinishReason::Stop);
                break;
            }
        }
        if finish_reason.is_none() && self.index >= self.max_tokens {
            finish_reason = Some(FinishReason::Length);
        }
        if let Some(reason) = finish_reason {
            self.push_finish(reason, buffer);
        }
        if !buffer.is_empty() && self.sender.try_send(buffer.split().freeze()).is_err() {
            return StepOutcome::Cancelled;
        }
        if finish_reason.is_some() { StepOutcome::Finished } else { StepOutcome::Running }
    }

    fn push_token(&mut self, nonce: u16, action: EventAction, buffer: &mut BytesMut) {
        let token_id = self.context.chain.token(nonce);
        self.context.chain.advance(token_id);
        match action {
            EventAction::Send => push_event(buffer, &self.event_prefix, self.index, token_id),
            EventAction::SendTwice => {
                push_event(buffer, &self.event_prefix, self.index, token_id);
                push_event(buffer, &self.event_prefix, self.index, token_id);
            }
            EventAction::SendMalformed => buffer.put_slice(MALFORMED_EVENT),
            EventAction::Omit => {}
            EventAction::SendCrossed => {
                push_event(buffer, &event_prefix("\"another-request\""), self.index, token_id);
            }
        }
        self.index += 1;
    }

    fn push_finish(&self, reason: FinishReason, buffer: &mut BytesMut) {
        let event = RawEngineEvent {
            request_id: self.request_id.as_ref().into(),
            finish_reason: Some(reason.as_str().into()),
            usage: Some(Usage {
                prompt_tokens: self.context.prompt_tokens,
                completion_tokens: self.index,
            }),
            ..RawEngineEvent::default()
        };
        let data = serde_json::to_vec(&event).unwrap_or_default();
        buffer.put_slice(&sse::encode(None, &data));
        buffer.put_slice(sse::DONE);
    }
}

fn event_prefix(request_id_json: &str) -> Box<[u8]> {
    format!("data: {{\"request_id\":{request_id_json},\"index\":").into_bytes().into()
}

fn push_event(buffer: &mut BytesMut, start: &[u8], index: u32, token_id: u32) {
    buffer.put_slice(start);
    push_decimal(buffer, index);
    buffer.put_slice(b",\"token_id\":");
    push_decimal(buffer, token_id);
    buffer.put_slice(b",\"text\":\" ");
    push_hex(buffer, token_id);
    buffer.put_slice(b"\"}\n\n");
}

fn push_decimal(buffer: &mut BytesMut, mut number: u32) {
    let mut digits = [0; 10];
    let mut start = digits.len();
    loop {
        start -= 1;
        digits[start] = b'0' + (number % 10) as u8;
        number /= 10;
        if number == 0 {
            break;
        }
    }
    buffer.put_slice(&digits[start..]);
}

fn push_hex(buffer: &mut BytesMut, number: u32) {
    let digits: [u8; 8] = std::array::from_fn(|position| {
        let digit = (number >> (28 - 4 * position)) & 0xf;
        b"0123456789abcdef"[digit as usize]
    });
    buffer.put_slice(&digits);
}
