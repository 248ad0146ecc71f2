//! Forwarding of calls to upstreams of plain services, with retries.

use crate::{
    api_error::ApiError,
    call_request::{CallRequest, REQUEST_ID},
    forwarded_headers::{is_leaving, request_headers, response_headers},
    keyed_call::{KeyedCall, RunError},
    shared::Shared,
};
use base::ServiceName;
use bytes::Bytes;
use call::{Call, Idempotency, IdempotencyRules, LostCall, Unsent};
use fleet::{CallRules, ServiceKind};
use http_body_util::Full;
use hyper::{
    Request, Response,
    header::{HOST, HeaderValue},
};
use limit::Urgency;
use std::{net::SocketAddr, sync::Arc};
use upstream::{ServiceConnection, ServiceError};
use web::ResponseBody;

/// Timeout for opening a connection to an upstream. Within a site this takes less than 1 ms.
const CONNECT_WAIT_MS: u64 = 500;

/// Largest number of retries of a call, each at another upstream if there is one.
const MAX_RETRIES: u32 = 2;

/// Finds a plain service by its name and returns its rules for calls (timeout and idempotent methods).
///
/// # Errors
///
/// `UnknownService` if no service has this name, or if the service runs generations.
pub(crate) fn plain_service(
    shared: &Shared,
    name: &str,
) -> Result<(ServiceName, CallRules), ApiError> {
    let unknown = || ApiError::UnknownService(name.chars().take(100).collect::<String>().into());
    let name = ServiceName::try_from(name).map_err(|_| unknown())?;
    let config = shared.config();
    let service = config.document.service(&name).ok_or_else(unknown)?;
    match service.kind {
        ServiceKind::Plain => Ok((name, service.calls.clone())),
        ServiceKind::Generation => Err(unknown()),
    }
}

/// Forwards a call to an upstream of a plain service and returns its response. A call with an idempotency key runs at
/// most once.
///
/// # Errors
///
/// `NoUpstream` or `PlatformUnavailable` if the call was not run and never will be; `UnknownOutcome` or `AnswerTimeout`
/// if the upstream may have run it; `KeyReused` if the idempotency key belongs to another request; `AnswerNotStored` if
/// an earlier call with the key was run, but its answer was too large to be stored.
pub(crate) async fn forward(
    shared: Arc<Shared>,
    request: CallRequest,
    rules: CallRules,
) -> Result<Response<ResponseBody>, ApiError> {
    let idempotency_rules = IdempotencyRules {
        idempotent_methods: &rules.idempotent_methods,
        at_most_once_methods: &rules.at_most_once_methods,
    };
    let idempotency = idempotency_rules.decide(request.method.as_str(), request.key.is_some());
    let answer = match request.key.clone() {
        Some(key) => {
            let account = request.account.clone();
            let max_run_ms = rules.answer_wait_ms;
            let call = KeyedCall { account, key, digest: request.digest(), max_run_ms };
            call.run(&shared, || send_with_retries(&shared, &request, idempotency, &rules)).await
        }
        None => {
            let outcome = send_with_retries(&shared, &request, idempotency, &rules).await;
            outcome.map(|answer| answer.map(web::full)).map_err(ApiError::from)
        }
    };
    let mut response = answer?;
    response.headers_mut().insert(REQUEST_ID, request.request_id.clone());
    Ok(response)
}

/// Sends the call to an upstream, and retries it at other upstreams up to `MAX_RETRIES` times: after a connection that
/// cannot be opened, and also after a lost response if the call may be repeated and the retry budget allows it.
async fn send_with_retries(
    shared: &Shared,
    request: &CallRequest,
    idempotency: Idempotency,
    rules: &CallRules,
) -> Result<Response<Bytes>, RunError> {
    shared.retries.deposit(&request.service, shared.clock.now_ms());
    let mut call = Call::new(idempotency, MAX_RETRIES);
    let mut failed_addrs: Vec<SocketAddr> = Vec::new();
    loop {
        let Some(guard) = shared.upstreams.choose(&request.service, &failed_addrs) else {
            return Err(close_error(call));
        };
        let addr = guard.addr();
        let opened = ServiceConnection::open(addr, CONNECT_WAIT_MS).await;
        let http_request = build_request(request, addr).map_err(RunError::Unknown)?;
        let connection = match opened {
            Ok(connection) => connection,
            Err(err) => {
                log::info!("calls: upstream {addr} is unreachable: {err}");
                guard.record_failure();
                failed_addrs.push(addr);
                call = call.retry().map_err(close_error)?;
                continue;
            }
        };
        let sent = call.send();
        let account = &shared.account;
        match connection.send_held(http_request, rules.answer_wait_ms, account).await {
            Ok(answer) => {
                sent.answered();
                guard.record_success();
                if is_leaving(answer.headers()) {
                    shared.upstreams.mark_leaving(addr);
                }
                return Ok(build_response(request, answer));
            }
            // A lack of room at this daemon is no fault of the upstream, and a retry would find no room either.
            Err(err @ ServiceError::NoRoom(_)) => {
                log::warn!("calls: the answer of upstream {addr} is lost: {err}");
                metrics::counter!("answers_without_room_total").increment(1);
                return Err(unknown_outcome(&err));
            }
            Err(err) => {
                log::warn!("calls: upstream {addr} did not answer: {err}");
                guard.record_failure();
                failed_addrs.push(addr);
                match sent.lost() {
                    LostCall::Retry(unsent) if withdraw_retry(shared, &request.service) => {
                        call = unsent;
                    }
                    LostCall::Retry(unsent) => return Err(close_error(unsent)),
                    LostCall::Unknown(_) => return Err(unknown_outcome(&err)),
                }
            }
        }
    }
}

/// Withdraws one retry from the retry budget of a service and returns whether the budget allowed it. Each entry has a
/// budget of its own.
fn withdraw_retry(shared: &Shared, service: &ServiceName) -> bool {
    shared.retries.try_withdraw(service, 1, Urgency::Urgent, shared.clock.now_ms())
}

/// Error of a call that is not sent again. The call was not run, unless an earlier attempt may have run it.
fn close_error(call: Call<Unsent>) -> RunError {
    match call.close() {
        Ok(not_run) => RunError::NotRun(not_run),
        Err(_unknown) => RunError::Unknown(ApiError::UnknownOutcome),
    }
}

/// Error of a call that was sent, got no answer and must not be retried.
fn unknown_outcome(error: &ServiceError) -> RunError {
    RunError::Unknown(match error {
        ServiceError::Timeout(wait_ms) => ApiError::AnswerTimeout(*wait_ms),
        _ => ApiError::UnknownOutcome,
    })
}

fn build_request(
    request: &CallRequest,
    addr: SocketAddr,
) -> Result<Request<Full<Bytes>>, ApiError> {
    let mut http_request = Request::builder()
        .method(request.method.clone())
        .uri(&request.path)
        .body(Full::new(request.body.clone()))
        .map_err(|_| ApiError::UnknownRoute)?;
    let headers = http_request.headers_mut();
    *headers = request_headers(&request.headers);
    let host = HeaderValue::try_from(addr.to_string()).map_err(|_| ApiError::Internal)?;
    headers.insert(HOST, host);
    headers.insert(REQUEST_ID, request.request_id.clone());
    Ok(http_request)
}

fn build_response(request: &CallRequest, answer: Response<Bytes>) -> Response<Bytes> {
    let (mut parts, body) = answer.into_parts();
    parts.headers = response_headers(&parts.headers, &request.method);
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = parts.headers;
    response
}
