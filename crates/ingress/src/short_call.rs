//! Calls, which are answered by a single response.

use crate::{
    attempt_error::AttemptError,
    buffered_response::BufferedResponse,
    caller_error::CallerError,
    core::Core,
    crash_quarantine::{Subject, log_refusal},
    inbound::Inbound,
    instance::Instance,
    instance_entry::InstanceId,
    placement::Placement,
    retry_permit::RetryPermit,
    silent_call::SilentCall,
};
use call::{Call, Idempotency, LostCall, Unknown, Unsent};
use hyper::Response;
use limit::Urgency;
use quarantine::{Admission, Exposure};
use recovery::LossCause;
use std::{sync::Arc, time::Duration};
use web::ResponseBody;

/// Multiple of the target latency after which an idempotent call is retried at another instance.
const RETRY_LATENCY_FACTOR: u64 = 3;

/// Part of the time until the target latency that a call may wait for the share in a limit, as a divisor. The rest is
/// for the upstream.
const IN_TIME_WAIT_DIVISOR: u64 = 2;

/// Outcome of sending a call to one instance.
pub(crate) enum Outcome {
    /// A valid response arrived, possibly with an error status.
    Answered(BufferedResponse),
    /// No valid response can arrive any more.
    Failed(AttemptError),
    /// No response arrived in the time for the attempt.
    TimedOut,
}

/// Serves a call, with retries at other instances as far as its route and the retry budget allow them.
///
/// # Errors
///
/// `Busy` only if the call has not run and never will.
pub(crate) async fn serve(
    core: &Arc<Core>,
    inbound: &Inbound,
) -> Result<Response<ResponseBody>, CallerError> {
    let mut call = Call::new(inbound.kind.idempotency(), inbound.max_attempts - 1);
    let mut excluded: Vec<InstanceId> = Vec::new();
    let mut silent = SilentCall::new(core, inbound);
    core.deposit(&inbound.service);
    loop {
        let (subject, admission) = core.admit(inbound);
        if let Admission::Refused { verdict, retry_after_ms } = admission {
            if let Some(response) = silent.wait().await {
                return Ok(response.into_response());
            }
            let now_ms = core.clock.now_ms();
            log_refusal("call", inbound, subject, &verdict, excluded.len(), now_ms);
            let call = call.refused_late(silent.take_late_refusals());
            return Err(end_quarantined(call, subject, retry_after_ms));
        }
        let is_trial = matches!(admission, Admission::Trial(_));
        let version_rule = core.rollouts.rule(core, inbound, None, &excluded);
        let placement = Placement {
            excluded: &excluded,
            version_rule: Some(&version_rule),
            prefers_local: true,
            ..Placement::default()
        };
        let left_ms = core.left_ms(inbound);
        let chosen = match left_ms {
            0 => Err(core.call_retry_after_ms()),
            _ => match silent.unless_answered(choose(core, inbound, &placement)).await {
                Ok(chosen) => chosen,
                Err(response) => return Ok(response.into_response()),
            },
        };
        let is_retry = !excluded.is_empty();
        let instance = match chosen {
            Ok(instance) => instance,
            // If the silent instance fails before the deadline, another one may be usable by then.
            Err(_) if silent.is_pending() => match silent.wait().await {
                Some(response) => return Ok(response.into_response()),
                None => continue,
            },
            Err(retry_after_ms) => {
                core.rollouts.log_refusal(core, inbound, &version_rule);
                return give_up(silent, call, retry_after_ms).await;
            }
        };
        let is_in_time = core.clock.now_ms() < inbound.arrived_ms + inbound.target_latency_ms;
        let urgency = if is_in_time { Urgency::Urgent } else { Urgency::Late };
        let mut permit = None;
        if is_retry {
            let withdrawal = RetryPermit::withdraw(core, &inbound.service, urgency);
            permit = match silent.unless_answered(withdrawal).await {
                Ok(permit) => permit,
                Err(response) => return Ok(response.into_response()),
            };
            if permit.is_none() {
                return give_up(silent, call, core.call_retry_after_ms()).await;
            }
        }
        // Other daemons may have reported crashes while the instance and the retry were waited for.
        if !is_trial
            && let (subject, Admission::Refused { verdict, retry_after_ms }) = core.admit(inbound)
        {
            if let Some(response) = silent.wait().await {
                return Ok(response.into_response());
            }
            let now_ms = core.clock.now_ms();
            log_refusal("call", inbound, subject, &verdict, excluded.len(), now_ms);
            let call = call.refused_late(silent.take_late_refusals());
            return Err(end_quarantined(call, subject, retry_after_ms));
        }
        if let Some(permit) = permit {
            permit.spend();
        }
        excluded.push(Arc::clone(&instance.entry.id));
        let sent = call.send();
        let may_retry = sent.idempotency() == Idempotency::Idempotent && sent.has_retries();
        let retry_ms = inbound.target_latency_ms * RETRY_LATENCY_FACTOR;
        let timeout_ms = match may_retry {
            true => left_ms.min(retry_ms.max(silent.min_retry_ms())),
            false => left_ms,
        };
        let sent_ms = core.clock.now_ms();
        let outcome = match silent.send(&instance, timeout_ms).await {
            Ok(outcome) => outcome,
            Err(response) => return Ok(response.into_response()),
        };
        record_outcome(core, inbound, &instance, sent_ms, &outcome);
        call = match outcome {
            Outcome::Answered(response) if !response.status.is_server_error() || !may_retry => {
                return Ok(response.into_response());
            }
            Outcome::Failed(
                AttemptError::NotAccepting
                | AttemptError::NotSent(_)
                | AttemptError::OtherVersion(_),
            ) => {
                if is_retry {
                    core.refund(&inbound.service);
                }
                sent.refused()
            }
            Outcome::Failed(AttemptError::Misdirected) => sent.refused(),
            Outcome::Failed(AttemptError::Refused(_)) => match sent.refused().retry() {
                Ok(call) => call,
                Err(call) => return give_up(silent, call, core.call_retry_after_ms()).await,
            },
            lost @ (Outcome::Answered(_)
            | Outcome::Failed(
                AttemptError::Answered(_) | AttemptError::Lost(_) | AttemptError::NoRoom,
            )
            | Outcome::TimedOut) => {
                if let Outcome::Answered(response) = lost {
                    silent.error_response = Some(response);
                }
                match sent.lost() {
                    LostCall::Retry(call) => call,
                    LostCall::Unknown(_) => return outcome_unknown(silent).await,
                }
            }
        };
    }
}

