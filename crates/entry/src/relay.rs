//! Task of one generation: carries messages between its state machine, the engines and the caller.

use crate::{
    api_error::ApiError,
    job::Job,
    output::{CallerGone, Output},
    render,
    shared::Shared,
    upstream_guard::UpstreamGuard,
};
use fleet::Preset;
use futures::{FutureExt, future::BoxFuture};
use limit::Class;
use recovery::{Action, AttemptId, FailCause, Generation, Input, Journal, LossCause, Policy};
use std::{future::poll_fn, net::SocketAddr, sync::Arc, task::Poll};
use upstream::{EngineError, EngineStream};
use wire::{
    engine::{EngineEvent, FinishReason},
    openai::Usage,
};

/// Gap between tokens that is assumed for a model.
const USUAL_GAP_MS: f64 = 41.0;

/// Future that yields the next event of an attempt, with the stream to go on with.
type NextEvent = BoxFuture<'static, Result<(EngineStream, EngineEvent), EngineError>>;

/// Attempt that is running.
struct Running {
    id: AttemptId,
    guard: UpstreamGuard,
    next: NextEvent,
}

/// How a generation ended.
#[derive(Debug)]
pub(crate) struct Answer {
    pub journal: Journal,
    pub reason: FinishReason,
    pub usage: Usage,
}

/// Why a generation did not end with an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RelayError {
    /// The caller has gone.
    CallerGone,
    /// Recovery failed.
    Failed(FailCause),
}

impl From<CallerGone> for RelayError {
    fn from(_: CallerGone) -> Self {
        Self::CallerGone
    }
}

/// Carries one generation to its end.
pub(crate) struct Relay {
    shared: Arc<Shared>,
    job: Job,
    generation: Generation,
    running: Vec<Running>,
    actions: Vec<Action>,
    failed_addrs: Vec<SocketAddr>,
    output: Output,
    finish: Option<(FinishReason, Usage)>,
    failure: Option<FailCause>,
}

impl Relay {
    pub fn new(shared: Arc<Shared>, job: Job, output: Output) -> Self {
        let policy = match job.preset {
            Preset::Economy => Policy::ECONOMY,
            Preset::Latency => Policy::LATENCY,
        };
        Self {
            shared,
            job,
            generation: Generation::new(policy, Journal::default()),
            running: Vec::new(),
            actions: Vec::new(),
            failed_addrs: Vec::new(),
            output,
            finish: None,
            failure: None,
        }
    }

    /// Runs the generation to its end.
    ///
    /// # Errors
    ///
    /// The caller has gone, or recovery failed. In the second case a streamed answer ends with an error event.
    pub async fn run(mut self) -> Result<Answer, RelayError> {
        let outcome = self.drive().await;
        let stats = self.generation.stats();
        metrics::counter!("generation_attempts_total").increment(u64::from(stats.attempts));
        metrics::counter!("generation_losses_total").increment(u64::from(stats.losses));
        metrics::counter!("generation_dropped_tokens_total")
            .increment(u64::from(stats.dropped_tokens));
        if let Err(RelayError::Failed(cause)) = outcome {
            log::warn!(
                "recovery: {} of {} failed: {cause}",
                self.job.generation_id,
                self.job.account
            );
            if let Output::Stream { sender, .. } = &self.output {
                let _ = sender.send(render::Renderer::error(&ApiError::from(cause))).await;
            }
        }
        let (reason, usage) = outcome?;
        let journal = self.generation.journal().clone();
        Ok(Answer { journal, reason, usage })
    }

