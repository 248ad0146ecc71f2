//! Task of one generation, which passes events between the state machine of the generation, the engines and the caller.

use crate::{
    api_error::ApiError,
    job::Job,
    output::{CallerDisconnected, Output},
    pin_guard::PinGuard,
    render,
    request_meter::RequestMeter,
    running_attempt::{Progress, RunningAttempt, first_event, next_event, wait_for_admission},
    service_recovery_limiter::RecoveryPermit,
    shared::Shared,
};
use base::lock;
use futures::FutureExt;
use limit::Class;
use recovery::{
    Action, AttemptId, FailCause, Generation, Input, Journal, LossCause, Policy, Stats, Timing,
    TimingSample, TimingTracker,
};
use std::{
    future::poll_fn,
    net::SocketAddr,
    sync::{Arc, Mutex},
    task::Poll,
    time::Duration,
};
use tokio::{sync::watch, time::Instant};
use upstream::{EngineError, EngineStream};
use web::ClientError;
use wire::{
    engine::{EngineEvent, FinishReason},
    openai::Usage,
};

/// Duration of a write to the caller above which the caller counts as slow. Token timings are not recorded then: tokens
/// are read late behind a slow caller, so the timings measure the caller and not the engine.
const SLOW_CALLER_WRITE_MS: u64 = 5;

/// Number of usual token gaps after which an engine that runs requests and sends nothing counts as unresponsive, so
/// that new attempts prefer other engines. It is lower than the factor at which an attempt is suspected, since
/// preferring another engine costs nothing.
const UNRESPONSIVE_GAP_FACTOR: f64 = 2.0;

/// Shortest time without events after which an engine counts as unresponsive.
const MIN_UNRESPONSIVE_MS: u64 = 100;

/// Complete answer of a generation, with its finish reason and token counts.
#[derive(Debug)]
pub(crate) struct Answer {
    pub journal: Journal,
    pub reason: FinishReason,
    pub usage: Usage,
}

/// Why a generation ended without a complete answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RelayError {
    /// The caller has disconnected, or another entry has claimed the generation.
    CallerDisconnected,
    /// No attempt completed the answer, and the state machine of the generation gave up.
    Failed(FailCause),
}

impl From<CallerDisconnected> for RelayError {
    fn from(_: CallerDisconnected) -> Self {
        Self::CallerDisconnected
    }
}

/// Drives one generation: starts and cancels attempts at engines and forwards accepted tokens to the output.
pub(crate) struct Relay {
    shared: Arc<Shared>,
    job: Job,
    generation: Generation,
    running: Vec<RunningAttempt>,
    /// Actions that the state machine has requested and that are not performed yet.
    actions: Vec<Action>,
    /// Engines on which attempts of this generation were lost or suspected.
    failed_addrs: Vec<SocketAddr>,
    policy: Policy,
    /// Usual token timings of the model, shared with its other generations.
    tracker: Arc<Mutex<TimingTracker>>,
    vm_changes: watch::Receiver<()>,
    /// Time of the last released token; `None` before the first one.
    last_release_ms: Option<u64>,
    /// Whether an attempt was lost or suspected after the last released token.
    is_interrupted: bool,
    /// Whether the last flush of the output took longer than `SLOW_CALLER_WRITE_MS`.
    is_caller_slow: bool,
    /// Whether a pause in which nothing was read, because the caller did not read, has ended and not all that had arrived in
    /// it has been read.
    is_behind: bool,
    output: Output,
    /// Content of the last finish event of an engine. It may belong to an attempt whose end was not accepted.
    finish: Option<(FinishReason, Usage)>,
    /// Why the generation failed; `None` while it has not failed.
    failure: Option<FailCause>,
    meter: RequestMeter,
    /// Keeps the model version pinned; `None` if the name of the model or version is not valid.
    _pin: Option<PinGuard>,
}