/// Ends a call that a verdict refuses, and returns the error for the caller.
fn end_quarantined(call: Call<Unsent>, subject: Subject, retry_after_ms: u64) -> CallerError {
    let closed: Result<_, Call<Unknown>> = call.close();
    CallerError::quarantined(subject, closed.is_err(), retry_after_ms)
}

/// Chooses an instance and uses up a request of this daemon's share in its limit, if it has one. If all instances have
/// used up theirs, the call waits for the next one as long as it can still be answered in time, or borrows one from
/// another daemon.
///
/// # Errors
///
/// The time in milliseconds after which the caller may retry, if there is no such instance.
async fn choose(
    core: &Core,
    inbound: &Inbound,
    placement: &Placement<'_>,
) -> Result<Arc<Instance>, u64> {
    let service = &inbound.service;
    if let Some(instance) = core.choose_instance(service, placement) {
        core.take_request(&instance);
        return Ok(instance);
    }
    if !core.is_limited(service, placement) {
        // Instances that have refused this call may want no other one for some time.
        let soonest = core.soonest_instance(service, &Placement::default());
        return Err(soonest.map_or(0, |(_, wait_ms)| wait_ms) + core.call_retry_after_ms());
    }
    let target_ms = inbound.arrived_ms + inbound.target_latency_ms;
    let max_wait_ms = target_ms.saturating_sub(core.clock.now_ms()) / IN_TIME_WAIT_DIVISOR;
    let max_wait_ms = max_wait_ms.min(core.left_ms(inbound));
    let soonest = core.soonest_instance(service, placement);
    if let Some((instance, wait_ms)) = &soonest
        && *wait_ms <= max_wait_ms
    {
        core.take_request(instance);
        tokio::time::sleep(Duration::from_millis(*wait_ms)).await;
        if instance.accepts_requests() {
            return Ok(Arc::clone(instance));
        }
    }
    if let Some(instance) = core.borrow_instance(service, placement).await {
        return Ok(instance);
    }
    let wait_ms = soonest.map_or(0, |(_, wait_ms)| wait_ms);
    let retry_after_ms = wait_ms + core.call_retry_after_ms();
    log::info!(
        "call: id={} refused, reason=limit retry_after_ms={retry_after_ms}",
        inbound.id_text()
    );
    metrics::counter!("requests_limited_total").increment(1);
    Err(retry_after_ms)
}

