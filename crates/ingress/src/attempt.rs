//! One attempt of a stream: choice of the engine, request and events, with health checks of the engine.

use crate::{
    attempt_error::AttemptError,
    buffered_response::BufferedResponse,
    choice::EngineChoice,
    core::Core,
    engine_timing::EngineTiming,
    event::Event,
    event_splitter::EventSplitter,
    exchange::Exchange,
    inbound::Inbound,
    instance::Instance,
    instance_guards::PrefillGuard,
    probe::{EngineHealth, check_health},
};
use futures::{FutureExt, future::BoxFuture};
use quarantine::{AnswerProgress, Exposure};
use recovery::{AttemptId, LossCause};
use std::{
    sync::Arc,
    task::{Context, Poll, ready},
};

/// Time without an event after which the engine's health is checked. It exceeds the pause that the prefill of another
/// request causes.
const CHECK_AFTER_MS: u64 = 280;

/// Time without data from the engine after which its health is checked during the prefill, before the first event.
const CHECK_PREFILL_MS: u64 = 900;

/// Time without an event after which the engine's health is checked if another engine of its failure domain was lost.
const CHECK_AFTER_LOSS_MS: u64 = 60;

/// Time between the health checks of an engine that did not respond to one, or that is silent beyond its timeout.
const CHECK_SUSPECTED_MS: u64 = 900;

/// Pause of the relay after which bytes that wait to be read count as old. The relay pauses while its caller does not read,
/// and while the daemon is suspended.
const MAX_POLL_PAUSE_MS: u64 = 500;

/// State of one attempt to stream the events of a request from one engine.
pub(crate) struct Attempt {
    pub id: AttemptId,
    /// Chosen engine; `None` while the choice is in progress.
    pub instance: Option<Arc<Instance>>,
    pub progress: Progress,
    /// When something was last sent to the engine or received from it.
    last_activity_ms: u64,
    /// When something was last received from the engine for this attempt; `None` before the head of the response.
    last_received_ms: Option<u64>,
    /// When the attempt was last polled.
    last_polled_ms: u64,
    /// Whether all that had arrived before the last pause of the relay has been read, so that what is read now has just
    /// arrived.
    is_up_to_date: bool,
    /// Whether a pause in which the daemon read nothing has ended and not all that had arrived in it has been read, so that
    /// what is read now tells nothing of the engine's speed.
    is_behind: bool,
    /// Since when the attempt has waited for room, as far as `take_room_wait` has not returned it; `None` if it does not.
    room_since_ms: Option<u64>,
    /// When the last health check started; before the first one, when the request was sent.
    checked_ms: u64,
    /// Health check in progress; `None` if there is none.
    check: Option<BoxFuture<'static, EngineHealth>>,
    /// When the request was sent; before that, when the attempt started.
    sent_ms: u64,
    /// What has arrived of the engine's answer.
    answer: AnswerProgress,
    /// Whether the state machine suspects the attempt, which then runs until another one has replaced it.
    is_suspected: bool,
    /// Whether `take_survival` has returned `true`.
    has_survived: bool,
    /// Counts the prefill as pending at the engine; `None` before the request is sent and after the first event.
    prefill: Option<PrefillGuard>,
    /// Timing of the run at the engine; `None` before the request is sent.
    timing: Option<EngineTiming>,
}