impl Relay {
    /// Creates a relay that continues after the tokens of `journal`, which is empty for a new generation.
    pub fn new(shared: Arc<Shared>, job: Job, journal: Journal, output: Output) -> Self {
        let policy = shared.recovery.policy(job.preset);
        let tracker = shared.recovery.timing_tracker(&job.request.model);
        let vm_changes = shared.upstreams.changes();
        let pin = shared.pins.pin(&job.request.model, &job.request.version);
        let meter = RequestMeter::new(&shared, &job.service, !journal.is_empty());
        Self {
            meter,
            _pin: pin,
            shared,
            job,
            generation: Generation::new(policy, journal),
            running: Vec::new(),
            actions: Vec::new(),
            failed_addrs: Vec::new(),
            policy,
            tracker,
            vm_changes,
            last_release_ms: None,
            is_interrupted: false,
            is_caller_slow: false,
            is_behind: false,
            output,
            finish: None,
            failure: None,
        }
    }

    /// Runs the generation until its answer is complete.
    ///
    /// # Errors
    ///
    /// `CallerDisconnected` if the caller has disconnected or another entry has claimed the generation, `Failed` if the
    /// generation failed. After `Failed`, a streamed answer ends with an error event.
    pub async fn run(mut self) -> Result<Answer, RelayError> {
        let outcome = self.run_to_end().await;
        let stats = self.generation.stats();
        metrics::counter!("generation_attempts_total").increment(u64::from(stats.attempts));
        metrics::counter!("generation_extra_tokens_total")
            .increment(u64::from(stats.dropped_tokens));
        self.meter.finish(match &outcome {
            Ok(_) => Some(false),
            Err(RelayError::Failed(_)) => Some(true),
            Err(RelayError::CallerDisconnected) => None,
        });
        if let Err(RelayError::Failed(cause)) = outcome {
            log::warn!(
                "recovery: generation {} of account {} failed: {cause}",
                self.job.generation_id,
                self.job.account
            );
            self.output.error(ApiError::from(cause));
            let _ = self.output.flush().await;
        }
        let (reason, usage) = outcome?;
        let journal = self.generation.journal().clone();
        Ok(Answer { journal, reason, usage })
    }

    async fn run_to_end(&mut self) -> Result<(FinishReason, Usage), RelayError> {
        self.generation.start(self.shared.clock.now_ms(), &mut self.actions);
        loop {
            self.perform_actions();
            self.flush().await?;
            if let Some(cause) = self.failure {
                return Err(RelayError::Failed(cause));
            }
            if self.generation.is_done()
                && let Some(finish) = self.finish
            {
                return Ok(finish);
            }
            self.wait().await?;
        }
    }

    async fn flush(&mut self) -> Result<(), CallerDisconnected> {
        let start_ms = self.shared.clock.now_ms();
        let (output, running) = (&mut self.output, &mut self.running);
        let flush = output.flush();
        tokio::pin!(flush);
        let write_wait = Duration::from_millis(SLOW_CALLER_WRITE_MS);
        if let Ok(flushed) = tokio::time::timeout(write_wait, &mut flush).await {
            self.is_caller_slow = false;
            return flushed;
        }
        let guards = running.iter_mut().filter_map(|running| running.guard.as_mut());
        let mut guards: Vec<_> = guards.collect();
        guards.iter_mut().for_each(|guard| guard.set_paused(true, start_ms));
        let flushed = flush.await;
        let now_ms = self.shared.clock.now_ms();
        guards.iter_mut().for_each(|guard| guard.set_paused(false, now_ms));
        // The engines were not read meanwhile, so they were not silent.
        let pause_ms = now_ms - start_ms;
        self.generation.skip_pause(pause_ms);
        self.last_release_ms = self.last_release_ms.map(|at_ms| at_ms + pause_ms);
        self.is_caller_slow = true;
        self.is_behind = true;
        flushed
    }

