//! State machine that recovers one generation.

use crate::{
    action::Action,
    attempt::{Attempt, AttemptId},
    engine_signal::EngineSignal,
    fail_cause::FailCause,
    input::Input,
    journal::Journal,
    loss_cause::LossCause,
    policy::Policy,
    stats::Stats,
    timing::Timing,
    timing_sample::TimingSample,
};

/// State machine of one generation, with the journal of accepted tokens and the attempts in progress.
///
/// A token is accepted only from an attempt in progress, and only at the next index. All times are milliseconds of one
/// monotonic clock.
#[derive(Clone, Debug)]
pub struct Generation {
    policy: Policy,
    journal: Journal,
    attempts: Vec<Attempt>,
    /// Number of the newest attempt; 0 before the first one.
    last_attempt: AttemptId,
    /// Number of attempts that were started since the last accepted token, not counting those for which no engine was
    /// available.
    attempts_without_token: u32,
    /// Time at which a backoff ends and the next attempt starts; `None` outside a backoff.
    retry_at_ms: Option<u64>,
    /// Time at which an attempt first found no engine while no other attempt was in progress, since the last accepted
    /// token.
    no_upstream_since_ms: Option<u64>,
    /// Why no further attempt was started or sent since the last accepted token; `None` if one can be.
    obstacle: Option<FailCause>,
    is_done: bool,
    /// Time that was measured with the last accepted token; `None` once it was taken.
    sample: Option<TimingSample>,
    stats: Stats,
}

impl Generation {
    /// Creates a generation that continues after the tokens of `journal`, which is empty for a new generation.
    pub fn new(policy: Policy, journal: Journal) -> Self {
        Self {
            policy,
            journal,
            attempts: Vec::new(),
            last_attempt: 0,
            attempts_without_token: 0,
            retry_at_ms: None,
            no_upstream_since_ms: None,
            obstacle: None,
            is_done: false,
            sample: None,
            stats: Stats::default(),
        }
    }

    /// Tokens accepted so far, including those that the generation was created with.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Counters of attempts, losses and dropped tokens since this state machine was created.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Returns the time that was measured with the last accepted token; `None` if it was returned before.
    pub fn take_sample(&mut self) -> Option<TimingSample> {
        self.sample.take()
    }

    /// Whether the generation has finished or failed.
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    /// Starts the generation: appends the action that starts its first attempt.
    pub fn start(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        self.start_attempt(now_ms, actions);
    }

    /// Applies an input and appends the resulting actions. `timing` holds the usual times of the model.
    pub fn handle_input(
        &mut self,
        input: Input<'_>,
        now_ms: u64,
        timing: Timing,
        actions: &mut Vec<Action>,
    ) {
        if self.is_done {
            if matches!(input, Input::Token { .. }) {
                self.stats.dropped_tokens += 1;
            }
            return;
        }
        match input {
            Input::Token { attempt, index, token_id, text } => {
                self.on_token(attempt, index, token_id, text, now_ms, actions);
            }
            Input::Finished { attempt, token_count } => {
                self.on_finished(attempt, token_count, now_ms, actions);
            }
            Input::Lost { attempt, cause } => self.on_lost(attempt, cause, now_ms, actions),
            Input::NoUpstream { attempt } => self.on_no_upstream(attempt, now_ms, actions),
            Input::NotPermitted { attempt } => self.on_not_permitted(attempt, actions),
            Input::Sent { attempt } => self.on_sent(attempt, now_ms),
            Input::Accepted { attempt } => self.on_accepted(attempt, actions),
            Input::Unresponsive { attempt } => self.on_unresponsive(attempt, now_ms, actions),
            Input::Signal { attempt, signal } => self.on_signal(attempt, signal),
            Input::Tick => self.on_tick(now_ms, timing, actions),
        }
    }

    /// Leaves out a pause of `pause_ms`, which has just ended and in which the driver did not read from the engines, so that
    /// it does not count as their silence.
    pub fn skip_pause(&mut self, pause_ms: u64) {
        for attempt in &mut self.attempts {
            attempt.last_event_ms = attempt.last_event_ms.saturating_add(pause_ms);
        }
        for at_ms in [&mut self.retry_at_ms, &mut self.no_upstream_since_ms].into_iter().flatten() {
            *at_ms = at_ms.saturating_add(pause_ms);
        }
    }

