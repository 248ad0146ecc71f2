//! Answer to one completion request.

use crate::{
    chain::{Chain, chat_prompt},
    engine::{
        settings::EngineSettings,
        work::{ActiveRequest, Work},
    },
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Response,
    header::{CONTENT_TYPE, HeaderValue},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{sync::Arc, time::Duration};
use tokio::{sync::mpsc, time::MissedTickBehavior};
use web::{ChannelBody, ResponseBody};
use wire::{
    engine::{EngineRequest, FinishReason, RawEngineEvent, Usage},
    sse,
};

/// Events that may wait for a slow reader.
const PENDING_EVENTS: usize = 64;

/// Random part of the token that ends an answer.
const STOP_NONCE: u16 = 0xffff;

pub(super) fn respond(
    settings: &EngineSettings,
    request: EngineRequest,
    seed: u64,
    work: &Arc<Work>,
) -> Response<ResponseBody> {
    let (sender, body) = ChannelBody::new(PENDING_EVENTS);
    let token_gap_ms = settings.token_gap_ms;
    let active = work.begin(&request.request_id);
    tokio::spawn(async move {
        // A failed send means that the reader has gone, which cancels the request.
        let _ = generate(&request, token_gap_ms, seed, &active, &sender).await;
    });
    let mut response = Response::new(body.boxed_unsync());
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    response
}

async fn generate(
    request: &EngineRequest,
    token_gap_ms: u64,
    seed: u64,
    active: &ActiveRequest,
    sender: &mpsc::Sender<Bytes>,
) -> Result<(), mpsc::error::SendError<Bytes>> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let prompt = if request.messages.is_empty() {
        request.prompt.clone()
    } else {
        chat_prompt(&request.messages)
    };
    let mut chain = Chain::new(&request.model, &request.version, &request.adapter, &prompt);
    for &token_id in &request.continue_token_ids {
        chain.advance(token_id);
    }
    let mut ticks = tokio::time::interval(Duration::from_millis(token_gap_ms.max(1)));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut index = request.continue_token_ids.len() as u32;
    let mut reason = FinishReason::Length;
    while index < request.max_tokens {
        ticks.tick().await;
        let nonce: u16 = rng.random();
        let token_id = chain.token(nonce);
        chain.advance(token_id);
        active.count_token();
        let text = Chain::text(token_id);
        let event = RawEngineEvent {
            request_id: request.request_id.as_str().into(),
            index: Some(index),
            token_id: Some(token_id),
            text: Some(text.into()),
            ..RawEngineEvent::default()
        };
        sender.send(encode(&event)).await?;
        index += 1;
        if nonce == STOP_NONCE {
            reason = FinishReason::Stop;
            break;
        }
    }
    let event = RawEngineEvent {
        request_id: request.request_id.as_str().into(),
        finish_reason: Some(reason.as_str().into()),
        usage: Some(Usage {
            prompt_tokens: prompt.split_whitespace().count() as u32,
            completion_tokens: index,
        }),
        ..RawEngineEvent::default()
    };
    sender.send(encode(&event)).await?;
    sender.send(Bytes::from_static(sse::DONE)).await
}

fn encode(event: &RawEngineEvent<'_>) -> Bytes {
    sse::encode(None, &serde_json::to_vec(event).unwrap_or_default())
}
