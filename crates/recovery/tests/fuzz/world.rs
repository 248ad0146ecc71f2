//! Simulation of a generation and its engines.

use crate::{
    oracle::{Oracle, advance, token},
    step::Step,
};
use recovery::{Action, AttemptId, Generation, Input, Journal, Policy, Timing};

/// Maximum number of deadlines after which a generation must have ended.
const MAX_DEADLINES: usize = 1_000;

/// Number of tokens that a working engine delivers before it finishes.
const TOKENS_BEFORE_FINISH: usize = 5;

/// Simulated engine of an attempt. It keeps sending after its attempt was cancelled, like a frozen engine that resumes.
#[derive(Clone, Copy, Debug)]
struct Engine {
    id: AttemptId,
    /// Hash of the tokens before `index`.
    chain: u64,
    /// Index of the next token.
    index: u32,
    /// Hash of the tokens before the last one.
    last_chain: u64,
}

/// Generation with its simulated engines and the oracle.
#[derive(Debug)]
pub struct World {
    generation: Generation,
    engines: Vec<Engine>,
    oracle: Oracle,
    now_ms: u64,
}

impl World {
    pub fn new(policy: Policy) -> Self {
        let generation = Generation::new(policy, Journal::default());
        let mut world =
            Self { generation, engines: Vec::new(), oracle: Oracle::new(policy), now_ms: 0 };
        let mut actions = Vec::new();
        world.generation.start(0, &mut actions);
        world.apply_actions(None, &actions);
        world
    }

    pub fn apply(&mut self, step: Step) {
        match step {
            Step::Token { pick, nonce } => self.token(pick, nonce, 0),
            Step::RepeatedToken { pick, nonce } => self.token(pick, nonce, -1),
            Step::SkippedToken { pick, nonce } => self.token(pick, nonce, 1),
            Step::Finish { pick, extra_tokens } => {
                let Engine { id, index, .. } = self.picked_engine(pick);
                let token_count = index + u32::from(extra_tokens);
                self.input(Input::Finished { attempt: id, token_count });
            }
            Step::Lost { pick, cause } => {
                self.input(Input::Lost { attempt: self.picked_engine(pick).id, cause });
            }
            Step::NoUpstream { pick } => {
                self.input(Input::NoUpstream { attempt: self.picked_engine(pick).id });
            }
            Step::NotPermitted { pick } => {
                self.input(Input::NotPermitted { attempt: self.picked_engine(pick).id });
            }
            Step::Accepted { pick } => {
                self.input(Input::Accepted { attempt: self.picked_engine(pick).id });
            }
            Step::Unresponsive { pick } => {
                self.input(Input::Unresponsive { attempt: self.picked_engine(pick).id });
            }
            Step::Sent { pick } => self.input(Input::Sent { attempt: self.picked_engine(pick).id }),
            Step::Signal { pick, signal } => {
                self.input(Input::Signal { attempt: self.picked_engine(pick).id, signal });
            }
            Step::Wait { wait_ms } => {
                self.now_ms += u64::from(wait_ms);
                self.input(Input::Tick);
            }
            Step::Deadline => {
                self.pass_deadline();
            }
        }
    }

    /// Simulates that the newest attempt in progress delivers tokens and finishes, until the generation is done. That
    /// may be a suspected attempt, if no other one is permitted.
    pub fn finish_with_working_engines(&mut self) {
        let was_done = self.oracle.is_done();
        for _ in 0..MAX_DEADLINES {
            if self.oracle.is_done() {
                break;
            }
            let Some(&newest) = self.oracle.running().iter().max() else {
                self.pass_deadline();
                continue;
            };
            let from_newest = self.engines.iter().rev().position(|engine| engine.id == newest);
            let pick = from_newest.unwrap() as u8;
            self.input(Input::Sent { attempt: newest });
            (0..TOKENS_BEFORE_FINISH).for_each(|nonce| self.token(pick, nonce as u16, 0));
            let token_count = self.picked_engine(pick).index;
            self.input(Input::Finished { attempt: newest, token_count });
        }
        assert!(self.oracle.is_done(), "working engines did not finish the answer");
        assert!(was_done || self.generation.journal().len() >= TOKENS_BEFORE_FINISH as u32);
    }

    /// Simulates that time passes and no engine sends anything, until the generation is done.
    pub fn fail_with_silent_engines(&mut self) {
        for _ in 0..MAX_DEADLINES {
            if self.oracle.is_done() {
                return;
            }
            self.input(Input::Sent { attempt: self.picked_engine(0).id });
            self.pass_deadline();
        }
        panic!("the generation does not end");
    }

    /// Advances the time to the deadline of the generation. Fails if there is none although the generation is not done.
    fn pass_deadline(&mut self) {
        match self.generation.deadline_ms(Timing::default()) {
            Some(deadline_ms) => {
                self.now_ms = self.now_ms.max(deadline_ms);
                self.input(Input::Tick);
            }
            None => assert!(self.oracle.is_done(), "a generation that is not done has no deadline"),
        }
    }

    fn picked_engine(&self, pick: u8) -> Engine {
        let newest = self.engines.len() - 1;
        self.engines[newest.saturating_sub(usize::from(pick))]
    }

    /// Delivers a token of an engine, at the next index of the engine plus `index_shift`.
    fn token(&mut self, pick: u8, nonce: u16, index_shift: i64) {
        let newest = self.engines.len() - 1;
        let engine = &mut self.engines[newest.saturating_sub(usize::from(pick))];
        let index = i64::from(engine.index) + index_shift;
        let Ok(index) = u32::try_from(index) else { return };
        let token_id = match index_shift {
            -1 => token(engine.last_chain, nonce),
            _ => token(engine.chain, nonce),
        };
        if index_shift >= 0 {
            engine.last_chain = engine.chain;
            engine.chain = advance(engine.chain, token_id);
            engine.index = index + 1;
        }
        let text = format!(" {token_id:08x}");
        let attempt = engine.id;
        self.now_ms += 1;
        self.input(Input::Token { attempt, index, token_id, text: &text });
    }

    fn input(&mut self, input: Input<'_>) {
        let mut actions = Vec::new();
        self.generation.handle_input(input, self.now_ms, Timing::default(), &mut actions);
        self.apply_actions(Some(input), &actions);
    }

    fn apply_actions(&mut self, input: Option<Input<'_>>, actions: &[Action]) {
        self.oracle.check(input, actions, self.generation.journal(), self.now_ms);
        for action in actions {
            if let Action::Start { attempt, .. } = *action {
                self.start(attempt);
            }
        }
    }

    fn start(&mut self, id: AttemptId) {
        let token_ids = self.generation.journal().token_ids();
        let chain = token_ids.iter().fold(0, |chain, &token_id| advance(chain, token_id));
        let index = token_ids.len() as u32;
        self.engines.push(Engine { id, chain, index, last_chain: chain });
    }
}
