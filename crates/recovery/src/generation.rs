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
    /// Time at which an attempt first found no engine since the last accepted token.
    no_upstream_since_ms: Option<u64>,
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
            Input::Sent { attempt } => self.on_sent(attempt, now_ms),
            Input::Signal { attempt, signal } => self.on_signal(attempt, signal),
            Input::Tick => self.on_tick(now_ms, timing, actions),
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
        suspicions.chain(self.retry_at_ms).min()
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
        if self.attempts_without_token >= self.policy.max_attempts_without_token {
            self.fail(FailCause::AttemptsExhausted, actions);
            return;
        }
        self.retry_at_ms = None;
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
        self.sample = Some(match attempt.has_token {
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
        let has_unsuspected = self.attempts.iter().any(|attempt| !attempt.is_suspected);
        if has_unsuspected || self.retry_at_ms.is_some() {
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

    fn on_signal(&mut self, id: AttemptId, signal: Option<EngineSignal>) {
        if let Some(position) = self.position(id) {
            self.attempts[position].signal = signal;
        }
    }

    fn on_no_upstream(&mut self, id: AttemptId, now_ms: u64, actions: &mut Vec<Action>) {
        let Some(position) = self.position(id) else { return };
        self.attempts.remove(position);
        // The attempt never reached an engine, so it does not count as an attempt without a token.
        self.attempts_without_token = self.attempts_without_token.saturating_sub(1);
        self.stats.attempts = self.stats.attempts.saturating_sub(1);
        let since_ms = *self.no_upstream_since_ms.get_or_insert(now_ms);
        let waited_ms = now_ms.saturating_sub(since_ms);
        let has_unsuspected = self.attempts.iter().any(|attempt| !attempt.is_suspected);
        if !has_unsuspected && waited_ms >= self.policy.no_upstream_timeout_ms {
            self.fail(FailCause::NoUpstream, actions);
            return;
        }
        self.retry_at_ms = Some(now_ms.saturating_add(self.policy.retry_backoff_ms));
    }

    fn on_tick(&mut self, now_ms: u64, timing: Timing, actions: &mut Vec<Action>) {
        if self.retry_at_ms.is_some_and(|at_ms| now_ms >= at_ms) {
            self.start_attempt(now_ms, actions);
            return;
        }
        let overdue = self
            .attempts
            .iter()
            .position(|a| !a.is_suspected && now_ms >= self.suspect_at_ms(a, timing));
        let Some(position) = overdue else { return };
        if !self.attempts[position].is_sent {
            self.on_not_admitted(position, actions);
            return;
        }
        self.stats.suspicions += 1;
        let has_other = self.attempts.len() > 1 || self.retry_at_ms.is_some();
        let keeps_suspected_attempt = self.policy.keeps_suspected_attempt && !has_other;
        if keeps_suspected_attempt {
            self.attempts[position].is_suspected = true;
        } else {
            let suspected = self.attempts.remove(position);
            self.stats.losses += 1;
            actions.push(Action::Cancel { attempt: suspected.id });
        }
        let has_unsuspected = self.attempts.iter().any(|attempt| !attempt.is_suspected);
        if !has_unsuspected && self.retry_at_ms.is_none() {
            self.start_attempt(now_ms, actions);
        }
    }

    /// Fails the generation, because its only attempt that is not suspected was not admitted in time.
    fn on_not_admitted(&mut self, position: usize, actions: &mut Vec<Action>) {
        let not_admitted = self.attempts.remove(position);
        actions.push(Action::Cancel { attempt: not_admitted.id });
        self.fail(FailCause::NotAdmitted, actions);
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
