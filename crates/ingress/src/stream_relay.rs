//! Relay of one stream of events: carries messages between its state machine, the engines and the caller.

use crate::{
    answer::passed_on,
    attempt::{Attempt, Opened, Progress, Step},
    attempt_error::AttemptError,
    caller_error::CallerError,
    choice::{Choice, Delay, Wanted, choose_engine},
    config::EngineConfig,
    core::Core,
    event::Event,
    exchange::Exchange,
    held_answer::HeldAnswer,
    inbound::Inbound,
    instance::Instance,
    instance_entry::InstanceId,
    kv_replica::{KvReplica, KvReplicaOrigin},
    kv_replicator::KvReplicator,
    placement::Placement,
    route_kind::RouteKind,
};
use bytes::{Bytes, BytesMut};
use call::Idempotency;
use futures::FutureExt;
use hyper::{
    HeaderMap,
    header::{HeaderName, HeaderValue},
};
use limit::Urgency;
use recovery::{Action, AttemptId, EngineSignal, Generation, Input, Journal, LossCause};
use std::{future::poll_fn, sync::Arc, task::Poll};
use tokio::{sync::watch, time::Instant};
use web::AbortedBody;

/// Engines that are asked for their load before one gets the request.
const PROBED_ENGINES: usize = 3;

/// Time that the reading of a prompt takes at an engine that is not busy.
const PROMPT_MS: u64 = 1_200;

/// Time since the last event, or since the request came, in which an attempt waits for an engine that is not busy. The
/// engines of a failure domain that was lost come back in it.
const BUSY_WAIT_MS: u64 = 1_500;

/// Longest sleep of the relay. A deadline beyond it is looked at again.
const MAX_SLEEP_MS: u64 = 60_000;

/// How the answer to the caller begins.
#[derive(Debug)]
pub(crate) enum Begun {
    /// The headers of a stream whose first event has arrived.
    Stream(HeaderMap),
    /// The engine's own failure.
    Failure(HeldAnswer),
}

/// Why the relay ended without the end of the stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Failure {
    /// The time is over.
    Deadline,
    /// No attempt is left, or none may be made.
    Attempts,
}

/// Carries one stream to its end.
pub(crate) struct StreamRelay {
    core: Arc<Core>,
    inbound: Arc<Inbound>,
    generation: Generation,
    actions: Vec<Action>,
    attempts: Vec<Attempt>,
    excluded: Vec<InstanceId>,
    /// Sends whose request may have run, or was refused by an engine.
    sends: u32,
    /// Sends whose request may have run.
    open_sends: u32,
    engine_config: Option<EngineConfig>,
    keeper: KvReplicator,
    /// Why the next attempt waits.
    delay: Option<Delay>,
    head: Option<HeaderMap>,
    own_failure: Option<HeldAnswer>,
    version: Option<HeaderValue>,
    last_event_id: Option<u64>,
    released: BytesMut,
    events: u32,
    losses: u32,
    longest_pause_ms: u64,
    last_release_ms: u64,
    first_event_ms: Option<u64>,
    changes: watch::Receiver<()>,
    is_done: bool,
    failure: Option<Failure>,
}

impl StreamRelay {
    /// Relay of a stream that has not begun.
    pub fn new(core: Arc<Core>, inbound: Arc<Inbound>) -> Self {
        core.deposit(&inbound.service);
        let policy = core.options.stream_policy;
        let changes = core.changes();
        Self {
            generation: Generation::new(policy, Journal::default()),
            actions: Vec::new(),
            attempts: Vec::new(),
            excluded: Vec::new(),
            sends: 0,
            open_sends: 0,
            engine_config: core.engine_config(&inbound.service),
            keeper: KvReplicator::default(),
            delay: None,
            head: None,
            own_failure: None,
            version: None,
            last_event_id: inbound.last_event_id,
            released: BytesMut::new(),
            events: 0,
            losses: 0,
            longest_pause_ms: 0,
            last_release_ms: inbound.arrived_ms,
            first_event_ms: None,
            changes,
            is_done: false,
            failure: None,
            core,
            inbound,
        }
    }

    /// Waits for the first event or the failure of all attempts.
    ///
    /// # Errors
    ///
    /// `Busy` only if the request has not run and never will.
    pub async fn begin(&mut self) -> Result<Begun, CallerError> {
        self.generation.start(self.core.clock.now_ms(), &mut self.actions);
        self.perform();
        while self.released.is_empty() && !self.is_done {
            if let Some(failure) = self.failure {
                let own_failure = self.own_failure.take();
                return own_failure.map(Begun::Failure).ok_or_else(|| self.caller_error(failure));
            }
            self.wait().await;
        }
        self.head.take().map(Begun::Stream).ok_or(CallerError::Unknown)
    }