    /// Time at which the driver must report the next `Tick`; `None` if there is no deadline.
    pub fn deadline_ms(&self, timing: Timing) -> Option<u64> {
        if self.is_done {
            return None;
        }
        let suspicions = self
            .attempts
            .iter()
            .filter(|attempt| !attempt.is_suspected)
            .map(|attempt| self.suspect_at_ms(attempt, timing));
        let others = [self.retry_at_ms, self.handover_end_ms(), self.give_up_at_ms()];
        suspicions.chain(others.into_iter().flatten()).min()
    }

    /// Whether the attempt is in progress and has sent nothing for longer than its timeout, or its engine did not
    /// respond to a health check.
    pub fn is_suspected(&self, id: AttemptId) -> bool {
        self.position(id).is_some_and(|position| self.attempts[position].is_suspected)
    }

    /// Whether an attempt that is not suspected is in progress.
    fn has_unsuspected(&self) -> bool {
        self.attempts.iter().any(|attempt| !attempt.is_suspected)
    }

    /// Time at which the suspected attempts are cancelled, because another attempt has replaced them; `None` if there
    /// is no suspected attempt, no replacement was sent, or suspected attempts run on as hedges.
    fn handover_end_ms(&self) -> Option<u64> {
        let has_suspected = self.attempts.iter().any(|attempt| attempt.is_suspected);
        let sent = self.attempts.iter().filter(|attempt| attempt.is_sent && !attempt.is_suspected);
        let sent_ms = sent.map(|attempt| attempt.last_event_ms).min()?;
        (has_suspected && !self.policy.keeps_suspected_attempt)
            .then(|| sent_ms.saturating_add(self.policy.handover_ms))
    }

    /// Time at which the generation fails, because its attempts are all suspected and none could be replaced; `None` if
    /// there is no such attempt.
    fn give_up_at_ms(&self) -> Option<u64> {
        if self.has_unsuspected() {
            return None;
        }
        let last_ms = self.attempts.iter().map(|attempt| attempt.last_event_ms).max()?;
        Some(last_ms.saturating_add(self.policy.max_silence_ms))
    }

    /// Time at which an attempt is suspected, or its wait for admission ends, if it sends nothing until then.
    fn suspect_at_ms(&self, attempt: &Attempt, timing: Timing) -> u64 {
        let wait_ms = if attempt.is_sent {
            let usual_ms = if attempt.has_token {
                self.policy.silence_ms(timing)
            } else {
                self.policy.first_token_ms(timing)
            };
            let adjusted_ms = self.policy.adjusted_wait_ms(usual_ms, attempt.signal, timing);
            self.policy.wait_with_backoff_ms(adjusted_ms, self.attempts_without_token)
        } else {
            self.policy.no_upstream_timeout_ms
        };
        attempt.last_event_ms.saturating_add(wait_ms)
    }

    fn position(&self, id: AttemptId) -> Option<usize> {
        self.attempts.iter().position(|attempt| attempt.id == id)
    }

    fn start_attempt(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        self.retry_at_ms = None;
        if self.attempts_without_token >= self.policy.max_attempts_without_token {
            self.fail_unless_running(FailCause::AttemptsExhausted, actions);
            return;
        }
        self.last_attempt += 1;
        self.attempts_without_token += 1;
        self.stats.attempts += 1;
        self.attempts.push(Attempt {
            id: self.last_attempt,
            last_event_ms: now_ms,
            is_sent: false,
            has_token: false,
            is_suspected: false,
            signal: None,
        });
        if self.attempts.len() > 1 {
            self.stats.hedges += 1;
        }
        let is_recovery = self.last_attempt > 1 || !self.journal.is_empty();
        actions.push(Action::Start { attempt: self.last_attempt, is_recovery });
    }

