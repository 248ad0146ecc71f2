//! Generated steps.

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
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Token { pick: u8, nonce: u16 },
    RepeatedToken { pick: u8, nonce: u16 },
    SkippedToken { pick: u8, nonce: u16 },
    Finish { pick: u8, extra_tokens: u8 },
    Lost { pick: u8, cause: LossCause },
    NoUpstream { pick: u8 },
    Sent { pick: u8 },
    Signal { pick: u8, signal: Option<EngineSignal> },
    Wait { wait_ms: u16 },
    Deadline,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        // Most steps select one of the newest attempts, which are those that run.
        let pick = [0, 0, 0, 1, 1, 2, 3][usize::arbitrary(g) % 7];
        let nonce = u16::arbitrary(g);
        match u8::arbitrary(g) % 40 {
            0..=14 => Self::Token { pick, nonce },
            15..=16 => Self::RepeatedToken { pick, nonce },
            17..=18 => Self::SkippedToken { pick, nonce },
            19 => Self::Finish { pick, extra_tokens: u8::arbitrary(g) % 2 },
            20..=23 => Self::Lost { pick, cause: CAUSES[usize::arbitrary(g) % CAUSES.len()] },
            24 => Self::NoUpstream { pick },
            25..=29 => Self::Sent { pick },
            30..=31 => Self::Signal { pick, signal: SIGNALS[usize::arbitrary(g) % SIGNALS.len()] },
            32..=34 => Self::Wait { wait_ms: u16::arbitrary(g) % 600 },
            _ => Self::Deadline,
        }
    }
}