    /// Bytes of the next events; `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// `Aborted` if the stream cannot be finished.
    pub async fn next_bytes(&mut self) -> Option<Result<Bytes, AbortedBody>> {
        loop {
            if !self.released.is_empty() {
                return Some(Ok(self.released.split().freeze()));
            }
            if self.is_done {
                return None;
            }
            if self.failure.is_some() {
                return Some(Err(AbortedBody::Aborted));
            }
            self.wait().await;
        }
    }

    fn caller_error(&self, failure: Failure) -> CallerError {
        let may_have_run = self.open_sends > 0;
        match failure {
            _ if !may_have_run => CallerError::Busy(self.core.stream_retry_after_ms()),
            Failure::Deadline => CallerError::TimedOut,
            Failure::Attempts => CallerError::Unknown,
        }
    }

    /// Waits for the next step of an attempt or for the next deadline.
    async fn wait(&mut self) {
        let clock = self.core.clock;
        let wake = Instant::from_std(clock.instant_at(self.wake_ms(clock.now_ms())));
        let attempts = &mut self.attempts;
        let keeper = &mut self.keeper;
        let step = poll_fn(|cx| {
            let now_ms = clock.now_ms();
            for (position, attempt) in attempts.iter_mut().enumerate() {
                if let Poll::Ready(step) = attempt.poll_step(now_ms, cx) {
                    return Poll::Ready(Some((position, step)));
                }
            }
            keeper.poll_task(now_ms, cx).map(|()| None)
        });
        tokio::select! {
            biased;
            step = step => match step {
                Some((position, step)) => self.on_step(position, step),
                None => self.keep_copy(),
            },
            () = tokio::time::sleep_until(wake) => self.on_tick(),
            Ok(()) = self.changes.changed() => self.on_change(),
        }
    }

    /// When the relay has something to do although nothing happens.
    fn wake_ms(&self, now_ms: u64) -> u64 {
        let timing = self.core.timing(&self.inbound.service);
        let tick_ms = self.generation.deadline_ms(timing);
        let checks = self.attempts.iter().filter_map(Attempt::check_ms);
        let copy_ms = self.source().and_then(|_| self.keeper.due_ms(self.engine_config?));
        let limits = [self.inbound.deadline_ms, now_ms + MAX_SLEEP_MS];
        limits.into_iter().chain(tick_ms).chain(checks).chain(copy_ms).min().unwrap_or(now_ms)
    }

    /// The engine whose run makes events.
    fn source(&self) -> Option<&Arc<Instance>> {
        let attempt = self.attempts.iter().find(|attempt| attempt.has_event())?;
        attempt.instance.as_ref()
    }

    fn on_tick(&mut self) {
        if self.core.clock.now_ms() >= self.inbound.deadline_ms {
            self.fail(Failure::Deadline);
            return;
        }
        for attempt in &mut self.attempts {
            attempt.check(&self.core, &self.inbound, false);
        }
        self.keep_copy();
        self.input(Input::Tick);
    }

    fn on_change(&mut self) {
        for attempt in &mut self.attempts {
            let domain = attempt.instance.as_ref().map(|instance| &instance.entry.domain);
            let has_loss = domain.is_some_and(|domain| self.core.has_loss(domain));
            attempt.check(&self.core, &self.inbound, has_loss);
        }
        self.keeper.on_change(&self.core);
        self.keep_copy();
    }

    /// Lets a run that makes events have a copy of its memory.
    fn keep_copy(&mut self) {
        let (Some(rules), Some(source)) = (self.engine_config, self.source().cloned()) else {
            return;
        };
        self.keeper.keep(&self.core, &self.inbound, &source, &self.excluded, rules);
    }

    fn on_step(&mut self, position: usize, step: Step) {
        let attempt = &self.attempts[position];
        let id = attempt.id;
        match step {
            Step::Chosen(choice) => self.on_chosen(position, choice),
            Step::Head => self.on_head(position),
            Step::Failure(answer) => self.on_own_failure(position, answer),
            Step::Event(event) => self.on_event(id, event),
            Step::End => {
                let token_count = self.generation.journal().len();
                self.input(Input::Finished { attempt: id, token_count });
                self.close_attempt(id);
            }
            Step::Failed(err) => self.on_failed(position, &err),
            Step::Checked { is_working } => self.on_checked(id, is_working),
        }
    }

