//! Relay of one stream of events between the engines, the stream's state machine and the caller.

use crate::{
    attempt::{Attempt, Opened, Progress, Step},
    attempt_error::AttemptError,
    buffered_response::BufferedResponse,
    caller_error::CallerError,
    caller_stall::CallerStall,
    cancel_reason::CancelReason,
    choice::{EngineChoice, EngineRequirements, WaitReason, choose_engine},
    core::Core,
    crash_quarantine::{Subject, log_refusal},
    engine_hold::EngineHold,
    event::Event,
    exchange::Exchange,
    inbound::Inbound,
    instance::Instance,
    instance_entry::InstanceId,
    kv_replica::{KvReplica, KvReplicaOrigin},
    kv_replicator::KvReplicator,
    placement::Placement,
    probe::PREFILL_MS,
    response_head::forwarded_headers,
    route_kind::RouteKind,
    stream_failure::Failure,
    stream_schedule::StreamSchedule,
    take_up::{TakeUp, probed_engines, version_key},
    version_rule::VersionRule,
};
use affinity::{ReplicaRecord, SoftwareVersion, StreamVersion, TakeUpError};
use bytes::{Bytes, BytesMut};
use call::Idempotency;
use futures::FutureExt;
use hyper::{
    HeaderMap,
    header::{HeaderName, HeaderValue},
};
use limit::{StreamProgress, Urgency};
use quarantine::{Admission, PartNames, Verdict};
use recovery::{Action, AttemptId, EngineSignal, Generation, Input, Journal, LossCause};
use std::{future::poll_fn, sync::Arc, task::Poll};
use tokio::{sync::watch, time::Instant};
use web::AbortedBody;

/// Longest wait of an attempt for an engine that is not busy, counted from the last event, or from the arrival of the
/// request if there was none. The engines of a lost failure domain are usually back by then.
const MAX_BUSY_WAIT_MS: u64 = 1_500;

/// Shortest time between two checks of the deadlines while bytes are waiting, so that the bytes are read as well.
const MIN_TICK_INTERVAL_MS: u64 = 20;

/// Longest sleep of the relay. If the next deadline is later, the relay computes it again after the sleep.
const MAX_SLEEP_MS: u64 = 60_000;

/// First result of the relay, from which the head of the response to the caller is created.
#[derive(Debug)]
pub(crate) enum StreamStart {
    /// Headers of a stream whose first event has arrived.
    Events(HeaderMap),
    /// Error response of an engine, which the caller gets instead of a stream.
    Error(BufferedResponse),
}

/// Relays one stream of events to its end. A failed attempt is followed by one at another engine, which resumes after
/// the last event.
pub(crate) struct StreamRelay {
    core: Arc<Core>,
    inbound: Arc<Inbound>,
    /// State machine that decides when an attempt starts or ends and which events are released.
    generation: Generation,
    /// Actions of the state machine that are still to be performed.
    actions: Vec<Action>,
    attempts: Vec<Attempt>,
    /// Engines that the request was sent to, which later attempts avoid.
    excluded: Vec<InstanceId>,
    /// Number of engines that got the request, and so may have run the request or have refused it.
    sends: u32,
    /// Number of engines that may have run the request.
    open_sends: u32,
    /// Search for an engine, and the properties of the service's engines.
    schedule: StreamSchedule,
    /// Maintains the KV cache replica from which the next attempt can resume.
    replicator: KvReplicator,
    /// When the replica was requested that was last recorded; `None` if none was.
    recorded_replica_ms: Option<u64>,
    /// Number of times that the stream was taken up, including this one.
    take_ups: u32,
    /// Version of the model weights that created the events before a take-up; `None` if it is not known.
    recorded_weights: Option<HeaderValue>,
    /// Last attempt that was sent to the holder of a replica; `None` if none was.
    replica_attempt: Option<AttemptId>,
    /// Number of sends that were refused by the holder of a replica, which may have lost it.
    refused_replicas: u32,
    caller_stall: CallerStall,
    /// Why the next attempt has to wait; `None` if no attempt has to.
    wait_reason: Option<WaitReason>,
    /// Headers for the caller, from the attempt that sent the first event.
    head: Option<HeaderMap>,
    /// Last error response of an engine; `None` if no engine has sent one.
    error_response: Option<BufferedResponse>,
    /// Software version at which the stream may go on.
    version: StreamVersion,
    /// Versions or instances that a rollout allows for the next attempt.
    version_rule: VersionRule,
    /// Version of the model weights that created the events so far; `None` if the engine did not state it.
    weights_version: Option<HeaderValue>,
    /// Identifier of the last event that the caller has received; `None` before the first event that has one.
    last_event_id: Option<u64>,
    /// Bytes of released events that the response body has not taken yet.
    released: BytesMut,
    /// Number of events that were released to the caller.
    events: u32,
    /// Number of attempts that failed or were cancelled.
    losses: u32,
    /// Longest time between two released events.
    longest_pause_ms: u64,
    /// When the last event was released; the arrival of the request before the first one.
    last_release_ms: u64,
    /// When the first event was released; `None` before it.
    first_event_ms: Option<u64>,
    /// When the deadlines were last checked.
    last_tick_ms: u64,
    instance_changes: watch::Receiver<()>,
    is_done: bool,
    failure: Option<Failure>,
    /// Whether the current attempt is to find out if the parts of the prompt still crash engines.
    is_trial: bool,
}

