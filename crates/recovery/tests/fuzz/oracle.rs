//! Oracle that checks the guarantees of any generation from its inputs and actions alone.

use recovery::{Action, AttemptId, Input, Journal, Policy};

/// Oracle of one generation.
///
/// Each token contains a checksum of the tokens before it, so that a token of another sequence is detected.
#[derive(Debug)]
pub struct Oracle {
    policy: Policy,
    /// Attempts that were started and have neither ended nor been cancelled.
    running: Vec<AttemptId>,
    /// Running attempts whose requests were sent, with the time of the last token, or of the send before the first one.
    sent: Vec<(AttemptId, u64)>,
    /// Number of released tokens.
    released: u32,
    /// Hash of the released tokens.
    chain: u64,
    /// Whether the answer has finished or failed.
    is_done: bool,
}

/// Returns a token that follows the tokens with the hash `chain`.
pub fn token(chain: u64, nonce: u16) -> u32 {
    let checksum = advance(chain, u32::from(nonce)) as u16;
    (u32::from(nonce) << 16) | u32::from(checksum)
}

/// Returns the hash of the tokens with the hash `chain`, followed by one more token.
pub fn advance(chain: u64, token_id: u32) -> u64 {
    let mixed = (chain ^ u64::from(token_id)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9).rotate_left(31)
}

impl Oracle {
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            running: Vec::new(),
            sent: Vec::new(),
            released: 0,
            chain: 0,
            is_done: false,
        }
    }

    pub fn is_done(&self) -> bool {
        self.is_done
    }

    pub fn running(&self) -> &[AttemptId] {
        &self.running
    }

    /// Checks the actions that resulted from an input, or from the start of the generation if `input` is `None`.
    pub fn check(
        &mut self,
        input: Option<Input<'_>>,
        actions: &[Action],
        journal: &Journal,
        now_ms: u64,
    ) {
        assert!(!self.is_done || actions.is_empty(), "an action was requested after the end");
        let was_done = self.is_done;
        let source = match input {
            Some(Input::Token { attempt, .. }) => Some(attempt),
            _ => None,
        };
        let is_source_running = source.is_some_and(|attempt| self.running.contains(&attempt));
        let ended = match input {
            Some(
                Input::Lost { attempt, .. }
                | Input::NoUpstream { attempt }
                | Input::NotPermitted { attempt },
            ) => Some(attempt),
            _ => None,
        };
        self.running.retain(|&attempt| Some(attempt) != ended);
        self.record_sent(input, actions, now_ms);
        let sent_before = self.sent.clone();
        for action in actions {
            match *action {
                Action::Start { attempt, .. } => {
                    assert!(!self.running.contains(&attempt), "an attempt was started twice");
                    self.running.push(attempt);
                }
                Action::Cancel { attempt } => self.running.retain(|&other| other != attempt),
                Action::Release { index } => {
                    assert!(
                        is_source_running,
                        "a token was released of an attempt that does not run"
                    );
                    self.release(index, journal);
                }
                Action::Finish => {
                    let token_count = match input {
                        Some(Input::Finished { token_count, .. }) => Some(token_count),
                        _ => None,
                    };
                    assert_eq!(
                        token_count,
                        Some(self.released),
                        "the answer finished with tokens missing"
                    );
                    self.is_done = true;
                }
                Action::Fail(_) => self.is_done = true,
            }
        }
        self.sent.retain(|(attempt, _)| self.running.contains(attempt));
        if !was_done && !matches!(input, Some(Input::Token { .. } | Input::Finished { .. })) {
            self.check_given_up(&sent_before, actions, now_ms);
        }
        assert!(self.running.len() <= 2, "more than two attempts run");
        assert_eq!(journal.len(), self.released, "tokens were accepted but not released");
    }

    /// Records the attempt that was sent or that delivered an accepted token.
    fn record_sent(&mut self, input: Option<Input<'_>>, actions: &[Action], now_ms: u64) {
        let is_released = actions.iter().any(|action| matches!(action, Action::Release { .. }));
        let active = match input {
            Some(Input::Token { attempt, .. }) if is_released => Some(attempt),
            Some(Input::Sent { attempt }) => Some(attempt),
            _ => None,
        };
        if let Some(attempt) = active.filter(|attempt| self.running.contains(attempt)) {
            self.sent.retain(|&(other, _)| other != attempt);
            self.sent.push((attempt, now_ms));
        }
        self.sent.retain(|(attempt, _)| self.running.contains(attempt));
    }

    /// Checks that an attempt whose engine said nothing is only cancelled if another one runs at an engine, or if the
    /// generation fails after the longest silence that the policy allows.
    fn check_given_up(&self, sent_before: &[(AttemptId, u64)], actions: &[Action], now_ms: u64) {
        let is_cancelled = |id| actions.contains(&Action::Cancel { attempt: id });
        let Some(last_ms) = sent_before.iter().map(|&(_, at_ms)| at_ms).max() else { return };
        if self.is_done {
            let silent_ms = now_ms - last_ms;
            let max_ms = self.policy.max_silence_ms;
            assert!(silent_ms >= max_ms, "the generation failed after {silent_ms} ms of silence");
        } else if sent_before.iter().any(|&(id, _)| is_cancelled(id)) {
            assert!(!self.sent.is_empty(), "a silent attempt was cancelled without a replacement");
        }
    }

    fn release(&mut self, index: u32, journal: &Journal) {
        assert_eq!(index, self.released, "the released indexes are not consecutive from 0");
        let token_id = journal.token_ids()[index as usize];
        let expected = token(self.chain, (token_id >> 16) as u16);
        assert_eq!(token_id, expected, "a token does not follow the tokens before it");
        self.chain = advance(self.chain, token_id);
        self.released += 1;
    }
}