    /// A silent engine has answered. If it works on the request and no copy of the run's memory would let another engine
    /// go on quickly, the stream is given more time.
    fn on_checked(&mut self, id: AttemptId, is_working: bool) {
        let signal = (is_working && self.keeper.copy().is_none()).then_some(EngineSignal::Working);
        self.input(Input::Signal { attempt: id, signal });
    }

    fn on_head(&mut self, position: usize) {
        let Progress::Reading { exchange, .. } = &self.attempts[position].progress else { return };
        if self.events == 0 {
            self.head = Some(passed_on(&exchange.headers));
            self.version = exchange.headers.get(&self.core.dialect.weights_version).cloned();
        }
    }

    /// An engine answered with a failure of its own. The caller gets it if no other attempt can be made.
    fn on_own_failure(&mut self, position: usize, answer: HeldAnswer) {
        let status = answer.status;
        let is_final = !status.is_server_error() && self.events == 0;
        self.own_failure = Some(answer);
        if is_final {
            self.fail(Failure::Attempts);
            return;
        }
        self.on_failed(position, &AttemptError::Answered(status.as_u16()));
    }

    fn on_event(&mut self, id: AttemptId, event: Event) {
        let index = self.generation.journal().len();
        if let (Some(event_id), Some(last_id)) = (event.id, self.last_event_id)
            && event_id != last_id + 1
        {
            log::warn!(
                "stream: id={} attempt={id} event={event_id} after event={last_id}",
                self.inbound.id_text()
            );
            self.cancel(id);
            self.input(Input::Lost { attempt: id, cause: LossCause::Malformed });
            return;
        }
        self.last_event_id = event.id.or(self.last_event_id);
        let before = self.released.len();
        self.released.extend_from_slice(&event.bytes);
        self.input(Input::Token { attempt: id, index, token_id: 0, text: "" });
        if self.generation.journal().len() == index {
            self.released.truncate(before);
            return;
        }
        if let Some(sample) = self.generation.take_sample() {
            self.core.observe(&self.inbound.service, sample);
        }
        let now_ms = self.core.clock.now_ms();
        if self.first_event_ms.is_some() {
            let pause_ms = now_ms.saturating_sub(self.last_release_ms);
            self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
        }
        self.first_event_ms.get_or_insert(now_ms);
        self.last_release_ms = now_ms;
        self.events += 1;
    }

    fn on_failed(&mut self, position: usize, err: &AttemptError) {
        let lost = self.attempts.swap_remove(position);
        let Some(instance) = &lost.instance else { return };
        log::info!(
            "attempt: id={} attempt={} instance={} domain={} failed: {err}; events={} silent_ms={}",
            self.inbound.id_text(),
            lost.id,
            instance.entry.id,
            instance.entry.domain,
            self.events,
            self.core.clock.now_ms().saturating_sub(self.last_release_ms),
        );
        match err {
            AttemptError::NotSent(_) | AttemptError::Misdirected => {
                if self.sends > 1 && matches!(err, AttemptError::NotSent(_)) {
                    self.core.refund(&self.inbound.service);
                }
                self.sends = self.sends.saturating_sub(1);
                self.open_sends = self.open_sends.saturating_sub(1);
            }
            AttemptError::Refused(_) => self.open_sends = self.open_sends.saturating_sub(1),
            AttemptError::Answered(_) | AttemptError::Lost(_) => {}
        }
        let has_run = matches!(err, AttemptError::Lost(_));
        if err.is_fault() {
            self.core.lost(instance);
        }
        self.losses += 1;
        self.keep_copy_of_run(has_run);
        self.input(Input::Lost { attempt: lost.id, cause: err.loss_cause() });
    }

    fn input(&mut self, input: Input<'_>) {
        let timing = self.core.timing(&self.inbound.service);
        self.generation.handle_input(input, self.core.clock.now_ms(), timing, &mut self.actions);
        self.perform();
    }

    fn perform(&mut self) {
        while !self.actions.is_empty() {
            for action in std::mem::take(&mut self.actions) {
                match action {
                    Action::Start { attempt, .. } => self.start(attempt),
                    Action::Cancel { attempt } => self.cancel(attempt),
                    Action::Release { .. } => {}
                    Action::Finish => self.finish(),
                    Action::Fail(cause) => {
                        log::info!("stream: id={} failed: {cause}", self.inbound.id_text());
                        self.fail(Failure::Attempts);
                    }
                }
            }
        }
    }