/// What an attempt is waiting for.
pub(crate) enum Progress {
    /// The engine is being chosen.
    Choosing(BoxFuture<'static, EngineChoice>),
    /// The request is being sent, or the head of the response is awaited.
    Opening(BoxFuture<'static, Result<Opened, AttemptError>>),
    /// Events are read from the body of the response.
    Reading { exchange: Box<Exchange>, splitter: EventSplitter },
}

/// Response of an engine: a stream whose head has arrived, or an error response.
pub(crate) enum Opened {
    Stream(Exchange),
    Error(BufferedResponse),
}

/// Progress of an attempt to which the relay reacts.
pub(crate) enum Step {
    /// The choice of the engine has ended, with or without an engine.
    Chosen(EngineChoice),
    /// The head of a stream has arrived.
    Head,
    /// The engine responded with an error status.
    ErrorResponse(BufferedResponse),
    Event(Event),
    /// The response of the engine has ended after a complete event.
    End,
    Failed(AttemptError),
    /// The health check got no valid report.
    Unresponsive,
    /// The health check found the engine alive; `is_working` tells whether the engine reports the request as running.
    Checked {
        is_working: bool,
    },
}

impl Attempt {
    /// Creates an attempt that waits for the choice of its engine.
    pub fn choosing(
        id: AttemptId,
        choosing: BoxFuture<'static, EngineChoice>,
        now_ms: u64,
    ) -> Self {
        Self {
            id,
            instance: None,
            progress: Progress::Choosing(choosing),
            last_activity_ms: now_ms,
            last_received_ms: None,
            last_polled_ms: now_ms,
            is_up_to_date: true,
            is_behind: false,
            room_since_ms: None,
            checked_ms: now_ms,
            check: None,
            sent_ms: now_ms,
            answer: AnswerProgress::default(),
            is_suspected: false,
            has_survived: false,
            prefill: None,
            timing: None,
        }
    }

    /// Starts to send the request to the chosen engine. `prompt_tokens` is the number of tokens that it reads before the
    /// first event; `None` if that is not known.
    pub fn send(
        &mut self,
        instance: Arc<Instance>,
        opening: BoxFuture<'static, Result<Opened, AttemptError>>,
        prompt_tokens: Option<u64>,
        now_ms: u64,
    ) {
        let rates = Arc::clone(&instance.rates);
        self.timing = Some(EngineTiming::new(rates, prompt_tokens, now_ms));
        self.prefill = Some(PrefillGuard::new(Arc::clone(&instance)));
        self.instance = Some(instance);
        self.sent_ms = now_ms;
        self.progress = Progress::Opening(opening);
        self.last_activity_ms = now_ms;
        self.checked_ms = now_ms;
    }

    /// Whether an event has arrived from the engine, so that the prefill is finished.
    pub fn has_event(&self) -> bool {
        self.answer.has_event()
    }

    /// Whether the response has neither a length nor chunks, so that its end may be that of the engine.
    pub fn ends_with_connection(&self) -> bool {
        matches!(&self.progress, Progress::Reading { exchange, .. } if exchange.ends_with_connection())
    }

    /// Whether the state machine suspects the attempt.
    pub fn is_suspected(&self) -> bool {
        self.is_suspected
    }

    /// Records whether the state machine suspects the attempt. Returns whether it has begun to suspect it.
    pub fn set_suspected(&mut self, is_suspected: bool) -> bool {
        let was_suspected = std::mem::replace(&mut self.is_suspected, is_suspected);
        is_suspected && !was_suspected
    }

    /// Whether what is read now had arrived in a pause in which the daemon read nothing.
    pub fn is_behind(&self) -> bool {
        self.is_behind
    }

    /// Leaves out a pause in which the daemon read nothing, so that the engine does not count as silent or slow.
    pub fn skip_pause(&mut self, pause_ms: u64) {
        self.last_activity_ms += pause_ms;
        self.checked_ms += pause_ms;
        self.is_behind = true;
    }

    /// Returns for how long the attempt has waited for room in the daemon's memory, and begins to count anew.
    pub fn take_room_wait(&mut self, now_ms: u64) -> u64 {
        let since_ms = self.room_since_ms.take();
        self.room_since_ms = (since_ms.is_some() && self.waits_for_room()).then_some(now_ms);
        since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
    }

    /// Whether the attempt reads nothing because the daemon has no room for what it has read.
    fn waits_for_room(&self) -> bool {
        matches!(&self.progress, Progress::Reading { exchange, .. } if exchange.waits_for_room())
    }

    /// When something was last received from the engine for this attempt; `None` before the head of the response.
    pub fn last_received_ms(&self) -> Option<u64> {
        self.last_received_ms
    }

    /// When the request was sent.
    pub fn sent_ms(&self) -> u64 {
        self.sent_ms
    }

    /// Time since the engine began its answer; `None` if it has not.
    pub fn answering_ms(&self, now_ms: u64) -> Option<u64> {
        self.answer.answering_ms(now_ms)
    }

    /// How far the engine has got with its answer, in case that it has crashed. What the daemon reads late tells nothing of
    /// the time since then.
    pub fn exposure(&self, now_ms: u64) -> Exposure {
        match self.answer.exposure(now_ms) {
            Exposure::Begun if self.is_behind && self.has_event() => Exposure::Waiting,
            exposure => exposure,
        }
    }

    /// Returns `true` once when the engine has survived the request: it has answered for some time, or `is_complete`. What
    /// the daemon reads late does not show for how long the engine has answered.
    pub fn take_survival(&mut self, is_complete: bool, now_ms: u64) -> bool {
        let is_late = !self.is_up_to_date || self.is_behind;
        if self.has_survived
            || is_late && !is_complete
            || !self.answer.has_survived(is_complete, now_ms)
        {
            return false;
        }
        self.has_survived = true;
        true
    }

    /// When the next health check is due; `None` while one is in progress or no engine is chosen.
    pub fn check_due_ms(&self) -> Option<u64> {
        self.instance.as_ref()?;
        let after_ms = match (self.is_suspected, self.has_event()) {
            (true, _) => CHECK_SUSPECTED_MS,
            (false, true) => CHECK_AFTER_MS,
            (false, false) => CHECK_PREFILL_MS,
        };
        self.check.is_none().then(|| self.last_activity_ms.max(self.checked_ms) + after_ms)
    }

    /// Starts a health check if one is due. `has_loss` tells whether an engine of the same failure domain was lost
    /// recently, in which case the check is due earlier.
    pub fn check_if_due(&mut self, core: &Arc<Core>, inbound: &Arc<Inbound>, has_loss: bool) {
        let Some(instance) = &self.instance else { return };
        let now_ms = core.clock.now_ms();
        let is_due = self.check_due_ms().is_some_and(|at_ms| now_ms >= at_ms);
        let is_due_after_loss = has_loss
            && !self.is_suspected
            && self.check.is_none()
            && now_ms >= self.last_activity_ms.max(self.checked_ms) + CHECK_AFTER_LOSS_MS;
        if !is_due && !is_due_after_loss {
            return;
        }
        self.checked_ms = now_ms;
        let core = Arc::clone(core);
        let (instance, inbound) = (Arc::clone(instance), Arc::clone(inbound));
        self.check =
            Some(async move { check_health(&core, &instance, inbound.id_text()).await }.boxed());
    }

    /// Polls for the next step of the attempt, or for the result of the health check.
    pub fn poll_step(&mut self, now_ms: u64, cx: &mut Context<'_>) -> Poll<Step> {
        self.is_up_to_date &= now_ms < self.last_polled_ms + MAX_POLL_PAUSE_MS;
        self.last_polled_ms = now_ms;
        let step = self.poll_progress(cx);
        if self.waits_for_room() {
            self.room_since_ms.get_or_insert(now_ms);
        } else {
            self.is_up_to_date |= step.is_pending();
            self.is_behind &= !step.is_pending();
        }
        if let Poll::Ready(step) = step {
            let is_comment = matches!(&step, Step::Event(event) if event.is_comment());
            if !is_comment {
                self.last_activity_ms = now_ms;
            }
            if self.is_up_to_date && matches!(step, Step::Head | Step::Event(_)) {
                self.last_received_ms = Some(now_ms);
            }
            if matches!(step, Step::Head) {
                self.answer.record_head(now_ms);
            }
            if matches!(step, Step::Event(_)) && !is_comment {
                self.answer.record_event(now_ms);
                self.prefill = None;
                if let Progress::Reading { exchange, .. } = &self.progress {
                    exchange.observe_event();
                }
                if let Some(timing) = &mut self.timing {
                    if self.is_behind {
                        timing.skip_events(now_ms);
                    }
                    timing.on_event(now_ms);
                }
            }
            return Poll::Ready(step);
        }
        let Some(check) = &mut self.check else { return Poll::Pending };
        let health = ready!(check.poll_unpin(cx));
        self.check = None;
        Poll::Ready(match health {
            EngineHealth::Dead => lost(LossCause::Connect),
            EngineHealth::Closed | EngineHealth::Unresponsive => Step::Unresponsive,
            EngineHealth::Alive => Step::Checked { is_working: false },
            EngineHealth::Working => Step::Checked { is_working: true },
        })
    }

    fn poll_progress(&mut self, cx: &mut Context<'_>) -> Poll<Step> {
        loop {
            match &mut self.progress {
                Progress::Choosing(choosing) => {
                    return choosing.poll_unpin(cx).map(Step::Chosen);
                }
                Progress::Opening(opening) => match ready!(opening.poll_unpin(cx)) {
                    Ok(Opened::Stream(exchange)) => {
                        let exchange = Box::new(exchange);
                        self.progress =
                            Progress::Reading { exchange, splitter: EventSplitter::default() };
                        return Poll::Ready(Step::Head);
                    }
                    Ok(Opened::Error(response)) => {
                        return Poll::Ready(Step::ErrorResponse(response));
                    }
                    Err(err) => return Poll::Ready(Step::Failed(err)),
                },
                Progress::Reading { exchange, splitter } => {
                    if !ready!(exchange.poll_room(cx)) {
                        let (bytes, _) = splitter.buffered_bytes();
                        log::warn!("memory: no room for {bytes} bytes of an event");
                        return Poll::Ready(Step::Failed(AttemptError::NoRoom));
                    }
                    match splitter.next_event() {
                        Ok(Some(event)) => return Poll::Ready(Step::Event(event)),
                        Ok(None) => {}
                        Err(_) => return Poll::Ready(lost(LossCause::Malformed)),
                    }
                    match ready!(exchange.poll_data(cx)) {
                        Some(Ok(data)) => {
                            splitter.push(&data);
                            let (bytes, capacity_bytes) = splitter.buffered_bytes();
                            exchange.keep_or_wait(bytes, capacity_bytes);
                        }
                        Some(Err(err)) => return Poll::Ready(Step::Failed(err)),
                        // The end of a connection without an event does not show that the answer is complete.
                        None if splitter.has_partial()
                            || !self.answer.has_event() && exchange.ends_with_connection() =>
                        {
                            return Poll::Ready(lost(LossCause::Closed));
                        }
                        None => return Poll::Ready(Step::End),
                    }
                }
            }
        }
    }
}

fn lost(cause: LossCause) -> Step {
    Step::Failed(AttemptError::Lost(cause))
}