    /// Waits for the next event of an attempt, the next deadline (at most 60 seconds), a change of the list of VMs or
    /// the closing of the release gate, and handles whichever comes first.
    ///
    /// # Errors
    ///
    /// `CallerDisconnected` if the release gate was closed.
    async fn wait(&mut self) -> Result<(), RelayError> {
        let deadline_ms = self.generation.deadline_ms(self.timing()).unwrap_or(u64::MAX / 2);
        let clock = self.shared.clock;
        let deadline =
            Instant::from_std(clock.instant_at(deadline_ms.min(clock.now_ms() + 60_000)));
        let (running, is_behind) = (&mut self.running, &mut self.is_behind);
        let event = poll_fn(|cx| {
            for (position, attempt) in running.iter_mut().enumerate() {
                if let Poll::Ready(outcome) = attempt.next.poll_unpin(cx) {
                    return Poll::Ready((position, outcome));
                }
            }
            *is_behind = false;
            Poll::Pending
        });
        tokio::select! {
            biased;
            (position, outcome) = event => self.on_event(position, outcome),
            () = tokio::time::sleep_until(deadline) => self.handle_input(Input::Tick),
            Ok(()) = self.vm_changes.changed() => self.on_vm_change(),
            () = self.output.disconnected() => return Err(RelayError::CallerDisconnected),
        }
        Ok(())
    }

    fn on_event(&mut self, position: usize, outcome: Result<Progress, EngineError>) {
        let id = self.running[position].id;
        match outcome {
            Ok(Progress::Admitted(permit)) => self.on_admitted(position, permit),
            Ok(Progress::Event(stream, event)) => self.on_engine_event(position, stream, event),
            Err(err) => {
                let lost = self.running.swap_remove(position);
                let cause = loss_cause(&err);
                // An engine may cut off a stream that this entry has not read for some time.
                if let Some(guard) = lost.guard.as_ref().filter(|_| !self.is_behind) {
                    guard.record_engine_error(&err);
                }
                if let Some(addr) = lost.addr() {
                    log::info!(
                        "recovery: generation {} lost attempt {id} at engine {addr}: {err}",
                        self.job.generation_id
                    );
                    if !self.is_behind {
                        self.avoid_engine(addr);
                    }
                }
                self.handle_input(Input::Lost { attempt: id, cause });
            }
        }
    }

    /// Records a failure of the engine of an attempt that was lost because its events do not continue the answer.
    fn on_wrong_event(&mut self, id: AttemptId) {
        let Some(lost) = self.running.iter().find(|running| running.id == id) else { return };
        if let Some(guard) = &lost.guard {
            guard.record_failure();
        }
        if let Some(addr) = lost.addr() {
            log::info!(
                "recovery: generation {} lost attempt {id} at engine {addr}: an event does not continue \
                 the answer",
                self.job.generation_id
            );
            self.avoid_engine(addr);
        }
    }

    /// Reports to the state machine what the new list of VMs says about the engine of each attempt.
    fn on_vm_change(&mut self) {
        let upstreams = Arc::clone(&self.shared.upstreams);
        let attempts: Vec<(AttemptId, SocketAddr)> =
            self.running.iter().filter_map(|running| Some((running.id, running.addr()?))).collect();
        for (attempt, addr) in attempts {
            self.handle_input(Input::Signal { attempt, signal: upstreams.signal(addr) });
        }
    }

    /// Makes further attempts of this generation, and for a while new attempts of all generations, avoid the engine at
    /// `addr`. The engine is still used if there is no other one.
    fn avoid_engine(&mut self, addr: SocketAddr) {
        self.failed_addrs.push(addr);
        self.shared.recovery.record_engine_failure(addr);
    }

    /// Handles an event of an attempt, and all further events that have already arrived on its stream.
    fn on_engine_event(&mut self, position: usize, mut stream: EngineStream, event: EngineEvent) {
        let id = self.running[position].id;
        if let Some(guard) = &self.running[position].guard {
            guard.record_activity(self.shared.clock.now_ms());
        }
        let mut event = event;
        loop {
            match event {
                EngineEvent::Token { index, token_id, text } => {
                    self.handle_input(Input::Token { attempt: id, index, token_id, text: &text });
                }
                EngineEvent::Finish { reason, usage } => {
                    let token_count = usage.completion_tokens;
                    self.finish = Some((reason, render::usage(usage.prompt_tokens, token_count)));
                    self.handle_input(Input::Finished { attempt: id, token_count });
                    let is_accepted = self.generation.is_done();
                    if is_accepted {
                        if let Some(guard) = self.running.swap_remove(position).guard {
                            guard.record_success();
                        }
                        tokio::spawn(stream.close());
                    }
                    return;
                }
                EngineEvent::Error { .. } => {}
            }
            // Events that arrived together are handled before the next flush, so that they share one write to the
            // caller.
            match stream.next_buffered() {
                Ok(Some(next)) => event = next,
                Ok(None) => {
                    self.running[position].next = next_event(stream);
                    return;
                }
                Err(err) => {
                    self.on_event(position, Err(err));
                    return;
                }
            }
        }
    }