    fn finish(&mut self) {
        self.is_done = true;
        if self.inbound.last_event_id.is_none() {
            let duration_ms = self.core.clock.now_ms() - self.inbound.arrived_ms;
            self.core.observe_whole(&self.inbound.service, duration_ms);
        }
    }

    fn fail(&mut self, failure: Failure) {
        self.failure.get_or_insert(failure);
        self.attempts.clear();
    }

    /// Closes the connection of an attempt that the state machine suspects or no longer needs.
    fn cancel(&mut self, id: AttemptId) {
        let Some(position) = self.attempts.iter().position(|attempt| attempt.id == id) else {
            return;
        };
        let attempt = self.attempts.swap_remove(position);
        let Some(instance) = attempt.instance else { return };
        let silent_ms = self.core.clock.now_ms().saturating_sub(self.last_release_ms);
        log::info!(
            "attempt: id={} attempt={id} instance={} domain={} cancelled; events={} silent_ms={silent_ms}",
            self.inbound.id_text(),
            instance.entry.id,
            instance.entry.domain,
            self.events,
        );
        self.losses += 1;
        self.keep_copy_of_run(true);
        // Checks find engines that are dead; one that is only slow says nothing about its failure domain.
        instance.failed(self.core.clock.now_ms());
    }

    /// Forgets the copy that the last attempt was to make, unless its run can have made one: an engine without a copy
    /// refuses to go on from it.
    fn keep_copy_of_run(&mut self, has_run: bool) {
        let is_made = |copy: &KvReplica| {
            let is_snapshot = copy.origin != KvReplicaOrigin::Continuous;
            has_run && (is_snapshot || self.last_release_ms > copy.since_ms)
        };
        if !self.keeper.copy().is_some_and(is_made) {
            self.keeper.set(None);
        }
    }

    /// Keeps the connection of an attempt that has brought its whole stream.
    fn close_attempt(&mut self, id: AttemptId) {
        let Some(position) = self.attempts.iter().position(|attempt| attempt.id == id) else {
            return;
        };
        let attempt = self.attempts.swap_remove(position);
        if let Some(instance) = attempt.instance {
            instance.succeeded(self.core.clock.now_ms());
            std::mem::take(&mut self.keeper).close(&self.core, &instance);
        }
        if let Progress::Reading { exchange, .. } = attempt.progress {
            exchange.close(&self.core);
        }
    }

    fn start(&mut self, id: AttemptId) {
        let may_repeat =
            self.inbound.kind.idempotency() == Idempotency::Idempotent || self.open_sends == 0;
        if !may_repeat || self.sends >= self.inbound.max_attempts {
            self.fail(Failure::Attempts);
            return;
        }
        let copy = self.keeper.take().filter(|copy| copy.instance.is_open());
        let placement = Placement { excluded: &self.excluded, ..Placement::default() };
        let candidates = self.core.place_some(&self.inbound.service, &placement, PROBED_ENGINES);
        let core = Arc::clone(&self.core);
        let now_ms = core.clock.now_ms();
        let wanted = Wanted {
            service: self.inbound.service.clone(),
            candidates,
            repeat: (self.sends > 0).then(|| self.urgency(copy.is_some(), now_ms)),
            may_wait: now_ms < self.last_release_ms + BUSY_WAIT_MS,
            copy,
        };
        let choosing = async move { choose_engine(&core, wanted).await };
        self.attempts.push(Attempt::choosing(id, choosing.boxed(), now_ms));
    }

    /// Whether the answer can still be in time, or would cost much more later.
    fn urgency(&self, has_copy: bool, now_ms: u64) -> Urgency {
        let RouteKind::Streaming { gap_target_ms, .. } = self.inbound.kind else {
            return Urgency::Urgent;
        };
        let is_in_time = match self.first_event_ms {
            None => now_ms + PROMPT_MS <= self.inbound.arrived_ms + self.inbound.target_latency_ms,
            Some(first_ms) => {
                let first_in_time =
                    first_ms <= self.inbound.arrived_ms + self.inbound.target_latency_ms;
                let pause_ms = now_ms - self.last_release_ms;
                let is_in_time =
                    first_in_time && self.longest_pause_ms.max(pause_ms) <= gap_target_ms;
                let life_ms = self.engine_config.map_or(0, |rules| rules.snapshot_ttl_ms);
                // Without its copy, the stream would have its whole prompt read again.
                let is_copy_ending = pause_ms * 2 > life_ms;
                has_copy && (is_in_time || is_copy_ending)
            }
        };
        if is_in_time { Urgency::Urgent } else { Urgency::Late }
    }