/// Ends a call that is not retried, once no silent instance can answer it any more. A caller whose call has not run may
/// retry after `retry_after_ms`.
///
/// # Errors
///
/// `Busy` if the call has not run, else the errors of `outcome_unknown`.
async fn give_up(
    mut silent: SilentCall<'_>,
    call: Call<Unsent>,
    retry_after_ms: u64,
) -> Result<Response<ResponseBody>, CallerError> {
    if let Some(response) = silent.wait().await {
        return Ok(response.into_response());
    }
    let closed: Result<_, Call<Unknown>> = call.refused_late(silent.take_late_refusals()).close();
    match closed {
        Ok(_) => Err(CallerError::Busy(retry_after_ms)),
        Err(_) => outcome_unknown(silent).await,
    }
}

/// Ends a call that may have run without a valid answer, once no silent instance can answer it any more. The caller
/// gets the error response of an instance, if any.
///
/// # Errors
///
/// `TimedOut` after the deadline, `OutcomeUnknown` before it.
async fn outcome_unknown(
    mut silent: SilentCall<'_>,
) -> Result<Response<ResponseBody>, CallerError> {
    let response = silent.wait().await;
    match response.or(silent.error_response.take()) {
        Some(response) => Ok(response.into_response()),
        None if silent.left_ms() == 0 => Err(CallerError::TimedOut),
        None => Err(CallerError::OutcomeUnknown),
    }
}

/// Logs a failed attempt and records the outcome in the state of the instance, which got the call at `sent_ms`. An upstream that cut a whole answer off
/// may have crashed on the request: such an answer has no events that show when it began.
pub(crate) fn record_outcome(
    core: &Arc<Core>,
    inbound: &Inbound,
    instance: &Arc<Instance>,
    sent_ms: u64,
    outcome: &Outcome,
) {
    let now_ms = core.clock.now_ms();
    let id = inbound.id_text();
    let at = &instance.entry.id;
    match outcome {
        Outcome::Answered(response) if response.status.is_server_error() => {
            core.record_request_survival(inbound, now_ms);
            log::info!(
                "attempt: id={id} instance={at} answered status={}",
                response.status.as_u16()
            );
        }
        Outcome::Answered(response) => {
            instance.record_success(now_ms);
            instance.rates.observe_response(now_ms.saturating_sub(sent_ms), now_ms);
            // An error status is no answer on the prompt.
            if !response.status.is_success() {
                core.record_request_survival(inbound, now_ms);
            } else if response.ends_with_connection {
                core.check_end(instance, inbound, Exposure::Begun, sent_ms);
            } else {
                core.record_survival(inbound, now_ms);
            }
        }
        Outcome::Failed(err) => {
            log::info!(
                "attempt: id={id} instance={at} failed: {err}; request={}",
                inbound.fingerprint()
            );
            if err.is_fault() {
                core.record_loss(instance);
            }
            if matches!(err, AttemptError::Refused(_)) {
                instance.rates.record_refusal(now_ms);
            }
            if matches!(err, AttemptError::Lost(LossCause::Closed | LossCause::Reset)) {
                core.check_crash(instance, inbound, Exposure::Begun, sent_ms);
            }
        }
        Outcome::TimedOut => {
            log::info!("attempt: id={id} instance={at} gave no answer in time");
            instance.record_failure(now_ms);
            instance.rates.observe_response(now_ms.saturating_sub(sent_ms), now_ms);
        }
    }
}