impl StreamRelay {
    /// Creates the relay of a stream that has not started, and credits the retry budget for its request.
    pub fn new(core: Arc<Core>, inbound: Arc<Inbound>) -> Self {
        core.deposit(&inbound.service);
        let policy = core.options.stream_policy;
        let schedule = StreamSchedule::new(&core, Arc::clone(&inbound));
        let instance_changes = core.instance_changes();
        Self {
            generation: Generation::new(policy, Journal::default()),
            actions: Vec::new(),
            attempts: Vec::new(),
            excluded: Vec::new(),
            sends: 0,
            open_sends: 0,
            schedule,
            replicator: KvReplicator::default(),
            recorded_replica_ms: None,
            take_ups: 0,
            recorded_weights: None,
            replica_attempt: None,
            refused_replicas: 0,
            caller_stall: CallerStall::default(),
            wait_reason: None,
            head: None,
            error_response: None,
            version: StreamVersion::default(),
            version_rule: VersionRule::default(),
            weights_version: None,
            last_event_id: inbound.last_event_id,
            released: BytesMut::new(),
            events: 0,
            losses: 0,
            longest_pause_ms: 0,
            last_release_ms: inbound.arrived_ms,
            first_event_ms: None,
            last_tick_ms: 0,
            instance_changes,
            is_done: false,
            failure: None,
            is_trial: false,
            core,
            inbound,
        }
    }

    /// Starts the first attempt, and waits for the first event or the failure of all attempts.
    ///
    /// # Errors
    ///
    /// `Busy`, `StreamVersionGone` and `StreamVersionUnknown` only if the request has not run and never will.
    pub async fn start(&mut self) -> Result<StreamStart, CallerError> {
        if self.inbound.last_event_id.is_some() {
            self.take_up().await?;
        }
        self.generation.start(self.core.clock.now_ms(), &mut self.actions);
        self.perform();
        while self.released.is_empty() && !self.is_done {
            if let Some(failure) = self.failure {
                let response = self.error_response.take();
                return response.map(StreamStart::Error).ok_or_else(|| self.caller_error(failure));
            }
            self.wait().await;
        }
        self.caller_stall.begin(self.core.clock.now_ms());
        self.head.take().map(StreamStart::Events).ok_or(CallerError::OutcomeUnknown)
    }

    /// Ends a stream that has not started before the shutdown aborts it, like a failed `start`.
    ///
    /// # Errors
    ///
    /// `Busy` only if the request has not run and never will.
    pub fn give_up(&mut self) -> Result<StreamStart, CallerError> {
        self.fail(Failure::Deadline);
        let response = self.error_response.take();
        response.map(StreamStart::Error).ok_or_else(|| self.caller_error(Failure::Deadline))
    }

