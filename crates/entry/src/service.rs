//! Calls to plain services.

use crate::{
    api_error::ApiError,
    call_request::{CallRequest, REQUEST_ID},
    claim_store::age_ms,
    pass_headers::{is_leaving, request_headers, response_headers},
    shared::Shared,
};
use base::{Clock, ServiceName};
use bytes::Bytes;
use call::{
    Call, ClaimOutcome, ClaimRecord, ClaimState, IdempotencyKey, Lost, Repeat, RepeatRules,
    StoredAnswer, Unsent,
};
use fleet::{CallRules, ServiceKind};
use http_body_util::Full;
use hyper::{
    Request, Response,
    header::{HOST, HeaderName, HeaderValue},
};
use rand::random;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use upstream::{ServiceConnection, ServiceError};
use web::{ResponseBody, StatusCode};

/// Longest wait for a connection. Inside the site a connection takes less than 1 ms.
const CONNECT_WAIT_MS: u64 = 500;

/// Other upstreams that a call may try.
const RETRIES: u32 = 2;

/// Age after which a claim is not used any more. A process that was paused for long must not send a call whose caller
/// and claim may have gone.
const CLAIM_USE_MS: u64 = 30_000;

/// Longest time by which the write of an answer into its claim delays the answer.
const STORE_WAIT_MS: u64 = 1_000;

/// Header of an answer that comes from a claim.
const REPLAYED: HeaderName = HeaderName::from_static("idempotent-replayed");

/// Rules of a plain service.
///
/// # Errors
///
/// `Service` if there is no such plain service.
pub(crate) fn plain_service(
    shared: &Shared,
    name: &str,
) -> Result<(ServiceName, CallRules), ApiError> {
    let unknown = || ApiError::Service(name.chars().take(100).collect::<String>().into());
    let name = ServiceName::try_from(name).map_err(|_| unknown())?;
    let config = shared.config();
    let service = config.document.service(&name).ok_or_else(unknown)?;
    match service.kind {
        ServiceKind::Plain => Ok((name, service.calls.clone())),
        ServiceKind::Generation => Err(unknown()),
    }
}

/// Sends a call to an upstream of a plain service and returns its answer.
///
/// # Errors
///
/// `NoUpstream` or `PlatformDown` if the call was not run and never will be; `UnknownOutcome` or `AnswerTimeout` if
/// the upstream may have run it; `KeyReused` and `AnswerNotStored` for a repeated key.
pub(crate) async fn forward(
    shared: Arc<Shared>,
    request: CallRequest,
    rules: CallRules,
) -> Result<Response<ResponseBody>, ApiError> {
    let repeat_rules = RepeatRules {
        idempotent: &rules.idempotent_methods,
        at_most_once: &rules.at_most_once_methods,
    };
    let repeat = repeat_rules.decide(request.method.as_str(), request.key.is_some());
    let answer = match request.key.clone() {
        Some(key) => keyed(&shared, &request, &key, &rules).await,
        None => attempt(&shared, &request, repeat, &rules).await.map(whole),
    };
    let mut response = answer?;
    let headers = response.headers_mut();
    headers.insert(REQUEST_ID, request.request_id.clone());
    Ok(response)
}

/// Runs a call with an idempotency key at most once.
async fn keyed(
    shared: &Shared,
    request: &CallRequest,
    key: &IdempotencyKey,
    rules: &CallRules,
) -> Result<Response<ResponseBody>, ApiError> {
    let kv_key = key.kv_key(&request.account);
    let claimed_ms = shared.clock.now_ms();
    let record = ClaimRecord {
        nonce: random(),
        owner: shared.vm_id.clone(),
        digest: request.digest(),
        created_unix_ms: Clock::unix_ms(),
        state: ClaimState::Open,
    };
    let revision = match shared.claims.claim(&kv_key, record.clone()).await {
        ClaimOutcome::Owned { revision } => revision,
        ClaimOutcome::Stored(answer) => return replay(&answer),
        ClaimOutcome::Busy { revision, created_unix_ms } => {
            let left_ms = rules.answer_wait_ms.saturating_sub(age_ms(created_unix_ms));
            return busy(shared, &kv_key, revision, left_ms).await;
        }
        ClaimOutcome::Unknown => return Err(ApiError::UnknownOutcome),
        ClaimOutcome::OtherRequest => return Err(ApiError::KeyReused),
        ClaimOutcome::Unavailable => return Err(ApiError::PlatformDown),
    };
    let outcome = if shared.clock.now_ms() - claimed_ms > CLAIM_USE_MS {
        Err(ApiError::NoUpstream)
    } else {
        attempt(shared, request, Repeat::AtMostOnce, rules).await
    };
    let state = match &outcome {
        Ok(answer) => ClaimState::Answered(stored(answer)),
        Err(ApiError::NoUpstream) => ClaimState::NotRun,
        Err(_) => ClaimState::Unknown,
    };
    let claims = shared.claims.clone();
    let closing =
        shared.calls.spawn(async move { claims.close(&kv_key, record, revision, state).await });
    let stored = tokio::time::timeout(Duration::from_millis(STORE_WAIT_MS), closing).await;
    if !matches!(stored, Ok(Ok(true))) {
        log::warn!("calls: the end of a call is not stored yet");
    }
    outcome.map(whole)
}

