//! Generation among simulated engines.

use crate::{
    oracle::{Oracle, advance, token},
    step::Step,
};
use recovery::{Action, AttemptId, Generation, Input, Journal, Policy, Timing};

/// Deadlines at most until a generation without working engines has to fail.
const MAX_DEADLINES: usize = 1_000;

/// Tokens that a working engine brings before it finishes.
const LAST_TOKENS: usize = 5;

/// Engine side of an attempt. It goes on after its attempt was cancelled, as a frozen engine that was woken does.
#[derive(Clone, Copy, Debug)]
struct Engine {
    id: AttemptId,
    chain: u64,
    index: u32,
    last_chain: u64,
}

/// Generation, its engines and the oracle.
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
            Self { generation, engines: Vec::new(), oracle: Oracle::default(), now_ms: 0 };
        let mut actions = Vec::new();
        world.generation.start(0, &mut actions);
        world.take(None, &actions);
        world
    }

    pub fn step(&mut self, step: Step) {
        match step {
            Step::Token { pick, nonce } => self.token(pick, nonce, 0),
            Step::Repeat { pick, nonce } => self.token(pick, nonce, -1),
            Step::Gap { pick, nonce } => self.token(pick, nonce, 1),
            Step::Finish { pick, extra_tokens } => {
                let Engine { id, index, .. } = self.pick(pick);
                let token_count = index + u32::from(extra_tokens);
                self.input(Input::Finished { attempt: id, token_count });
            }
            Step::Lost { pick, cause } => {
                self.input(Input::Lost { attempt: self.pick(pick).id, cause });
            }
            Step::NoUpstream { pick } => {
                self.input(Input::NoUpstream { attempt: self.pick(pick).id });
            }
            Step::Sent { pick } => self.input(Input::Sent { attempt: self.pick(pick).id }),
            Step::Signal { pick, signal } => {
                self.input(Input::Signal { attempt: self.pick(pick).id, signal });
            }
            Step::Wait { wait_ms } => {
                self.now_ms += u64::from(wait_ms);
                self.input(Input::Tick);
            }
            Step::Silence => {
                self.pass_deadline();
            }
        }
    }

    /// Lets the newest attempt bring tokens and finish, until the generation is done.
    pub fn finish_with_working_engines(&mut self) {
        let had_ended = self.oracle.is_done();
        for _ in 0..MAX_DEADLINES {
            if self.oracle.is_done() {
                break;
            }
            let newest = self.pick(0).id;
            if !self.oracle.live().contains(&newest) {
                self.pass_deadline();
                continue;
            }
            self.input(Input::Sent { attempt: newest });
            (0..LAST_TOKENS).for_each(|nonce| self.token(0, nonce as u16, 0));
            let token_count = self.pick(0).index;
            self.input(Input::Finished { attempt: newest, token_count });
        }
        assert!(self.oracle.is_done(), "working engines did not finish the answer");
        assert!(had_ended || self.generation.journal().len() >= LAST_TOKENS as u32);
    }

    /// Lets time pass without a sign from any engine, until the generation is done.
    pub fn fail_with_silent_engines(&mut self) {
        for _ in 0..MAX_DEADLINES {
            if self.oracle.is_done() {
                return;
            }
            self.input(Input::Sent { attempt: self.pick(0).id });
            self.pass_deadline();
        }
        panic!("the generation waits for ever");
    }

    fn pass_deadline(&mut self) {
        match self.generation.deadline_ms(Timing::default()) {
            Some(deadline_ms) => {
                self.now_ms = self.now_ms.max(deadline_ms);
                self.input(Input::Tick);
            }
            None => assert!(self.oracle.is_done(), "nothing is left to wait for"),
        }
    }

    fn pick(&self, pick: u8) -> Engine {
        let newest = self.engines.len() - 1;
        self.engines[newest.saturating_sub(usize::from(pick))]
    }

    fn token(&mut self, pick: u8, nonce: u16, shift: i64) {
        let newest = self.engines.len() - 1;
        let engine = &mut self.engines[newest.saturating_sub(usize::from(pick))];
        let index = i64::from(engine.index) + shift;
        let Ok(index) = u32::try_from(index) else { return };
        let token_id = match shift {
            -1 => token(engine.last_chain, nonce),
            _ => token(engine.chain, nonce),
        };
        if shift >= 0 {
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
        self.take(Some(input), &actions);
    }

    fn take(&mut self, input: Option<Input<'_>>, actions: &[Action]) {
        self.oracle.check(input, actions, self.generation.journal());
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