    fn on_token(
        &mut self,
        id: AttemptId,
        index: u32,
        token_id: u32,
        text: &str,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(position) = self.position(id) else {
            self.stats.dropped_tokens += 1;
            return;
        };
        if index != self.journal.len() {
            // A skipped or repeated index means that the engine does not continue after the accepted tokens.
            self.stats.dropped_tokens += 1;
            actions.push(Action::Cancel { attempt: id });
            self.on_lost(id, LossCause::Malformed, now_ms, actions);
            return;
        }
        let attempt = &mut self.attempts[position];
        let wait_ms = now_ms.saturating_sub(attempt.last_event_ms);
        // The silence of an attempt that would have been replaced is a failure of the engine, not a usual time.
        let is_usual = !attempt.is_suspected || self.policy.keeps_suspected_attempt;
        self.sample = is_usual.then_some(match attempt.has_token {
            true => TimingSample::Gap(wait_ms),
            false => TimingSample::FirstToken(wait_ms),
        });
        attempt.last_event_ms = now_ms;
        attempt.is_sent = true;
        attempt.has_token = true;
        attempt.is_suspected = false;
        attempt.signal = attempt.signal.filter(|&signal| signal != EngineSignal::Working);
        self.journal.push(token_id, text);
        self.attempts_without_token = 0;
        self.no_upstream_since_ms = None;
        self.obstacle = None;
        self.retry_at_ms = None;
        self.cancel_others(id, actions);
        actions.push(Action::Release { index });
    }

    fn on_finished(
        &mut self,
        id: AttemptId,
        token_count: u32,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        if self.position(id).is_none() {
            return;
        }
        if token_count != self.journal.len() {
            actions.push(Action::Cancel { attempt: id });
            self.on_lost(id, LossCause::Malformed, now_ms, actions);
            return;
        }
        self.cancel_others(id, actions);
        self.attempts.clear();
        self.is_done = true;
        actions.push(Action::Finish);
    }

    fn on_lost(
        &mut self,
        id: AttemptId,
        _cause: LossCause,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(position) = self.position(id) else { return };
        self.attempts.remove(position);
        self.stats.losses += 1;
        if self.has_unsuspected() || self.retry_at_ms.is_some() {
            return;
        }
        match self.policy.backoff_ms(self.attempts_without_token) {
            0 => self.start_attempt(now_ms, actions),
            backoff_ms => self.retry_at_ms = Some(now_ms.saturating_add(backoff_ms)),
        }
    }

    fn on_sent(&mut self, id: AttemptId, now_ms: u64) {
        if let Some(position) = self.position(id) {
            let attempt = &mut self.attempts[position];
            attempt.is_sent = true;
            attempt.last_event_ms = now_ms;
        }
    }

    /// Ends the suspected attempts once the engine of their replacement has accepted the request.
    fn on_accepted(&mut self, id: AttemptId, actions: &mut Vec<Action>) {
        let Some(position) = self.position(id) else { return };
        let attempt = &self.attempts[position];
        if attempt.is_sent && !attempt.is_suspected {
            self.cancel_replaced(actions);
        }
    }

    fn on_unresponsive(&mut self, id: AttemptId, now_ms: u64, actions: &mut Vec<Action>) {
        if let Some(position) = self.position(id) {
            let attempt = &self.attempts[position];
            if attempt.is_sent && !attempt.is_suspected {
                self.suspect(position, now_ms, actions);
            }
        }
    }

    /// Withdraws an attempt that the driver may not send. The suspected attempts run on.
    fn on_not_permitted(&mut self, id: AttemptId, actions: &mut Vec<Action>) {
        if self.remove_unsent(id) && !self.has_unsuspected() {
            self.fail_unless_running(FailCause::NotPermitted, actions);
        }
    }

    /// Removes an attempt whose request was not sent, which does not count as an attempt without a token. Returns
    /// whether the attempt was in progress.
    fn remove_unsent(&mut self, id: AttemptId) -> bool {
        let Some(position) = self.position(id) else { return false };
        self.attempts.remove(position);
        self.attempts_without_token = self.attempts_without_token.saturating_sub(1);
        self.stats.attempts = self.stats.attempts.saturating_sub(1);
        true
    }

    fn on_signal(&mut self, id: AttemptId, signal: Option<EngineSignal>) {
        if let Some(position) = self.position(id) {
            self.attempts[position].signal = signal;
        }
    }