    /// Passes an input to the state machine, and records the timings and counts that change with it.
    fn handle_input(&mut self, input: Input<'_>) {
        let now_ms = self.shared.clock.now_ms();
        let before = self.generation.stats();
        self.generation.handle_input(input, now_ms, self.timing(), &mut self.actions);
        self.record_timing_sample();
        let after = self.generation.stats();
        if after != before {
            self.handle_stats_change(input, before, after);
        }
    }

    fn timing(&self) -> Timing {
        lock(&self.tracker).timing()
    }

    fn record_timing_sample(&mut self) {
        let Some(sample) = self.generation.take_sample() else { return };
        if self.is_caller_slow || self.is_behind {
            return;
        }
        let mut tracker = lock(&self.tracker);
        match sample {
            TimingSample::Gap(gap_ms) => tracker.observe_gap(gap_ms),
            TimingSample::FirstToken(wait_ms) => tracker.observe_first_token(wait_ms),
        }
    }

    /// Adds the losses, suspicions and hedges that `input` caused to the metrics. After a new suspicion, further
    /// attempts avoid the engines of all running attempts.
    fn handle_stats_change(&mut self, input: Input<'_>, before: Stats, after: Stats) {
        let cause = match input {
            Input::Lost { cause, .. } => cause,
            Input::Tick => LossCause::Silent,
            _ => LossCause::Malformed,
        };
        let losses = u64::from(after.losses - before.losses);
        if losses > 0 {
            metrics::counter!("generation_losses_total", "cause" => cause.as_str())
                .increment(losses);
        }
        if losses > 0
            && let Input::Token { attempt, .. } | Input::Finished { attempt, .. } = input
        {
            self.on_wrong_event(attempt);
        }
        if after.suspicions > before.suspicions {
            let addrs: Vec<SocketAddr> =
                self.running.iter().filter_map(RunningAttempt::addr).collect();
            log::info!(
                "recovery: generation {} suspects one of the engines {addrs:?}",
                self.job.generation_id
            );
            addrs.into_iter().for_each(|addr| self.avoid_engine(addr));
        }
        metrics::counter!("generation_suspicions_total")
            .increment(u64::from(after.suspicions - before.suspicions));
        metrics::counter!("generation_hedges_total")
            .increment(u64::from(after.hedges - before.hedges));
        self.is_interrupted |= losses > 0 || after.suspicions > before.suspicions;
    }

    fn perform_actions(&mut self) {
        while !self.actions.is_empty() {
            for action in std::mem::take(&mut self.actions) {
                self.perform_action(action);
            }
        }
    }

    fn perform_action(&mut self, action: Action) {
        match action {
            Action::Start { attempt, is_recovery } => self.start(attempt, is_recovery),
            Action::Cancel { attempt } => self.cancel(attempt),
            Action::Release { index } => self.release(index),
            Action::Finish => {
                if let Some((reason, usage)) = self.finish {
                    self.output.finish(reason, usage);
                }
            }
            Action::Fail(cause) => self.failure = Some(cause),
        }
    }

    /// Passes the accepted token at `index` to the output, and frees the permits of recovery attempts.
    fn release(&mut self, index: u32) {
        self.meter.record_token();
        self.output.token(index, self.generation.journal());
        let now_ms = self.shared.clock.now_ms();
        let was_interrupted = std::mem::take(&mut self.is_interrupted);
        if let Some(last_ms) = self.last_release_ms
            && was_interrupted
        {
            let resume_ms = now_ms - last_ms;
            metrics::histogram!("generation_resume_ms").record(resume_ms as f64);
            log::info!(
                "recovery: generation {} resumed at token {index} after {resume_ms} ms",
                self.job.generation_id
            );
        }
        self.last_release_ms = Some(now_ms);
        for running in &mut self.running {
            running.permit = None;
        }
    }

