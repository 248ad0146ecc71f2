//! Oracle that checks the guarantees of any generation from its inputs and actions alone.

use recovery::{Action, AttemptId, Input, Journal};

/// Oracle of one generation.
///
/// Each token contains a checksum of the tokens before it, so that a token of another sequence is detected.
#[derive(Debug, Default)]
pub struct Oracle {
    /// Attempts that were started and have neither ended nor been cancelled.
    running: Vec<AttemptId>,
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
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    pub fn running(&self) -> &[AttemptId] {
        &self.running
    }

    /// Checks the actions that resulted from an input, or from the start of the generation if `input` is `None`.
    pub fn check(&mut self, input: Option<Input<'_>>, actions: &[Action], journal: &Journal) {
        assert!(!self.is_done || actions.is_empty(), "an action was requested after the end");
        let source = match input {
            Some(Input::Token { attempt, .. }) => Some(attempt),
            _ => None,
        };
        let is_source_running = source.is_some_and(|attempt| self.running.contains(&attempt));
        let ended = match input {
            Some(Input::Lost { attempt, .. } | Input::NoUpstream { attempt }) => Some(attempt),
            _ => None,
        };
        self.running.retain(|&attempt| Some(attempt) != ended);
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
        assert!(self.running.len() <= 2, "more than two attempts run");
        assert_eq!(journal.len(), self.released, "tokens were accepted but not released");
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