    fn on_no_upstream(&mut self, id: AttemptId, now_ms: u64, actions: &mut Vec<Action>) {
        if !self.remove_unsent(id) {
            return;
        }
        if self.attempts.is_empty() {
            let since_ms = *self.no_upstream_since_ms.get_or_insert(now_ms);
            if now_ms.saturating_sub(since_ms) >= self.policy.no_upstream_timeout_ms {
                self.fail(FailCause::NoUpstream, actions);
                return;
            }
        }
        self.obstacle = Some(FailCause::NoUpstream);
        self.retry_at_ms = Some(now_ms.saturating_add(self.policy.retry_backoff_ms));
    }

    fn on_tick(&mut self, now_ms: u64, timing: Timing, actions: &mut Vec<Action>) {
        if self.give_up_at_ms().is_some_and(|at_ms| now_ms >= at_ms) {
            self.fail(self.obstacle.unwrap_or(FailCause::NoUpstream), actions);
            return;
        }
        if self.handover_end_ms().is_some_and(|at_ms| now_ms >= at_ms) {
            self.cancel_replaced(actions);
        }
        if self.retry_at_ms.is_some_and(|at_ms| now_ms >= at_ms) {
            self.start_attempt(now_ms, actions);
            return;
        }
        let overdue = self
            .attempts
            .iter()
            .position(|a| !a.is_suspected && now_ms >= self.suspect_at_ms(a, timing));
        let Some(position) = overdue else { return };
        if self.attempts[position].is_sent {
            self.suspect(position, now_ms, actions);
        } else {
            self.on_not_admitted(position, now_ms, actions);
        }
    }

    /// Suspects an attempt and requests another one. The suspected attempt runs on, because a silent engine may go on,
    /// and another attempt may not be possible. Only beside another suspected attempt, which runs on as a hedge, it is
    /// cancelled.
    fn suspect(&mut self, position: usize, now_ms: u64, actions: &mut Vec<Action>) {
        self.stats.suspicions += 1;
        let id = self.attempts[position].id;
        let has_other = self.attempts.iter().any(|other| other.id != id && other.is_sent);
        if self.policy.keeps_suspected_attempt && has_other {
            self.attempts.remove(position);
            self.stats.losses += 1;
            actions.push(Action::Cancel { attempt: id });
        } else {
            // At most the attempt and its replacement run.
            self.cancel_replaced(actions);
            self.attempts.iter_mut().filter(|a| a.id == id).for_each(|a| a.is_suspected = true);
        }
        if !self.has_unsuspected() && self.retry_at_ms.is_none() {
            self.start_attempt(now_ms, actions);
        }
    }

    /// Withdraws an attempt that was not admitted in time, and fails the generation if no suspected attempt runs.
    fn on_not_admitted(&mut self, position: usize, now_ms: u64, actions: &mut Vec<Action>) {
        let not_admitted = self.attempts.remove(position);
        actions.push(Action::Cancel { attempt: not_admitted.id });
        self.fail_unless_running(FailCause::NotAdmitted, actions);
        if !self.is_done {
            self.retry_at_ms = Some(now_ms.saturating_add(self.policy.retry_backoff_ms));
        }
    }

    /// Cancels the suspected attempts, because another attempt has replaced them.
    fn cancel_replaced(&mut self, actions: &mut Vec<Action>) {
        if self.policy.keeps_suspected_attempt {
            return;
        }
        for attempt in self.attempts.extract_if(.., |attempt| attempt.is_suspected) {
            self.stats.losses += 1;
            actions.push(Action::Cancel { attempt: attempt.id });
        }
    }

    /// Fails the generation because there will be no other attempt, unless a suspected attempt may still go on.
    fn fail_unless_running(&mut self, cause: FailCause, actions: &mut Vec<Action>) {
        self.obstacle = Some(cause);
        if self.attempts.is_empty() {
            self.fail(cause, actions);
        }
    }

    fn cancel_others(&mut self, id: AttemptId, actions: &mut Vec<Action>) {
        if self.attempts.len() == 1 {
            return;
        }
        for attempt in self.attempts.iter().filter(|attempt| attempt.id != id) {
            actions.push(Action::Cancel { attempt: attempt.id });
        }
        self.attempts.retain(|attempt| attempt.id == id);
    }

    fn fail(&mut self, cause: FailCause, actions: &mut Vec<Action>) {
        for attempt in self.attempts.drain(..) {
            actions.push(Action::Cancel { attempt: attempt.id });
        }
        self.is_done = true;
        actions.push(Action::Fail(cause));
    }
}
