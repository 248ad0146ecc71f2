//! Execution of calls with an idempotency key, and replay of their stored answers.

use crate::{api_error::ApiError, claim_store::age_ms, shared::Shared};
use base::{AccountName, Clock};
use bytes::Bytes;
use call::{
    ClaimOutcome, ClaimRecord, ClaimState, IdempotencyKey, NotRun, RequestDigest, StoredAnswer,
};
use hyper::{
    Response,
    header::{HeaderName, HeaderValue},
};
use rand::random;
use std::{future::Future, time::Duration};
use web::{ResponseBody, StatusCode};

/// Age after which a claim is not used any more. A process that was paused for a long time must not send a call whose
/// caller may have disconnected and whose claim may have expired.
const MAX_CLAIM_AGE_MS: u64 = 30_000;

/// Longest time for which an answer is delayed until it is stored in its claim.
const STORE_WAIT_MS: u64 = 1_000;

/// Longest wait for the answer of an earlier call that owns the same key and is still running.
const BUSY_WAIT_MS: u64 = 30_000;

/// Header that marks an answer as replayed from a claim.
const REPLAYED: HeaderName = HeaderName::from_static("idempotent-replayed");

/// Call that runs at most once across all entries, because its idempotency key is claimed on the platform first.
#[derive(Debug)]
pub(crate) struct KeyedCall {
    pub account: AccountName,
    pub key: IdempotencyKey,
    pub digest: RequestDigest,
    /// Longest time in milliseconds that the call is expected to run. If an earlier call owns the key and its claim is
    /// open for longer, this call does not wait for the answer.
    pub max_run_ms: u64,
}

/// Why a call has no answer to be stored in its claim.
#[derive(Debug)]
pub(crate) enum RunError {
    /// The call was certainly not run; the value proves it.
    NotRun(NotRun),
    /// The call may have run. The error is returned to the caller.
    Unknown(ApiError),
}

impl KeyedCall {
    /// Claims the key and executes the call with `run`, or returns the answer of the call that already owns the key.
    ///
    /// # Errors
    ///
    /// `NoUpstream` or `PlatformUnavailable` if the call was not run and never will be; `KeyReused` if the key belongs
    /// to another request; `AnswerNotStored` if the answer of the earlier call was too large to be stored. After any
    /// other error the outcome is unknown.
    pub async fn run<R, F>(
        self,
        shared: &Shared,
        run: R,
    ) -> Result<Response<ResponseBody>, ApiError>
    where
        R: FnOnce() -> F,
        F: Future<Output = Result<Response<Bytes>, RunError>>,
    {
        let kv_key = self.key.kv_key(&self.account);
        let claimed_ms = shared.clock.now_ms();
        let record = ClaimRecord {
            nonce: random(),
            owner: shared.vm_id.clone(),
            digest: self.digest,
            created_unix_ms: Clock::unix_ms(),
            state: ClaimState::Open,
        };
        let revision = match shared.claims.claim(&kv_key, record.clone()).await {
            ClaimOutcome::Owned { revision } => revision,
            ClaimOutcome::Stored(answer) => return replay(&answer),
            ClaimOutcome::Busy { revision, created_unix_ms } => {
                let remaining_ms = self.max_run_ms.saturating_sub(age_ms(created_unix_ms));
                return wait_for_owner(shared, &kv_key, revision, remaining_ms.min(BUSY_WAIT_MS))
                    .await;
            }
            ClaimOutcome::Unknown => return Err(ApiError::UnknownOutcome),
            ClaimOutcome::OtherRequest => return Err(ApiError::KeyReused),
            ClaimOutcome::Unavailable => return Err(ApiError::PlatformUnavailable),
        };
        if shared.clock.now_ms() - claimed_ms > MAX_CLAIM_AGE_MS {
            close_claim(shared, kv_key, record, revision, ClaimState::NotRun).await;
            return Err(ApiError::PlatformUnavailable);
        }
        let outcome = run().await;
        let state = match &outcome {
            Ok(answer) => ClaimState::Answered(stored_answer(answer)),
            Err(RunError::NotRun(_)) => ClaimState::NotRun,
            Err(RunError::Unknown(_)) => ClaimState::Unknown,
        };
        close_claim(shared, kv_key, record, revision, state).await;
        Ok(outcome?.map(web::full))
    }
}

impl From<RunError> for ApiError {
    fn from(error: RunError) -> Self {
        match error {
            RunError::NotRun(_) => Self::NoUpstream,
            RunError::Unknown(error) => error,
        }
    }
}

/// Writes the final state of a call into its claim. If the platform is slow, this returns after `STORE_WAIT_MS` so that
/// the answer is not delayed further, and the write continues in the background. A state that is not stored by then is
/// logged.
async fn close_claim(
    shared: &Shared,
    kv_key: String,
    record: ClaimRecord,
    revision: u64,
    state: ClaimState,
) {
    let claims = shared.claims.clone();
    let closing =
        shared.calls.spawn(async move { claims.close(&kv_key, record, revision, state).await });
    let stored = tokio::time::timeout(Duration::from_millis(STORE_WAIT_MS), closing).await;
    if !matches!(stored, Ok(Ok(true))) {
        log::warn!("calls: the final state of a call is not stored yet");
    }
}

/// Waits up to `wait_ms` until the call that owns the key closes its claim, and returns the stored answer. The outcome
/// is unknown if that call is still running then, or if its own outcome is unknown.
async fn wait_for_owner(
    shared: &Shared,
    kv_key: &str,
    revision: u64,
    wait_ms: u64,
) -> Result<Response<ResponseBody>, ApiError> {
    if wait_ms == 0 {
        return Err(ApiError::UnknownOutcome);
    }
    match shared.claims.wait_closed(kv_key, revision, wait_ms).await.map(|record| record.state) {
        Some(ClaimState::Answered(answer)) => replay(&answer),
        // Neither the call that owned the key nor this one was run.
        Some(ClaimState::NotRun) => Err(ApiError::NoUpstream),
        Some(ClaimState::Open | ClaimState::Unknown) | None => Err(ApiError::UnknownOutcome),
    }
}

/// Converts an answer to the form that is stored in a claim. Headers whose values are not ASCII text are left out.
fn stored_answer(answer: &Response<Bytes>) -> StoredAnswer {
    let text = |value: &HeaderValue| value.to_str().ok().map(str::to_owned);
    let headers = answer
        .headers()
        .iter()
        .filter_map(|(name, value)| Some((name.as_str().to_owned(), text(value)?)))
        .collect();
    StoredAnswer::new(answer.status().as_u16(), headers, answer.body())
}

fn replay(answer: &StoredAnswer) -> Result<Response<ResponseBody>, ApiError> {
    let body = answer.body().ok_or(ApiError::AnswerNotStored(answer.status))?;
    let mut response = Response::new(web::full(body));
    *response.status_mut() = StatusCode::from_u16(answer.status).map_err(|_| ApiError::Internal)?;
    for (name, value) in &answer.headers {
        if let (Ok(name), Ok(value)) =
            (HeaderName::try_from(name.as_str()), HeaderValue::try_from(value.as_str()))
        {
            response.headers_mut().append(name, value);
        }
    }
    response.headers_mut().insert(REPLAYED, HeaderValue::from_static("true"));
    Ok(response)
}