/// Waits for the end of another call with the same key.
async fn busy(
    shared: &Shared,
    kv_key: &str,
    revision: u64,
    wait_ms: u64,
) -> Result<Response<ResponseBody>, ApiError> {
    if wait_ms == 0 {
        return Err(ApiError::UnknownOutcome);
    }
    match shared.claims.ended(kv_key, revision, wait_ms).await.map(|record| record.state) {
        Some(ClaimState::Answered(answer)) => replay(&answer),
        Some(ClaimState::NotRun) => Err(ApiError::NoUpstream),
        Some(ClaimState::Open | ClaimState::Unknown) | None => Err(ApiError::UnknownOutcome),
    }
}

/// Sends the call, and sends it again where that is safe.
async fn attempt(
    shared: &Shared,
    request: &CallRequest,
    repeat: Repeat,
    rules: &CallRules,
) -> Result<Response<Bytes>, ApiError> {
    let mut call = Call::new(repeat, RETRIES);
    let mut failed_addrs: Vec<SocketAddr> = Vec::new();
    loop {
        let Some(guard) = shared.upstreams.choose(&request.service, &failed_addrs) else {
            return Err(give_up(call));
        };
        let addr = guard.addr();
        let opened = ServiceConnection::open(addr, CONNECT_WAIT_MS).await;
        let http_request = build(request, addr)?;
        let connection = match opened {
            Ok(connection) => connection,
            Err(err) => {
                log::info!("calls: {addr} cannot be reached: {err}");
                failed_addrs.push(addr);
                call = call.retry().map_err(give_up)?;
                continue;
            }
        };
        let sent = call.send();
        match connection.send(http_request, rules.answer_wait_ms).await {
            Ok(answer) => {
                sent.answered();
                if is_leaving(answer.headers()) {
                    shared.upstreams.mark_leaving(addr);
                }
                return Ok(answer_for(request, answer));
            }
            Err(err) => {
                log::warn!("calls: {addr} gave no answer: {err}");
                failed_addrs.push(addr);
                match sent.lost() {
                    Lost::Retry(unsent) => call = unsent,
                    Lost::Unknown(_) => return Err(unknown(&err)),
                }
            }
        }
    }
}

fn give_up(call: Call<Unsent>) -> ApiError {
    match call.close() {
        Ok(_not_run) => ApiError::NoUpstream,
        Err(_unknown) => ApiError::UnknownOutcome,
    }
}

fn unknown(error: &ServiceError) -> ApiError {
    match error {
        ServiceError::Timeout(wait_ms) => ApiError::AnswerTimeout(*wait_ms),
        _ => ApiError::UnknownOutcome,
    }
}

fn build(request: &CallRequest, addr: SocketAddr) -> Result<Request<Full<Bytes>>, ApiError> {
    let mut http_request = Request::builder()
        .method(request.method.clone())
        .uri(&request.path)
        .body(Full::new(request.body.clone()))
        .map_err(|_| ApiError::Route)?;
    let headers = http_request.headers_mut();
    *headers = request_headers(&request.headers);
    let host = HeaderValue::try_from(addr.to_string()).map_err(|_| ApiError::Internal)?;
    headers.insert(HOST, host);
    headers.insert(REQUEST_ID, request.request_id.clone());
    Ok(http_request)
}

fn answer_for(request: &CallRequest, answer: Response<Bytes>) -> Response<Bytes> {
    let (mut parts, body) = answer.into_parts();
    parts.headers = response_headers(&parts.headers, &request.method);
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = parts.headers;
    response
}

fn whole(answer: Response<Bytes>) -> Response<ResponseBody> {
    answer.map(web::full)
}

fn stored(answer: &Response<Bytes>) -> StoredAnswer {
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
