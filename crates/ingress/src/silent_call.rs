//! Exchange of a call whose instance is silent, kept until another instance has taken its place.

use crate::{
    attempt_error::AttemptError,
    buffered_response::BufferedResponse,
    core::Core,
    exchange::Exchange,
    inbound::Inbound,
    instance::Instance,
    short_call::{Outcome, record_outcome},
};
use futures::{FutureExt, future::BoxFuture};
use recovery::Policy;
use std::{sync::Arc, time::Duration};

/// Time after the send to another instance in which the silent exchange is still kept: if the other one refuses the
/// call, the silent one may still answer. A call must not run at two instances for 400 ms.
const HANDOVER_MS: u64 = Policy::EVENTS.handover_ms;

/// Exchange in progress at an instance.
struct Pending<'r> {
    instance: Arc<Instance>,
    sent_ms: u64,
    exchange: BoxFuture<'r, Result<BufferedResponse, AttemptError>>,
}

/// Exchanges of one call: the current one, and an earlier one whose instance is silent.
pub(crate) struct SilentCall<'r> {
    core: &'r Arc<Core>,
    inbound: &'r Inbound,
    /// Exchange that got no answer in its time and was not replaced; `None` if there is none.
    silent: Option<Pending<'r>>,
    /// Last error response of an instance, which the caller gets if no other one answers; `None` if there is none.
    pub error_response: Option<BufferedResponse>,
    /// Number of silent instances that have refused the call after all.
    late_refusals: u32,
}

impl<'r> SilentCall<'r> {
    pub fn new(core: &'r Arc<Core>, inbound: &'r Inbound) -> Self {
        Self { core, inbound, silent: None, error_response: None, late_refusals: 0 }
    }

    /// Whether an instance is silent that may still answer.
    pub fn is_pending(&self) -> bool {
        self.silent.is_some()
    }

    /// Returns how many silent instances have refused the call since the last call of this method, which shows that they
    /// have not run it.
    pub fn take_late_refusals(&mut self) -> u32 {
        std::mem::take(&mut self.late_refusals)
    }

    /// Shortest time after which the next instance may count as silent too. A silent exchange is kept for the whole
    /// handover time, also on a route with a shorter retry timeout, because its answer may be on the way.
    pub fn min_retry_ms(&self) -> u64 {
        if self.is_pending() { HANDOVER_MS } else { 1 }
    }

    /// Time until the call must be answered.
    pub fn left_ms(&self) -> u64 {
        self.core.left_ms(self.inbound)
    }

    /// Waits for `search`, which looks for a replacement.
    ///
    /// # Errors
    ///
    /// The response of the silent instance, if it arrives earlier.
    pub async fn unless_answered<T>(
        &mut self,
        search: impl Future<Output = T>,
    ) -> Result<T, BufferedResponse> {
        tokio::pin!(search);
        loop {
            tokio::select! {
                biased;
                answer = self.late_answer(), if self.is_pending() => {
                    if let Some(response) = answer {
                        return Err(response);
                    }
                }
                found = &mut search => return Ok(found),
            }
        }
    }

    /// Sends the call to `instance` and waits up to `timeout_ms` for the response, but not longer than a shutdown lets
    /// it. After the timeout, the instance is the silent one.
    ///
    /// # Errors
    ///
    /// The response of the instance that was silent before, if it arrives earlier and within the handover time.
    pub async fn send(
        &mut self,
        instance: &Arc<Instance>,
        timeout_ms: u64,
    ) -> Result<Outcome, BufferedResponse> {
        let (core, inbound) = (self.core, self.inbound);
        let target = Arc::clone(instance);
        let exchange = async move {
            let exchange = Exchange::open(core, inbound, target, &[], None).await?;
            BufferedResponse::read(core, exchange, inbound.deadline_ms).await
        };
        let mut current = Pending {
            instance: Arc::clone(instance),
            sent_ms: core.clock.now_ms(),
            exchange: exchange.boxed(),
        };
        let timeout = tokio::time::sleep(Duration::from_millis(timeout_ms));
        let handover = tokio::time::sleep(Duration::from_millis(HANDOVER_MS));
        let last_answers = core.wait_for_last_answers();
        tokio::pin!(timeout, handover, last_answers);
        loop {
            tokio::select! {
                biased;
                result = &mut current.exchange => {
                    return Ok(result.map_or_else(Outcome::Failed, Outcome::Answered));
                }
                answer = self.late_answer(), if self.is_pending() => {
                    if let Some(response) = answer {
                        self.log(&current.instance, "cancelled, reason=superseded");
                        return Err(response);
                    }
                }
                () = &mut last_answers => {
                    self.silent = None;
                    return Ok(Outcome::TimedOut);
                }
                () = &mut handover, if self.is_pending() => self.cancel_replaced(),
                () = &mut timeout => {
                    self.cancel_replaced();
                    self.silent = Some(current);
                    return Ok(Outcome::TimedOut);
                }
            }
        }
    }

    /// Waits for the silent instance until the call must be answered, because the call cannot be sent again. Returns
    /// `None` at once if no instance is silent.
    pub async fn wait(&mut self) -> Option<BufferedResponse> {
        let left_ms = self.left_ms();
        let instance = Arc::clone(&self.silent.as_ref()?.instance);
        if left_ms > 0 {
            self.log(&instance, "is silent, kept because it cannot be replaced");
        }
        let core = self.core;
        let timeout = Duration::from_millis(left_ms);
        let answer = tokio::select! {
            biased;
            answer = tokio::time::timeout(timeout, self.late_answer()) => answer.ok().flatten(),
            () = core.wait_for_last_answers() => None,
        };
        self.silent = None;
        answer
    }

    /// Waits for the end of the silent exchange. Returns its response; `None` if it failed or is an error response.
    async fn late_answer(&mut self) -> Option<BufferedResponse> {
        let pending = self.silent.as_mut()?;
        let result = (&mut pending.exchange).await;
        let Pending { instance, sent_ms, .. } = self.silent.take()?;
        let outcome = result.map_or_else(Outcome::Failed, Outcome::Answered);
        record_outcome(self.core, self.inbound, &instance, sent_ms, &outcome);
        match outcome {
            Outcome::Answered(response) if response.status.is_server_error() => {
                self.error_response = Some(response);
                None
            }
            Outcome::Answered(response) => Some(response),
            Outcome::Failed(err) => {
                self.late_refusals += u32::from(err.is_not_run());
                None
            }
            Outcome::TimedOut => None,
        }
    }

    /// Cancels the silent exchange, because another one has taken its place.
    fn cancel_replaced(&mut self) {
        if let Some(replaced) = self.silent.take() {
            self.log(&replaced.instance, "cancelled, reason=replaced");
        }
    }

    fn log(&self, instance: &Instance, what: &str) {
        log::info!(
            "attempt: id={} instance={} domain={} {what}",
            self.inbound.id_text(),
            instance.entry.id,
            instance.entry.domain
        );
    }
}
