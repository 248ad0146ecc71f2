//! Responses that stream the answer of a new generation, or of one whose caller has reconnected.

use crate::{
    api_error::ApiError, claimed_journal::ClaimedJournal, finish::Finish, job::Job,
    journal_claim::claim_journal, output::Output, queue_permit::QueuePermit, relay::Relay,
    release_gate::ReleaseGate, render::Renderer, shared::Shared,
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Response,
    header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue},
};
use recovery::{AppendStatus, Cursor, Journal, ViewId};
use std::sync::Arc;
use tokio::sync::mpsc;
use web::{ChannelBody, ResponseBody};

/// Largest number of chunks of the response body that are queued for a slow caller.
const PENDING_CHUNKS: usize = 32;

/// Begins a generation and returns the response that streams its answer.
pub(crate) fn begin(shared: &Arc<Shared>, job: Job, permit: QueuePermit) -> Response<ResponseBody> {
    let (sender, response) = channel();
    let gate = ReleaseGate::new(Arc::clone(shared), job.clone(), sender);
    spawn_generation(shared, job, Journal::default(), gate, Journal::default(), Some(permit));
    response
}

/// Resumes the streamed answer that `last_event_id` names, after the tokens that the caller has already received.
///
/// # Errors
///
/// `InvalidCursor` if `last_event_id` is not a cursor, `RequestMismatch` if `requested` differs from the request that
/// began the generation, or an error of the claim: `GenerationNotFound` (also for an unreadable journal),
/// `CursorConflict` (also if another entry has claimed the journal in the meantime) or `HoldersUnreachable`.
pub(crate) async fn resume(
    shared: &Arc<Shared>,
    requested: &Job,
    last_event_id: &str,
) -> Result<Response<ResponseBody>, ApiError> {
    let cursor = Cursor::try_from(last_event_id)?;
    let ClaimedJournal { replica, holder } =
        claim_journal(shared, &cursor, &requested.account).await?;
    let job: Job = serde_json::from_slice(&replica.header().request)
        .map_err(|_| ApiError::GenerationNotFound)?;
    if !job.is_same_request(requested) {
        return Err(ApiError::RequestMismatch);
    }
    metrics::counter!("generations_resumed_total").increment(1);
    let (sender, response) = channel();
    let tokens = replica.tokens().clone();
    let backlog = tokens_after(&tokens, cursor.index);
    let view = replica.view().cloned().ok_or(ApiError::GenerationNotFound)?;
    if let Some(finish) = replica.finish() {
        let finish: Finish =
            serde_json::from_slice(finish).map_err(|_| ApiError::GenerationNotFound)?;
        let events = render_finished(&job, &cursor, view, &backlog, finish);
        tokio::spawn(async move { sender.send(events).await });
        return Ok(response);
    }
    // A journal that was claimed at this entry is already in the store of this entry.
    if holder.is_some()
        && shared.journals.open(&job.generation_id, replica) != AppendStatus::Accepted
    {
        return Err(ApiError::CursorConflict);
    }
    log::info!(
        "recovery: generation {} continues after {} tokens",
        job.generation_id,
        tokens.len()
    );
    let gate =
        ReleaseGate::resumed(Arc::clone(shared), job.clone(), view, holder, cursor.index, sender);
    // A resumed generation does not wait in the queue of its service, since its first attempt is rate-limited as a
    // recovery attempt.
    spawn_generation(shared, job, tokens, gate, backlog, None);
    Ok(response)
}

/// Starts the tasks of a relay that continues after `journal`, and of its release gate, which first releases `backlog`.
/// The generation holds `permit` until it ends.
fn spawn_generation(
    shared: &Arc<Shared>,
    job: Job,
    journal: Journal,
    gate: ReleaseGate,
    backlog: Journal,
    permit: Option<QueuePermit>,
) {
    let (sender, accepted) = ReleaseGate::channel();
    let relay = Relay::new(Arc::clone(shared), job, journal, Output::stream(sender));
    tokio::spawn(async move {
        let outcome = relay.run().await;
        drop(permit);
        outcome
    });
    tokio::spawn(gate.run(backlog, accepted));
}

/// Creates an event stream response, and the sender of its body.
fn channel() -> (mpsc::Sender<Bytes>, Response<ResponseBody>) {
    let (sender, body) = ChannelBody::new(PENDING_CHUNKS);
    let mut response = Response::new(body.boxed_unsync());
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    (sender, response)
}

/// Copy of the tokens from `index` on.
fn tokens_after(tokens: &Journal, index: u32) -> Journal {
    let mut rest = Journal::default();
    for index in index..tokens.len() {
        rest.push(tokens.token_ids()[index as usize], tokens.text_at(index));
    }
    rest
}

/// Renders the events of a finished answer that follow the cursor. `rest` are its tokens after the cursor.
fn render_finished(
    job: &Job,
    cursor: &Cursor,
    view: ViewId,
    rest: &Journal,
    finish: Finish,
) -> Bytes {
    let prefix = Cursor { view, ..cursor.clone() }.prefix();
    let renderer = Renderer::new(job, prefix);
    let mut events = Vec::new();
    for index in 0..rest.len() {
        renderer.token(cursor.index + index, rest.text_at(index), &mut events);
    }
    let count = cursor.index + rest.len();
    renderer.finish(count, finish.reason, finish.usage, &mut events);
    events.into()
}
