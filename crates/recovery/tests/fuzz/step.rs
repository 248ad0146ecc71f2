//! Random steps of a simulated generation.

use quickcheck::{Arbitrary, Gen};
use recovery::{EngineSignal, LossCause};

const CAUSES: [LossCause; 6] = [
    LossCause::Closed,
    LossCause::Connect,
    LossCause::Malformed,
    LossCause::Refused,
    LossCause::Reset,
    LossCause::Silent,
];

const SIGNALS: [Option<EngineSignal>; 4] =
    [None, Some(EngineSignal::Leaving), Some(EngineSignal::Removed), Some(EngineSignal::Working)];

/// Event of a generation. `pick` selects an attempt, counted from the newest one and including those that have ended.
/// `nonce` selects one of the tokens that are valid at a position.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// The attempt delivers its next token.
    Token { pick: u8, nonce: u16 },
    /// The attempt delivers a token at the index of its last one.
    RepeatedToken { pick: u8, nonce: u16 },
    /// The attempt leaves out an index.
    SkippedToken { pick: u8, nonce: u16 },
    /// The attempt reports the end of the answer, with a token count that is too high by `extra_tokens`.
    Finish { pick: u8, extra_tokens: u8 },
    /// The attempt ends before the end of the answer.
    Lost { pick: u8, cause: LossCause },
    /// No engine is available for the attempt.
    NoUpstream { pick: u8 },
    /// The attempt may not be sent.
    NotPermitted { pick: u8 },
    /// The engine accepts the request of the attempt.
    Accepted { pick: u8 },
    /// The engine of the attempt does not respond to a health check.
    Unresponsive { pick: u8 },
    /// The request of the attempt is sent.
    Sent { pick: u8 },
    /// The signal about the engine of the attempt changes.
    Signal { pick: u8, signal: Option<EngineSignal> },
    /// Time passes, and the driver reports a tick.
    Wait { wait_ms: u16 },
    /// Time passes until the deadline of the generation, and the driver reports a tick.
    Deadline,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        // Most steps select one of the newest attempts, which are usually the attempts in progress.
        let pick = [0, 0, 0, 1, 1, 2, 3][usize::arbitrary(g) % 7];
        let nonce = u16::arbitrary(g);
        match u8::arbitrary(g) % 46 {
            0..=14 => Self::Token { pick, nonce },
            15..=16 => Self::RepeatedToken { pick, nonce },
            17..=18 => Self::SkippedToken { pick, nonce },
            19 => Self::Finish { pick, extra_tokens: u8::arbitrary(g) % 2 },
            20..=23 => Self::Lost { pick, cause: CAUSES[usize::arbitrary(g) % CAUSES.len()] },
            24 => Self::NoUpstream { pick },
            25..=29 => Self::Sent { pick },
            30..=31 => Self::Signal { pick, signal: SIGNALS[usize::arbitrary(g) % SIGNALS.len()] },
            32..=34 => Self::Wait { wait_ms: u16::arbitrary(g) % 600 },
            35..=36 => Self::NotPermitted { pick },
            37..=38 => Self::Accepted { pick },
            39..=40 => Self::Unresponsive { pick },
            _ => Self::Deadline,
        }
    }
}