    fn on_chosen(&mut self, position: usize, choice: Choice) {
        let id = self.attempts[position].id;
        let (instance, copy, copy_target) = match choice {
            Choice::Engine { instance, copy, copy_target } => (instance, copy, copy_target),
            Choice::Wait { delay, copy } => {
                if self.delay.replace(delay) != Some(delay) {
                    let id = self.inbound.id_text();
                    log::info!("stream: id={id} waits, reason={}", delay.as_str());
                }
                self.keeper.set(copy);
                self.attempts.swap_remove(position);
                self.input(Input::NoUpstream { attempt: id });
                return;
            }
        };
        self.delay = None;
        self.sends += 1;
        self.open_sends += 1;
        self.excluded.push(Arc::clone(&instance.entry.id));
        let more = self.attempt_headers(copy.as_ref(), copy_target);
        log::info!(
            "attempt: id={} attempt={id} instance={} domain={} after={:?} copy_from={} copy_to={}",
            self.inbound.id_text(),
            instance.entry.id,
            instance.entry.domain,
            self.last_event_id,
            copy.as_ref().map_or("-".into(), |copy| copy.reference(self.inbound.id_text())),
            self.keeper.copy().map_or("-", |copy| &*copy.instance.entry.id),
        );
        let core = Arc::clone(&self.core);
        let inbound = Arc::clone(&self.inbound);
        let target = Arc::clone(&instance);
        let opening = async move {
            let exchange = Exchange::open(&core, &inbound, target, &more).await?;
            if exchange.status.is_success() {
                return Ok(Opened::Stream(exchange));
            }
            HeldAnswer::read(&core, exchange).await.map(Opened::Failure)
        };
        self.attempts[position].sent(instance, opening.boxed(), self.core.clock.now_ms());
        self.input(Input::Sent { attempt: id });
    }

    fn attempt_headers(
        &mut self,
        copy_from: Option<&KvReplica>,
        copy_target: Option<Arc<Instance>>,
    ) -> Vec<(HeaderName, HeaderValue)> {
        let dialect = &self.core.dialect;
        let mut more = Vec::new();
        if let Some(id) = self.last_event_id {
            more.push((dialect.last_event_id.clone(), HeaderValue::from(id)));
        }
        let reference = copy_from.map(|copy| copy.reference(self.inbound.id_text()));
        if let Some(Ok(value)) = reference.map(|text| HeaderValue::from_str(&text)) {
            more.push((dialect.replica_from.clone(), value));
        }
        if self.events > 0
            && let Some(version) = &self.version
        {
            more.push((dialect.expected_weights_version.clone(), version.clone()));
        }
        let makes_copies = self.engine_config.is_some_and(|rules| rules.replicates_kv);
        let target = copy_target.filter(|_| makes_copies);
        let now_ms = self.core.clock.now_ms();
        self.keeper
            .set(target.map(|target| KvReplica::new(target, KvReplicaOrigin::Continuous, now_ms)));
        if let Some(copy) = self.keeper.copy()
            && let Ok(value) = HeaderValue::from_str(&copy.instance.entry.addr.to_string())
        {
            more.push((dialect.replica_to.clone(), value));
        }
        more
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        let outcome = match (self.is_done, self.failure) {
            (true, _) => "whole",
            (false, Some(Failure::Deadline)) => "deadline",
            (false, Some(Failure::Attempts)) => "attempts",
            (false, None) => "caller_gone",
        };
        let now_ms = self.core.clock.now_ms();
        let first_ms = self.first_event_ms.map(|at_ms| at_ms - self.inbound.arrived_ms);
        log::info!(
            "stream: id={} route={} outcome={outcome} events={} sends={} losses={} first_ms={} \
             longest_pause_ms={} total_ms={}",
            self.inbound.id_text(),
            self.inbound.route,
            self.events,
            self.sends,
            self.losses,
            first_ms.map_or(-1, |ms| ms as i64),
            self.longest_pause_ms,
            now_ms.saturating_sub(self.inbound.arrived_ms),
        );
        metrics::counter!("streams_total", "outcome" => outcome).increment(1);
    }
}