    /// Waits for the next events and returns their bytes; `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// `Aborted` if the stream cannot be completed.
    pub async fn next_bytes(&mut self) -> Option<Result<Bytes, AbortedBody>> {
        let stall_ms = self.caller_stall.end(self.core.clock.now_ms());
        self.skip_pause(stall_ms);
        loop {
            if !self.released.is_empty() {
                self.caller_stall.begin(self.core.clock.now_ms());
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

    /// Finds out at which software version the stream goes on that the caller takes up.
    ///
    /// # Errors
    ///
    /// `StreamVersionUnknown` or `StreamVersionGone` if it cannot go on; nothing was sent.
    async fn take_up(&mut self) -> Result<(), CallerError> {
        metrics::counter!("stream_takeups_total").increment(1);
        match TakeUp::find(&self.core, &self.inbound).await {
            Ok(take_up) => {
                take_up.log(&self.inbound);
                let TakeUp { version, take_ups, replica, weights_version } = take_up;
                self.version = version;
                self.take_ups = take_ups;
                self.recorded_weights = weights_version;
                self.replicator.set(replica);
                Ok(())
            }
            Err(TakeUpError::Gone(version)) => {
                self.version.begin(&version);
                self.fail_without_version(Failure::VersionGone);
                Err(self.caller_error(Failure::VersionGone))
            }
            Err(TakeUpError::Unknown) => {
                self.fail_without_version(Failure::VersionUnknown);
                Err(self.caller_error(Failure::VersionUnknown))
            }
        }
    }

    /// Fails the relay because no instance may send the next events.
    fn fail_without_version(&mut self, failure: Failure) {
        let reason = match failure {
            Failure::VersionUnknown => "version_unknown",
            _ if self.version.required().is_some_and(|at| self.version_rule.excludes(at)) => {
                "rolled_back"
            }
            _ => "version_gone",
        };
        let is_refusal = self.inbound.last_event_id.is_some() && self.open_sends == 0;
        log::info!(
            "stream: id={} {}, reason={reason} resumes={} after={:?} version={}",
            self.inbound.id_text(),
            if is_refusal { "refused" } else { "ends" },
            self.inbound.resumes.as_deref().unwrap_or("-"),
            self.last_event_id,
            self.version_text(),
        );
        if is_refusal {
            metrics::counter!("stream_takeups_refused_total", "reason" => reason).increment(1);
        }
        self.fail(failure);
    }

    /// Software version of the stream for logs.
    fn version_text(&self) -> &str {
        self.version.required().map_or("-", SoftwareVersion::as_str)
    }

    fn caller_error(&self, failure: Failure) -> CallerError {
        let may_have_run = self.open_sends > 0;
        match failure {
            Failure::Late { retry_after_ms } | Failure::Limit { retry_after_ms }
                if !may_have_run =>
            {
                CallerError::Busy(retry_after_ms)
            }
            Failure::Quarantine { subject, retry_after_ms } => {
                CallerError::quarantined(subject, may_have_run, retry_after_ms)
            }
            Failure::VersionUnknown if !may_have_run => {
                CallerError::StreamVersionUnknown(self.core.stream_retry_after_ms())
            }
            Failure::VersionGone if !may_have_run => {
                CallerError::StreamVersionGone(self.core.stream_retry_after_ms())
            }
            _ if !may_have_run => CallerError::Busy(self.core.stream_retry_after_ms()),
            Failure::Deadline => CallerError::TimedOut,
            Failure::Attempts
            | Failure::Late { .. }
            | Failure::Limit { .. }
            | Failure::VersionGone
            | Failure::VersionUnknown => CallerError::OutcomeUnknown,
        }
    }

    /// Leaves out a pause in which the daemon did not read from the engines, so that it does not count as their silence.
    fn skip_pause(&mut self, pause_ms: u64) {
        if pause_ms == 0 {
            return;
        }
        self.generation.skip_pause(pause_ms);
        self.last_release_ms = (self.last_release_ms + pause_ms).min(self.core.clock.now_ms());
        self.attempts.iter_mut().for_each(|attempt| attempt.skip_pause(pause_ms));
    }

    /// Leaves out the time for which an attempt has waited for room in the daemon's memory.
    fn skip_room_wait(&mut self, now_ms: u64) {
        let pauses = self.attempts.iter_mut().map(|attempt| attempt.take_room_wait(now_ms));
        let pause_ms = pauses.max().unwrap_or(0);
        self.skip_pause(pause_ms);
    }

    /// Waits until an attempt makes a step, the replicator has a result, a deadline passes or the instances change, and
    /// reacts to whichever comes first.
    async fn wait(&mut self) {
        let clock = self.core.clock;
        let now_ms = clock.now_ms();
        self.skip_room_wait(now_ms);
        let wake_ms = self.wake_ms(now_ms);
        // Bytes that arrive without end must not keep the deadlines from being checked.
        if now_ms >= wake_ms.max(self.last_tick_ms + MIN_TICK_INTERVAL_MS) {
            self.on_tick();
            return;
        }
        let wake = Instant::from_std(clock.instant_at(wake_ms));
        let attempts = &mut self.attempts;
        let replicator = &mut self.replicator;
        let step = poll_fn(|cx| {
            let now_ms = clock.now_ms();
            for (position, attempt) in attempts.iter_mut().enumerate() {
                if let Poll::Ready(step) = attempt.poll_step(now_ms, cx) {
                    return Poll::Ready(Some((position, step)));
                }
            }
            replicator.poll_task(now_ms, cx).map(|()| None)
        });
        tokio::select! {
            biased;
            step = step => match step {
                Some((position, step)) => self.on_step(position, step),
                None => self.snapshot_if_due(),
            },
            () = tokio::time::sleep_until(wake) => self.on_tick(),
            Ok(()) = self.instance_changes.changed() => self.on_instance_change(),
        }
    }

    /// Next time at which the relay has something to do, whether or not an attempt makes progress.
    fn wake_ms(&self, now_ms: u64) -> u64 {
        let timing = self.core.timing(&self.inbound.service);
        let tick_ms = self.generation.deadline_ms(timing);
        let checks = self.attempts.iter().filter_map(Attempt::check_due_ms);
        let snapshot_ms = self
            .source()
            .and_then(|_| self.replicator.snapshot_due_ms(self.schedule.engine_config()?));
        let limits = [self.inbound.deadline_ms, now_ms + MAX_SLEEP_MS];
        limits.into_iter().chain(tick_ms).chain(checks).chain(snapshot_ms).min().unwrap_or(now_ms)
    }

    /// Engine that has sent events in the current attempt, so that it can copy the KV cache of the request; `None` if
    /// no engine has, or if its attempt is being replaced.
    fn source(&self) -> Option<&Arc<Instance>> {
        let [attempt] = &self.attempts[..] else { return None };
        attempt.instance.as_ref().filter(|_| attempt.has_event())
    }

    fn on_tick(&mut self) {
        self.last_tick_ms = self.core.clock.now_ms();
        self.skip_room_wait(self.last_tick_ms);
        if self.core.clock.now_ms() >= self.inbound.deadline_ms {
            self.fail(Failure::Deadline);
            return;
        }
        for attempt in &mut self.attempts {
            attempt.check_if_due(&self.core, &self.inbound, false);
        }
        self.snapshot_if_due();
        self.input(Input::Tick);
    }

    fn on_instance_change(&mut self) {
        if !self.attempts.iter().any(Attempt::has_event) && self.refuse_if_condemned() {
            return;
        }
        for attempt in &mut self.attempts {
            let domain = attempt.instance.as_ref().map(|instance| &instance.entry.domain);
            let has_loss = domain.is_some_and(|domain| self.core.has_loss(domain));
            attempt.check_if_due(&self.core, &self.inbound, has_loss);
        }
        self.replicator.on_change(&self.core);
        self.snapshot_if_due();
    }

    /// Starts to create or renew the KV cache snapshot of the request if that is due and an engine is sending events.
    fn snapshot_if_due(&mut self) {
        let (Some(config), Some(source)) = (self.schedule.engine_config(), self.source().cloned())
        else {
            return;
        };
        self.replicator.snapshot_if_due(&self.core, &self.inbound, &source, &self.excluded, config);
    }

    fn on_step(&mut self, position: usize, step: Step) {
        self.skip_room_wait(self.core.clock.now_ms());
        let id = self.attempts[position].id;
        match step {
            Step::Chosen(choice) => self.on_chosen(position, choice),
            Step::Head => {
                self.on_head(position);
                self.input(Input::Accepted { attempt: id });
            }
            Step::ErrorResponse(response) => self.on_error_response(position, response),
            Step::Event(event) => {
                self.record_survival(position, false);
                self.on_event(id, event);
            }
            Step::End => {
                self.record_end(position);
                let token_count = self.generation.journal().len();
                self.input(Input::Finished { attempt: id, token_count });
                self.close_attempt(id);
            }
            Step::Failed(err) => self.on_failed(position, &err),
            Step::Unresponsive => self.input(Input::Unresponsive { attempt: id }),
            Step::Checked { is_working } => self.on_checked(id, is_working),
        }
    }

    /// Records that the engine has survived the request with the end of the response, if that is not the end of the engine.
    fn record_end(&mut self, position: usize) {
        let attempt = &self.attempts[position];
        match &attempt.instance {
            Some(instance) if attempt.ends_with_connection() => {
                let exposure = attempt.exposure(self.core.clock.now_ms());
                self.core.check_end(instance, &self.inbound, exposure, attempt.sent_ms());
            }
            _ => self.record_survival(position, true),
        }
    }

    /// Records that the engine survives the request, once for each attempt.
    fn record_survival(&mut self, position: usize, is_complete: bool) {
        let now_ms = self.core.clock.now_ms();
        if self.attempts[position].take_survival(is_complete, now_ms) {
            self.core.record_survival(&self.inbound, now_ms);
        }
    }

    /// Fails the relay if the request or parts of its prompt are known to crash engines, unless this request is to find
    /// out whether they still do. Returns whether it has failed.
    fn refuse_if_condemned(&mut self) -> bool {
        let Some((subject, verdict, retry_after_ms)) = self.condemnation() else { return false };
        let (now_ms, sends) = (self.core.clock.now_ms(), self.sends as usize);
        log_refusal("stream", &self.inbound, subject, &verdict, sends, now_ms);
        self.fail(Failure::Quarantine { subject, retry_after_ms });
        true
    }

    /// Why the request may not be sent, and the time in milliseconds after which it may be; `None` if it may be sent.
    fn condemnation(&mut self) -> Option<(Subject, Verdict, u64)> {
        if self.is_trial {
            return None;
        }
        let (subject, admission) = self.core.admit(&self.inbound);
        match admission {
            Admission::Allowed => None,
            Admission::Trial(verdict) => {
                log::info!(
                    "quarantine: trial id={} parts={}",
                    self.inbound.id_text(),
                    PartNames(&verdict.parts)
                );
                self.is_trial = true;
                None
            }
            Admission::Refused { verdict, retry_after_ms } => {
                Some((subject, verdict, retry_after_ms))
            }
        }
    }

    /// Handles the health check of an engine that sends no events but is alive. The engine is given more time if it
    /// works on the request and no KV cache replica allows another engine to resume quickly.
    fn on_checked(&mut self, id: AttemptId, is_working: bool) {
        let signal =
            (is_working && self.replicator.replica().is_none()).then_some(EngineSignal::Working);
        self.input(Input::Signal { attempt: id, signal });
    }

    /// Keeps the headers of the response for the caller, unless events of an earlier attempt were released already.
    fn on_head(&mut self, position: usize) {
        let Progress::Reading { exchange, .. } = &self.attempts[position].progress else { return };
        if self.events == 0 {
            self.head = Some(forwarded_headers(&exchange.headers));
            self.weights_version =
                exchange.headers.get(&self.core.dialect.weights_version).cloned();
        }
    }

    /// Keeps the error response of an engine, which the caller gets if no attempt succeeds. A client error before the
    /// first event ends the stream at once.
    fn on_error_response(&mut self, position: usize, response: BufferedResponse) {
        let status = response.status;
        let is_final = !status.is_server_error() && self.events == 0;
        self.error_response = Some(response);
        if is_final {
            self.fail(Failure::Attempts);
            return;
        }
        self.on_failed(position, &AttemptError::Answered(status.as_u16()));
    }

    /// Releases an event to the caller if the state machine accepts it. An event whose identifier does not follow that
    /// of the last event ends the attempt. A comment is released too, but is no progress of the stream.
    fn on_event(&mut self, id: AttemptId, event: Event) {
        if event.is_comment() {
            self.released.extend_from_slice(&event.bytes);
            return;
        }
        let Some(instance) = self.instance_of(id) else { return };
        let version = &instance.entry.software_version;
        if !self.version.allows(version) {
            log::warn!(
                "stream: id={} attempt={id} event of version={version}, began at version={}",
                self.inbound.id_text(),
                self.version_text(),
            );
            self.cancel(id, CancelReason::OtherVersion);
            self.input(Input::Lost { attempt: id, cause: LossCause::Refused });
            return;
        }
        let index = self.generation.journal().len();
        if let Some(last_id) = self.last_event_id
            && event.id != last_id.checked_add(1)
        {
            log::warn!(
                "stream: id={} attempt={id} event={:?} after event={last_id}",
                self.inbound.id_text(),
                event.id
            );
            self.cancel(id, CancelReason::Malformed);
            self.input(Input::Lost { attempt: id, cause: LossCause::Malformed });
            return;
        }
        self.last_event_id = event.id.or(self.last_event_id);
        let length_before = self.released.len();
        self.released.extend_from_slice(&event.bytes);
        self.input(Input::Token { attempt: id, index, token_id: 0, text: "" });
        if self.generation.journal().len() == index {
            self.released.truncate(length_before);
            return;
        }
        self.record_version(&instance);
        let is_behind = self.attempts.iter().any(|attempt| attempt.id == id && attempt.is_behind());
        if let Some(sample) = self.generation.take_sample().filter(|_| !is_behind) {
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
        self.record_replica(&instance);
    }

    /// Records the KV cache replica of the stream if it is a new one, so that another daemon can resume from it after the
    /// loss of this one. `source` is the engine that runs the request.
    fn record_replica(&mut self, source: &Instance) {
        let Some(replica) = self.replicator.replica() else { return };
        let (Some(last_event_id), false) =
            (self.last_event_id, self.recorded_replica_ms == Some(replica.requested_ms))
        else {
            return;
        };
        self.recorded_replica_ms = Some(replica.requested_ms);
        let record = ReplicaRecord {
            holder: (*replica.instance.entry.id).into(),
            fingerprint: self.inbound.run_fingerprint(&self.core.dialect),
            reference: replica.reference(self.inbound.id_text()).into(),
            take_ups: self.take_ups,
            last_event_id,
            weights_version: self.expected_weights().and_then(|v| v.to_str().ok()).map(Into::into),
        };
        // Only a request that was taken up goes on with the stream that it names.
        let stream_id = match self.inbound.last_event_id {
            Some(_) => self.inbound.resumes.as_deref(),
            None => self.inbound.id.to_str().ok(),
        };
        if let Some(stream_id) = stream_id {
            self.core.versions.record_replica(stream_id, source, record);
        }
    }

    /// Instance of a current attempt; `None` if there is no such attempt, or none is chosen.
    fn instance_of(&self, id: AttemptId) -> Option<Arc<Instance>> {
        self.attempts.iter().find(|attempt| attempt.id == id)?.instance.clone()
    }

    /// Binds the stream to the software version of the instance that sent its first event.
    fn record_version(&mut self, instance: &Instance) {
        if self.version != StreamVersion::Any {
            return;
        }
        self.version.begin(&instance.entry.software_version);
        self.core.versions.record_begun(&self.inbound, instance);
    }

    /// Handles the failure of an attempt, after which the state machine decides on the next one.
    fn on_failed(&mut self, position: usize, err: &AttemptError) {
        let lost = self.attempts.swap_remove(position);
        let Some(instance) = &lost.instance else { return };
        let now_ms = self.core.clock.now_ms();
        log::info!(
            "attempt: id={} attempt={} instance={} domain={} failed: {err}; version={} events={} silent_ms={} \
             answering_ms={} parts={} request={}",
            self.inbound.id_text(),
            lost.id,
            instance.entry.id,
            instance.entry.domain,
            instance.entry.software_version,
            self.events,
            now_ms.saturating_sub(self.last_release_ms),
            lost.answering_ms(now_ms).map_or(-1, |ms| ms as i64),
            PartNames(&self.inbound.shared_parts),
            self.inbound.fingerprint(),
        );
        match err {
            AttemptError::Misdirected
            | AttemptError::NotAccepting
            | AttemptError::NotSent(_)
            | AttemptError::OtherVersion(_) => {
                if self.sends > 1 && !matches!(err, AttemptError::Misdirected) {
                    self.core.refund(&self.inbound.service);
                }
                self.sends = self.sends.saturating_sub(1);
                self.open_sends = self.open_sends.saturating_sub(1);
            }
            AttemptError::Refused(_) => {
                self.open_sends = self.open_sends.saturating_sub(1);
                if self.replica_attempt == Some(lost.id) {
                    // The engine may take the request without the replica.
                    self.refused_replicas += 1;
                    self.excluded.retain(|id| *id != instance.entry.id);
                }
            }
            AttemptError::Answered(_) | AttemptError::NoRoom | AttemptError::Lost(_) => {}
        }
        let may_have_run = matches!(err, AttemptError::Lost(_) | AttemptError::NoRoom);
        let is_cut = matches!(err, AttemptError::Lost(LossCause::Closed | LossCause::Reset));
        let has_ended = matches!(err, AttemptError::Lost(LossCause::Connect));
        if is_cut || has_ended {
            let sent_ms = lost.sent_ms();
            self.core.check_crash(instance, &self.inbound, lost.exposure(now_ms), sent_ms);
        }
        // An engine may cut off a stream that this daemon has not read for some time.
        let is_cut = is_cut && !lost.is_behind();
        if let (true, Some(last_received_ms)) = (is_cut, lost.last_received_ms()) {
            self.core.restarts.record_loss(instance, last_received_ms, now_ms);
        }
        self.is_trial &= !self.attempts.is_empty();
        if err.is_fault() && !lost.is_behind() {
            self.core.record_loss(instance);
        }
        self.losses += 1;
        self.drop_missing_replica(lost.id, may_have_run);
        self.input(Input::Lost { attempt: lost.id, cause: err.loss_cause() });
    }

    /// Passes an input to the state machine and performs the actions that follow.
    fn input(&mut self, input: Input<'_>) {
        let timing = self.core.timing(&self.inbound.service);
        self.generation.handle_input(input, self.core.clock.now_ms(), timing, &mut self.actions);
        self.note_suspicions();
        self.perform();
    }

    /// Logs the attempts that the state machine has begun to suspect. Their engines are avoided for some time.
    fn note_suspicions(&mut self) {
        let now_ms = self.core.clock.now_ms();
        for attempt in &mut self.attempts {
            let is_new = attempt.set_suspected(self.generation.is_suspected(attempt.id));
            let Some(instance) = attempt.instance.as_ref().filter(|_| is_new) else { continue };
            log::info!(
                "attempt: id={} attempt={} instance={} domain={} is silent, kept until it is replaced; events={} \
                 silent_ms={}",
                self.inbound.id_text(),
                attempt.id,
                instance.entry.id,
                instance.entry.domain,
                self.events,
                now_ms.saturating_sub(self.last_release_ms),
            );
            // This is no loss: health checks detect dead engines, and one that is only slow does not suggest that its
            // failure domain has failed.
            instance.record_failure(now_ms);
        }
    }

    /// Performs the pending actions of the state machine, and those that follow from them.
    fn perform(&mut self) {
        while !self.actions.is_empty() {
            for action in std::mem::take(&mut self.actions) {
                match action {
                    Action::Start { attempt, .. } => self.start_attempt(attempt),
                    Action::Cancel { attempt } => self.cancel_unneeded(attempt),
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

    /// Marks the stream as complete and records its duration. A stream that the caller resumed is left out, because its
    /// duration covers only the rest of the events and would distort the statistics.
    fn finish(&mut self) {
        self.is_done = true;
        if self.inbound.last_event_id.is_none() {
            let duration_ms = self.core.clock.now_ms() - self.inbound.arrived_ms;
            self.core.observe_complete_stream(&self.inbound.service, duration_ms);
        }
    }

    /// Stops the relay and drops all attempts. Only the first failure is kept.
    fn fail(&mut self, failure: Failure) {
        self.failure.get_or_insert(failure);
        self.attempts.clear();
        self.schedule.leave_queue();
    }

    /// Cancels an attempt that another one has replaced or has made unnecessary.
    fn cancel_unneeded(&mut self, id: AttemptId) {
        let is_suspected =
            self.attempts.iter().any(|attempt| attempt.id == id && attempt.is_suspected());
        let reason = if is_suspected { CancelReason::Replaced } else { CancelReason::Superseded };
        self.cancel(id, reason);
    }

    /// Closes the connection of an attempt, or ends the choice of its engine.
    fn cancel(&mut self, id: AttemptId, reason: CancelReason) {
        let Some(position) = self.attempts.iter().position(|attempt| attempt.id == id) else {
            return;
        };
        let attempt = self.attempts.swap_remove(position);
        self.is_trial &= !self.attempts.is_empty();
        let last_received_ms = attempt.last_received_ms();
        let Some(instance) = attempt.instance else {
            self.schedule.leave_queue();
            return;
        };
        let now_ms = self.core.clock.now_ms();
        if let (CancelReason::Replaced, Some(last_received_ms)) = (reason, last_received_ms) {
            self.core.restarts.record_loss(&instance, last_received_ms, now_ms);
        }
        log::info!(
            "attempt: id={} attempt={id} instance={} domain={} cancelled, reason={}; version={} events={} \
             silent_ms={}",
            self.inbound.id_text(),
            instance.entry.id,
            instance.entry.domain,
            reason.as_str(),
            instance.entry.software_version,
            self.events,
            now_ms.saturating_sub(self.last_release_ms),
        );
        self.losses += 1;
        self.drop_missing_replica(id, true);
        if reason != CancelReason::Superseded {
            instance.record_failure(now_ms);
        }
    }

    /// Forgets the KV cache replica unless the failed attempt can have created it, because an engine refuses to resume
    /// from a replica that it does not hold. `may_have_run` tells whether the engine of the attempt may have executed
    /// the request. After the send of a later attempt, the replica is that of the later one.
    fn drop_missing_replica(&mut self, failed: AttemptId, may_have_run: bool) {
        let mut others = self.attempts.iter();
        if others.any(|attempt| attempt.id > failed && attempt.instance.is_some()) {
            return;
        }
        if !may_have_run || self.existing_replica().is_none() {
            self.replicator.set(None);
        }
    }

    /// KV cache replica that the current attempt can have created; `None` if there is none, or if the engine has sent
    /// no event since the replica was requested.
    fn existing_replica(&self) -> Option<&KvReplica> {
        self.replicator.replica().filter(|replica| {
            let is_snapshot = replica.origin != KvReplicaOrigin::Continuous;
            is_snapshot || self.last_release_ms > replica.requested_ms
        })
    }

    /// Ends an attempt whose stream is complete: keeps its connection and deletes its KV cache snapshot.
    fn close_attempt(&mut self, id: AttemptId) {
        let Some(position) = self.attempts.iter().position(|attempt| attempt.id == id) else {
            return;
        };
        let attempt = self.attempts.swap_remove(position);
        if let Some(instance) = attempt.instance {
            instance.record_success(self.core.clock.now_ms());
            std::mem::take(&mut self.replicator).close(&self.core, &instance);
        }
        if let Progress::Reading { exchange, .. } = attempt.progress {
            drop(exchange.close(&self.core));
        }
    }

    /// Starts an attempt with the choice of its engine. If no further attempt is allowed, the relay fails, unless a
    /// silent attempt may still go on.
    fn start_attempt(&mut self, id: AttemptId) {
        let may_send_again =
            self.inbound.kind.idempotency() == Idempotency::Idempotent || self.open_sends == 0;
        let sends = self.sends.saturating_sub(self.refused_replicas);
        if !may_send_again || sends >= self.inbound.max_attempts {
            self.withdraw_attempt(id);
            return;
        }
        if self.refuse_attempt_if_condemned(id) {
            return;
        }
        let (required, excluded) = (self.version.required(), &self.excluded[..]);
        self.version_rule = self.core.rollouts.rule(&self.core, &self.inbound, required, excluded);
        if self.core.has_only_other_versions(&self.inbound.service, &self.placement()) {
            if self.attempts.is_empty() {
                self.fail_without_version(Failure::VersionGone);
            } else {
                self.input(Input::NoUpstream { attempt: id });
            }
            return;
        }
        // A silent attempt may still go on, and then keeps its replica.
        let replica = match self.attempts.is_empty() {
            true => self.replicator.take(),
            false => self.existing_replica().cloned(),
        };
        let replica = replica.filter(|replica| {
            replica.instance.accepts_requests()
                && self.version.allows(&replica.instance.entry.software_version)
        });
        let candidates = self.core.choose_stream_candidates(
            &self.inbound.service,
            &self.placement(),
            probed_engines(&self.inbound, replica.is_some()),
        );
        let core = Arc::clone(&self.core);
        let now_ms = core.clock.now_ms();
        let is_new = self.sends == 0 && self.events == 0 && self.inbound.last_event_id.is_none();
        let ask = self.schedule.search(self.progress(now_ms), is_new, now_ms);
        let is_free = self.excluded.is_empty() && self.version_rule == VersionRule::Any;
        let is_unconstrained = is_free && self.version == StreamVersion::Any;
        let version_key = self.version.required().filter(|_| is_free).map(version_key);
        let progress = self.progress(now_ms);
        let turn = match replica.is_none() {
            true => {
                self.schedule.turn(&core, ask.as_ref(), progress, is_unconstrained, version_key)
            }
            false => None,
        };
        let requirements = EngineRequirements {
            ask,
            prompt_tokens: self.inbound.prompt_tokens.unwrap_or(0),
            hold_ms: self.schedule.hold_ms(),
            service: self.inbound.service.clone(),
            candidates,
            retry: (self.sends > 0).then(|| self.urgency(replica.is_some(), now_ms)),
            may_wait: now_ms < self.last_release_ms + MAX_BUSY_WAIT_MS,
            replica,
            excluded: self.excluded.clone(),
            version: self.version.clone(),
            version_rule: self.version_rule.clone(),
        };
        let choosing = async move {
            if let Some(turn) = turn {
                turn.await;
            }
            choose_engine(&core, requirements).await
        };
        self.attempts.push(Attempt::choosing(id, choosing.boxed(), now_ms));
    }

    /// Ends an attempt that may not be sent.
    fn withdraw_attempt(&mut self, id: AttemptId) {
        self.attempts.retain(|attempt| attempt.id != id);
        self.schedule.leave_queue();
        if !self.attempts.is_empty() {
            log::info!(
                "stream: id={} sends={} open_sends={} waits for its silent attempt, which may not be replaced",
                self.inbound.id_text(),
                self.sends,
                self.open_sends,
            );
        }
        self.input(Input::NotPermitted { attempt: id });
    }

    /// Like `refuse_if_condemned` for the start or the send of an attempt. If a silent attempt may still go on, only
    /// the new one ends.
    fn refuse_attempt_if_condemned(&mut self, id: AttemptId) -> bool {
        if self.attempts.iter().all(|attempt| attempt.id == id) {
            return self.refuse_if_condemned();
        }
        let is_condemned = self.condemnation().is_some();
        if is_condemned {
            self.withdraw_attempt(id);
        }
        is_condemned
    }

    /// Constraints on the engine of the next attempt.
    fn placement(&self) -> Placement<'_> {
        Placement {
            excluded: &self.excluded,
            required_version: self.version.required(),
            version_rule: Some(&self.version_rule),
            ..Placement::default()
        }
    }

    /// Whether the stream can still meet its targets, or has met them so far.
    fn progress(&self, now_ms: u64) -> StreamProgress {
        let target_ms = self.inbound.first_event_target_ms();
        let gap_target_ms = match self.inbound.kind {
            RouteKind::Streaming { gap_target_ms, .. } => gap_target_ms,
            RouteKind::Idempotent | RouteKind::NonIdempotent => u64::MAX,
        };
        let longest_pause_ms = self.longest_pause_ms.max(now_ms - self.last_release_ms);
        match self.first_event_ms {
            None if now_ms + PREFILL_MS > target_ms => StreamProgress::Late,
            // The caller of a stream that is taken up waits in the middle of the answer.
            None if self.inbound.last_event_id.is_some() => StreamProgress::Begun,
            None => StreamProgress::New,
            Some(first_ms) if first_ms <= target_ms && longest_pause_ms <= gap_target_ms => {
                StreamProgress::Begun
            }
            Some(_) => StreamProgress::Late,
        }
    }

    /// Urgency of a retry. Before the first event, the retry is urgent if that event can still arrive within the target
    /// latency.
    ///
    /// After the first event, the retry is urgent only if there is a KV cache replica, and if either the stream has met
    /// its targets so far or the replica may expire soon. Without the replica, a later retry would cost much more,
    /// because the whole prompt would need a new prefill.
    fn urgency(&self, has_replica: bool, now_ms: u64) -> Urgency {
        let is_urgent = match self.first_event_ms {
            None => self.progress(now_ms) != StreamProgress::Late,
            Some(_) => {
                let pause_ms = now_ms - self.last_release_ms;
                let is_in_time = self.progress(now_ms) == StreamProgress::Begun;
                let ttl_ms =
                    self.schedule.engine_config().map_or(0, |config| config.snapshot_ttl_ms);
                let is_replica_expiring = pause_ms * 2 > ttl_ms;
                has_replica && (is_in_time || is_replica_expiring)
            }
        };
        if is_urgent { Urgency::Urgent } else { Urgency::Late }
    }

    /// Sends the request to the chosen engine, or ends the attempt if it has to wait.
    fn on_chosen(&mut self, position: usize, choice: EngineChoice) {
        let id = self.attempts[position].id;
        let (instance, replica, replica_target, hold, retry) = match choice {
            EngineChoice::Engine {
                instance,
                replica,
                replica_target,
                hold,
                is_borrowed,
                retry,
            } => {
                if !is_borrowed && !self.core.allows_request(&instance) {
                    // Another request has used up the share in the limit meanwhile.
                    self.wait_for_engine(position, WaitReason::Limit, replica);
                    return;
                }
                if !is_borrowed {
                    self.core.take_request(&instance);
                }
                (instance, replica, replica_target, hold, retry)
            }
            EngineChoice::Refuse { late_ms } => {
                let retry_after_ms = self.schedule.refuse(&self.core, late_ms);
                self.fail(Failure::Late { retry_after_ms });
                return;
            }
            EngineChoice::Wait { reason, replica, is_in_time } => {
                self.schedule.record_wait(is_in_time);
                self.wait_for_engine(position, reason, replica);
                return;
            }
        };
        if self.refuse_attempt_if_condemned(id) {
            return;
        }
        if let Some(retry) = retry {
            retry.spend();
        }
        self.wait_reason = None;
        self.schedule.end_search();
        self.sends += 1;
        self.open_sends += 1;
        self.excluded.push(Arc::clone(&instance.entry.id));
        if replica.is_some() {
            self.replica_attempt = Some(id);
        }
        let urgency = self.schedule.urgency_level();
        let mut extra_headers = self.attempt_headers(replica.as_ref(), replica_target, urgency);
        if let Some(id) = hold.and_then(EngineHold::spend) {
            extra_headers.push((self.core.dialect.hold.clone(), id));
        }
        // A request that resumes reads its earlier events as well, or nothing if there is a replica.
        let is_new = replica.is_none() && self.last_event_id.is_none();
        let prompt_tokens = self.inbound.prompt_tokens.filter(|_| is_new);
        log::info!(
            "attempt: id={} attempt={id} instance={} domain={} version={} after={:?} copy_from={} copy_to={} \
             urgency={}",
            self.inbound.id_text(),
            instance.entry.id,
            instance.entry.domain,
            instance.entry.software_version,
            self.last_event_id,
            replica
                .as_ref()
                .map_or("-".into(), |replica| replica.reference(self.inbound.id_text())),
            self.replicator.replica().map_or("-", |replica| &*replica.instance.entry.id),
            urgency.map_or("-".into(), |level| level.to_string()),
        );
        let core = Arc::clone(&self.core);
        let inbound = Arc::clone(&self.inbound);
        let target = Arc::clone(&instance);
        let version = self.version.clone();
        let opening = async move {
            let exchange =
                Exchange::open(&core, &inbound, target, &extra_headers, Some(&version)).await?;
            if exchange.status.is_success() {
                return Ok(Opened::Stream(exchange));
            }
            BufferedResponse::read(&core, exchange, inbound.deadline_ms).await.map(Opened::Error)
        };
        let now_ms = self.core.clock.now_ms();
        self.attempts[position].send(instance, opening.boxed(), prompt_tokens, now_ms);
        self.input(Input::Sent { attempt: id });
    }

    /// Ends an attempt that cannot start yet. The state machine starts the next one after a pause, unless the limits of
    /// the engines leave no request to this daemon before the first event would be late.
    fn wait_for_engine(&mut self, position: usize, reason: WaitReason, replica: Option<KvReplica>) {
        let id = self.attempts[position].id;
        if reason == WaitReason::Limit && self.sends == 0 {
            let soonest = self.core.soonest_instance(&self.inbound.service, &self.placement());
            let wait_ms = soonest.map(|(_, wait_ms)| wait_ms);
            let latest_ms = (self.inbound.arrived_ms + self.inbound.target_latency_ms)
                .saturating_sub(PREFILL_MS);
            if wait_ms.is_none_or(|wait_ms| self.core.clock.now_ms() + wait_ms > latest_ms) {
                let retry_after_ms = wait_ms.unwrap_or(0) + self.core.stream_retry_after_ms();
                log::info!(
                    "stream: id={} refused, reason=limit retry_after_ms={retry_after_ms}",
                    self.inbound.id_text()
                );
                metrics::counter!("requests_limited_total").increment(1);
                self.fail(Failure::Limit { retry_after_ms });
                return;
            }
        }
        if self.wait_reason.replace(reason) != Some(reason) {
            log::info!("stream: id={} waits, reason={}", self.inbound.id_text(), reason.as_str());
        }
        self.attempts.swap_remove(position);
        if self.attempts.is_empty() {
            self.replicator.set(replica);
        } else if replica.is_none() && self.existing_replica().is_some() {
            self.replicator.set(None);
        }
        self.input(Input::NoUpstream { attempt: id });
    }

    /// Version of the model weights that created the events so far, which the next ones must have as well.
    fn expected_weights(&self) -> Option<&HeaderValue> {
        let stated = self.weights_version.as_ref().filter(|_| self.events > 0);
        self.recorded_weights.as_ref().or(stated)
    }

    /// Records the KV cache replica that the attempt is to create at `replica_target`, and returns the additional
    /// headers of its request: after which event the stream resumes, from which replica, and to which engine the KV
    /// cache is replicated.
    fn attempt_headers(
        &mut self,
        resume_from: Option<&KvReplica>,
        replica_target: Option<Arc<Instance>>,
        urgency: Option<u8>,
    ) -> Vec<(HeaderName, HeaderValue)> {
        let dialect = &self.core.dialect;
        let mut headers = Vec::new();
        if let Some(level) = urgency {
            headers.push((dialect.urgency.clone(), HeaderValue::from(u16::from(level))));
        }
        if let Some(id) = self.last_event_id {
            headers.push((dialect.last_event_id.clone(), HeaderValue::from(id)));
        }
        let reference = resume_from.map(|replica| replica.reference(self.inbound.id_text()));
        if let Some(Ok(value)) = reference.map(|text| HeaderValue::from_str(&text)) {
            headers.push((dialect.replica_from.clone(), value));
        }
        if let Some(version) = self.expected_weights() {
            headers.push((dialect.expected_weights_version.clone(), version.clone()));
        }
        let replicates_kv =
            self.schedule.engine_config().is_some_and(|config| config.replicates_kv);
        let target = replica_target.filter(|_| replicates_kv);
        let now_ms = self.core.clock.now_ms();
        self.replicator
            .set(target.map(|target| KvReplica::new(target, KvReplicaOrigin::Continuous, now_ms)));
        if let Some(replica) = self.replicator.replica()
            && let Ok(value) = HeaderValue::from_str(&replica.instance.entry.addr.to_string())
        {
            headers.push((dialect.replica_to.clone(), value));
        }
        headers
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        let outcome = match (self.is_done, self.failure) {
            (true, _) => "whole",
            (false, Some(Failure::Deadline)) => "deadline",
            (false, Some(Failure::Attempts)) => "attempts",
            (false, Some(Failure::Late { .. })) => "late",
            (false, Some(Failure::Limit { .. })) => "limit",
            (false, Some(Failure::Quarantine { .. })) => "quarantine",
            (false, Some(Failure::VersionGone)) => "version_gone",
            (false, Some(Failure::VersionUnknown)) => "version_unknown",
            (false, None) => "caller_gone",
        };
        let now_ms = self.core.clock.now_ms();
        let first_ms = self.first_event_ms.map(|at_ms| at_ms - self.inbound.arrived_ms);
        log::info!(
            "stream: id={} route={} outcome={outcome} version={} events={} sends={} losses={} first_ms={} \
             longest_pause_ms={} total_ms={}",
            self.inbound.id_text(),
            self.inbound.route,
            self.version_text(),
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
