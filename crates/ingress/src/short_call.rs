//! Calls that are answered by one body.

use crate::{
    attempt_error::AttemptError, caller_error::CallerError, core::Core, exchange::Exchange,
    held_answer::HeldAnswer, inbound::Inbound, instance::Instance, instance_entry::InstanceId,
    placement::Placement,
};
use call::{Call, Idempotency, LostCall, Unknown, Unsent};
use hyper::Response;
use limit::Urgency;
use std::{sync::Arc, time::Duration};
use web::ResponseBody;

/// Target latencies after which an idempotent call is sent to a second instance.
const SLOW_FACTOR: u64 = 3;

/// How an attempt ended.
enum Outcome {
    Answered(HeldAnswer),
    Failed(AttemptError),
    Slow,
}

/// Serves a call.
///
/// # Errors
///
/// `Busy` only if the call has not run and never will.
pub(crate) async fn serve(
    core: &Core,
    inbound: &Inbound,
) -> Result<Response<ResponseBody>, CallerError> {
    let mut call = Call::new(inbound.kind.idempotency(), inbound.max_attempts - 1);
    let mut excluded: Vec<InstanceId> = Vec::new();
    let mut failure: Option<HeldAnswer> = None;
    core.deposit(&inbound.service);
    loop {
        let placement =
            Placement { excluded: &excluded, prefers_local: true, ..Placement::default() };
        let left_ms = inbound.left_ms(core.clock.now_ms());
        let instance = core.place(&inbound.service, &placement).filter(|_| left_ms > 0);
        let is_repeat = !excluded.is_empty();
        let Some(instance) = instance else {
            return give_up(core, inbound, call, failure);
        };
        let is_in_time = core.clock.now_ms() < inbound.arrived_ms + inbound.target_latency_ms;
        let urgency = if is_in_time { Urgency::Urgent } else { Urgency::Late };
        if is_repeat && !core.withdraw(&inbound.service, urgency).await {
            return give_up(core, inbound, call, failure);
        }
        excluded.push(Arc::clone(&instance.entry.id));
        let sent = call.send();
        let may_repeat = sent.idempotency() == Idempotency::Idempotent && sent.has_retries();
        let wait_ms = match may_repeat {
            true => left_ms.min((inbound.target_latency_ms * SLOW_FACTOR).max(1)),
            false => left_ms,
        };
        let outcome = attempt(core, inbound, &instance, wait_ms).await;
        note(core, inbound, &instance, &outcome);
        call = match outcome {
            Outcome::Answered(answer) if !answer.status.is_server_error() || !may_repeat => {
                return Ok(answer.into_response());
            }
            Outcome::Failed(AttemptError::NotSent(_)) => {
                if is_repeat {
                    core.refund(&inbound.service);
                }
                sent.refused()
            }
            Outcome::Failed(AttemptError::Misdirected) => sent.refused(),
            Outcome::Failed(AttemptError::Refused(_)) => match sent.refused().retry() {
                Ok(call) => call,
                Err(call) => return give_up(core, inbound, call, failure),
            },
            lost @ (Outcome::Answered(_)
            | Outcome::Failed(AttemptError::Answered(_) | AttemptError::Lost(_))
            | Outcome::Slow) => {
                if let Outcome::Answered(answer) = lost {
                    failure = Some(answer);
                }
                match sent.lost() {
                    LostCall::Retry(call) => call,
                    LostCall::Unknown(_) => return failed(core, inbound, failure),
                }
            }
        };
    }
}

/// Ends a call that is not sent again.
fn give_up(
    core: &Core,
    inbound: &Inbound,
    call: Call<Unsent>,
    failure: Option<HeldAnswer>,
) -> Result<Response<ResponseBody>, CallerError> {
    let closed: Result<_, Call<Unknown>> = call.close();
    match closed {
        Ok(_) => Err(CallerError::Busy(core.call_retry_after_ms())),
        Err(_) => failed(core, inbound, failure),
    }
}

/// Ends a call that may have run: with an instance's own failure, if there was one.
fn failed(
    core: &Core,
    inbound: &Inbound,
    failure: Option<HeldAnswer>,
) -> Result<Response<ResponseBody>, CallerError> {
    match failure {
        Some(answer) => Ok(answer.into_response()),
        None if inbound.left_ms(core.clock.now_ms()) == 0 => Err(CallerError::TimedOut),
        None => Err(CallerError::Unknown),
    }
}

fn note(core: &Core, inbound: &Inbound, instance: &Instance, outcome: &Outcome) {
    let id = inbound.id_text();
    let at = &instance.entry.id;
    match outcome {
        Outcome::Answered(answer) if answer.status.is_server_error() => {
            log::info!("attempt: id={id} instance={at} answered status={}", answer.status.as_u16());
        }
        Outcome::Answered(_) => instance.succeeded(core.clock.now_ms()),
        Outcome::Failed(err) => {
            log::info!("attempt: id={id} instance={at} failed: {err}");
            if err.is_fault() {
                core.lost(instance);
            }
        }
        Outcome::Slow => {
            log::info!("attempt: id={id} instance={at} gave no answer in time");
            instance.failed(core.clock.now_ms());
        }
    }
}

async fn attempt(
    core: &Core,
    inbound: &Inbound,
    instance: &Arc<Instance>,
    wait_ms: u64,
) -> Outcome {
    let exchange = async {
        let exchange = Exchange::open(core, inbound, Arc::clone(instance), &[]).await?;
        HeldAnswer::read(core, exchange).await
    };
    match tokio::time::timeout(Duration::from_millis(wait_ms), exchange).await {
        Ok(Ok(answer)) => Outcome::Answered(answer),
        Ok(Err(err)) => Outcome::Failed(err),
        Err(_) => Outcome::Slow,
    }
}