    async fn drive(&mut self) -> Result<(FinishReason, Usage), RelayError> {
        self.generation.start(self.shared.clock.now_ms(), &mut self.actions);
        loop {
            self.perform();
            self.output.flush().await?;
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

    /// Waits for the next event of an attempt or for the next deadline.
    async fn wait(&mut self) -> Result<(), RelayError> {
        let deadline_ms = self.generation.deadline_ms(USUAL_GAP_MS).unwrap_or(u64::MAX / 2);
        let clock = self.shared.clock;
        let deadline = tokio::time::Instant::from_std(
            clock.instant_at(deadline_ms.min(clock.now_ms() + 60_000)),
        );
        let running = &mut self.running;
        let event = poll_fn(|cx| {
            for (position, attempt) in running.iter_mut().enumerate() {
                if let Poll::Ready(outcome) = attempt.next.poll_unpin(cx) {
                    return Poll::Ready((position, outcome));
                }
            }
            Poll::Pending
        });
        tokio::select! {
            biased;
            (position, outcome) = event => self.on_event(position, outcome),
            () = tokio::time::sleep_until(deadline) => self.input(Input::Tick),
            () = self.output.gone() => return Err(RelayError::CallerGone),
        }
        Ok(())
    }

    fn on_event(
        &mut self,
        position: usize,
        outcome: Result<(EngineStream, EngineEvent), EngineError>,
    ) {
        let id = self.running[position].id;
        match outcome {
            Ok((stream, event)) => self.on_engine_event(position, stream, event),
            Err(err) => {
                let lost = self.running.swap_remove(position);
                let cause = loss_cause(&err);
                log::info!(
                    "recovery: {} lost attempt {id} at {}: {err}",
                    self.job.generation_id,
                    lost.guard.addr()
                );
                lost.guard.failed(&err);
                self.failed_addrs.push(lost.guard.addr());
                self.input(Input::Lost { attempt: id, cause });
            }
        }
    }

    fn on_engine_event(&mut self, position: usize, mut stream: EngineStream, event: EngineEvent) {
        let id = self.running[position].id;
        let mut event = event;
        loop {
            match event {
                EngineEvent::Token { index, token_id, text } => {
                    self.input(Input::Token { attempt: id, index, token_id, text: &text });
                }
                EngineEvent::Finish { reason, usage } => {
                    let token_count = usage.completion_tokens;
                    self.finish = Some((reason, render::usage(usage.prompt_tokens, token_count)));
                    self.input(Input::Finished { attempt: id, token_count });
                    let is_accepted = self.generation.is_done();
                    if is_accepted {
                        self.running.swap_remove(position).guard.succeeded();
                        tokio::spawn(stream.close());
                    }
                    return;
                }
                EngineEvent::Error { .. } => {}
            }
            // Events that arrived together are handled together, which saves a write for each token.
            match stream.buffered() {
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

    fn input(&mut self, input: Input<'_>) {
        let now_ms = self.shared.clock.now_ms();
        self.generation.on(input, now_ms, USUAL_GAP_MS, &mut self.actions);
    }

    fn perform(&mut self) {
        while !self.actions.is_empty() {
            for action in std::mem::take(&mut self.actions) {
                self.perform_one(action);
            }
        }
    }

    fn perform_one(&mut self, action: Action) {
        match action {
            Action::Start { attempt, is_recovery } => self.start(attempt, is_recovery),
            Action::Cancel { attempt } => self.running.retain(|running| running.id != attempt),
            Action::Release { index } => self.output.token(index, self.generation.journal()),
            Action::Finish => {
                if let Some((reason, usage)) = self.finish {
                    let count = self.generation.journal().len();
                    self.output.finish(count, reason, usage);
                }
            }
            Action::Fail(cause) => self.failure = Some(cause),
        }
    }

    fn start(&mut self, attempt: AttemptId, is_recovery: bool) {
        // A short generation keeps its class when it is recovered.
        let class = if is_recovery { self.job.class.min(Class::Recovery) } else { self.job.class };
        let chosen = self.shared.upstreams.choose_engine(
            &self.job.service,
            &self.job.request,
            class,
            &self.failed_addrs,
        );
        let Some(guard) = chosen else {
            self.input(Input::NoUpstream { attempt });
            return;
        };
        if is_recovery {
            log::info!(
                "recovery: {} starts attempt {attempt} at {} after {} tokens",
                self.job.generation_id,
                guard.addr(),
                self.generation.journal().len()
            );
        }
        let mut request = self.job.request.clone();
        request.priority = class.priority();
        request.request_id = format!("{}/{attempt}", self.job.generation_id);
        request.continue_token_ids = self.generation.journal().token_ids().to_vec();
        let engines = self.shared.engines.clone();
        let addr = guard.addr();
        let next = async move {
            let mut stream = engines.open(addr, &request).await?;
            let event = stream.next().await?;
            Ok((stream, event))
        };
        self.running.push(Running { id: attempt, guard, next: next.boxed() });
    }
}

fn next_event(mut stream: EngineStream) -> NextEvent {
    async move {
        let event = stream.next().await?;
        Ok((stream, event))
    }
    .boxed()
}

fn loss_cause(error: &EngineError) -> LossCause {
    match error {
        EngineError::Connect(_) => LossCause::Connect,
        EngineError::Closed => LossCause::Closed,
        EngineError::Transport(cause) if cause.is_incomplete_message() => LossCause::Closed,
        EngineError::Transport(_) => LossCause::Reset,
        EngineError::Refused(_) | EngineError::Engine(_) => LossCause::Refused,
        _ => LossCause::Malformed,
    }
}