    /// Cancels an attempt by closing its connection. Tokens that have already arrived on the connection are still
    /// passed to the state machine, so that they are counted as extra work.
    fn cancel(&mut self, id: AttemptId) {
        let Some(position) = self.running.iter().position(|running| running.id == id) else {
            return;
        };
        let cancelled = self.running.swap_remove(position);
        let Some(Ok(Progress::Event(mut stream, event))) = cancelled.next.now_or_never() else {
            return;
        };
        let mut next = Some(event);
        while let Some(event) = next {
            if let EngineEvent::Token { index, token_id, text } = event {
                self.handle_input(Input::Token { attempt: id, index, token_id, text: &text });
            }
            next = stream.next_buffered().ok().flatten();
        }
    }

    /// Starts an attempt. A recovery attempt first waits for admission by the rate limiter of its service.
    fn start(&mut self, attempt: AttemptId, is_recovery: bool) {
        let next = wait_for_admission(self.shared.recovery.limiter(&self.job.service));
        self.running.push(RunningAttempt { id: attempt, guard: None, permit: None, next });
        if !is_recovery {
            self.send(self.running.len() - 1, false);
        }
    }

    fn on_admitted(&mut self, position: usize, permit: RecoveryPermit) {
        self.running[position].permit = Some(permit);
        self.send(position, true);
    }

    /// Chooses an engine for the attempt at `position` and sends the request to it. Without a usable engine, the
    /// attempt ends.
    fn send(&mut self, position: usize, is_recovery: bool) {
        let attempt = self.running[position].id;
        let mut avoid = self.failed_addrs.clone();
        avoid.extend(self.running.iter().filter_map(RunningAttempt::addr));
        self.shared.recovery.add_avoided_engines(&mut avoid);
        let now_ms = self.shared.clock.now_ms();
        let unresponsive_ms =
            MIN_UNRESPONSIVE_MS.max((UNRESPONSIVE_GAP_FACTOR * self.timing().gap_ms) as u64);
        let since_ms = now_ms.saturating_sub(unresponsive_ms);
        self.shared.upstreams.add_unresponsive(since_ms, &mut avoid);
        // The recovery of a short generation stays in the short class; all others are in the recovery class.
        let class = if is_recovery { self.job.class.min(Class::Recovery) } else { self.job.class };
        // An engine without requests may have failed without being noticed, so recovery prefers engines that have
        // recently sent something.
        let active_since_ms = is_recovery.then_some(since_ms);
        let chosen = self.shared.upstreams.choose_engine(
            &self.job.service,
            &self.job.request,
            class,
            &avoid,
            active_since_ms,
        );
        let Some(guard) = chosen else {
            self.running.swap_remove(position);
            self.handle_input(Input::NoUpstream { attempt });
            return;
        };
        let addr = guard.addr();
        let mut request = self.job.request.clone();
        request.priority = class.priority();
        request.request_id = format!("{}/{attempt}", self.job.generation_id);
        request.continue_token_ids = self.generation.journal().token_ids().to_vec();
        if is_recovery {
            self.meter.record_recovery();
            log::info!(
                "recovery: generation {} starts attempt {attempt} at engine {addr} after {} tokens",
                self.job.generation_id,
                self.generation.journal().len()
            );
        }
        guard.record_sent(now_ms);
        let engines = self.shared.engines.clone();
        let running = &mut self.running[position];
        running.guard = Some(guard);
        running.next = first_event(engines, addr, request, self.policy.restart);
        self.handle_input(Input::Sent { attempt });
    }
}

fn loss_cause(error: &EngineError) -> LossCause {
    match error {
        EngineError::Client(ClientError::Connect(_)) => LossCause::Connect,
        EngineError::Client(ClientError::Transport(cause)) if cause.is_incomplete_message() => {
            LossCause::Closed
        }
        EngineError::Client(_) => LossCause::Reset,
        EngineError::Closed => LossCause::Closed,
        EngineError::Refused(_) | EngineError::EngineReported(_) => LossCause::Refused,
        _ => LossCause::Malformed,
    }
}
