//! What any generation has to keep to, told from its inputs and actions alone.

use recovery::{Action, AttemptId, Input, Journal};

/// Oracle of one generation.
#[derive(Debug, Default)]
pub struct Oracle {
    live: Vec<AttemptId>,
    released: u32,
    chain: u64,
    is_done: bool,
}

/// Token that follows a chain.
pub fn token(chain: u64, nonce: u16) -> u32 {
    let check = advance(chain, u32::from(nonce)) as u16;
    (u32::from(nonce) << 16) | u32::from(check)
}

/// Chain after a token.
pub fn advance(chain: u64, token_id: u32) -> u64 {
    let mixed = (chain ^ u64::from(token_id)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9).rotate_left(31)
}

impl Oracle {
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    pub fn live(&self) -> &[AttemptId] {
        &self.live
    }

    /// Checks the actions that an input led to.
    pub fn check(&mut self, input: Option<Input<'_>>, actions: &[Action], journal: &Journal) {
        assert!(!self.is_done || actions.is_empty(), "an action after the end");
        let source = match input {
            Some(Input::Token { attempt, .. }) => Some(attempt),
            _ => None,
        };
        let is_source_live = source.is_some_and(|attempt| self.live.contains(&attempt));
        let ended = match input {
            Some(Input::Lost { attempt, .. } | Input::NoUpstream { attempt }) => Some(attempt),
            _ => None,
        };
        self.live.retain(|&attempt| Some(attempt) != ended);
        for action in actions {
            match *action {
                Action::Start { attempt, .. } => {
                    assert!(!self.live.contains(&attempt), "an attempt started twice");
                    self.live.push(attempt);
                }
                Action::Cancel { attempt } => self.live.retain(|&other| other != attempt),
                Action::Release { index } => {
                    assert!(is_source_live, "a token of an attempt that is not live");
                    self.release(index, journal);
                }
                Action::Finish => {
                    let token_count = match input {
                        Some(Input::Finished { token_count, .. }) => Some(token_count),
                        _ => None,
                    };
                    assert_eq!(token_count, Some(self.released), "finished with tokens missing");
                    self.is_done = true;
                }
                Action::Fail(_) => self.is_done = true,
            }
        }
        assert!(self.live.len() <= 2, "more than two live attempts");
        assert_eq!(journal.len(), self.released, "tokens were accepted and not released");
    }

    fn release(&mut self, index: u32, journal: &Journal) {
        assert_eq!(index, self.released, "released indexes are not 0, 1, 2 and so on");
        let token_id = journal.token_ids()[index as usize];
        let expected = token(self.chain, (token_id >> 16) as u16);
        assert_eq!(token_id, expected, "a token does not follow from those before it");
        self.chain = advance(self.chain, token_id);
        self.released += 1;
    }
}
