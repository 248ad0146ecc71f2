//! Steps of a simulated case.

use quickcheck::{Arbitrary, Gen};

/// Step of a simulated case. Each step states the meaning of its number, which is taken modulo the valid range.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Time advances by one round, delayed messages arrive, and every running daemon ticks.
    Round,
    /// Like `Round`, but this percentage of the messages is lost, delayed or duplicated.
    LossyRound(u8),
    /// The daemon with this number pauses without announcing the pause.
    Pause(u8),
    /// The daemon with this number resumes with its old state, if it is paused.
    Resume(u8),
    /// The daemon with this number restarts and loses its state.
    Restart(u8),
    /// The failure domains whose bits are set in the number are partitioned from the others.
    Partition(u8),
    /// The partition ends.
    Heal,
    /// An operator changes the configuration document.
    DocumentChange,
    /// The platform's list of VMs changes. Each read sees the change with a random lag.
    ListChange,
    /// The platform stops answering.
    PlatformOutage,
    /// The platform answers again, with a state that is this many revisions old.
    StalePlatform(u8),
    /// The platform answers with its latest state.
    PlatformRecovery,
}

impl Arbitrary for Step {
    fn arbitrary(random: &mut Gen) -> Self {
        let a = u8::arbitrary(random);
        match u8::arbitrary(random) % 32 {
            0..10 => Self::Round,
            10..16 => Self::LossyRound(a),
            16..18 => Self::Pause(a),
            18..21 => Self::Resume(a),
            21..23 => Self::Restart(a),
            23..25 => Self::Partition(a),
            25..26 => Self::Heal,
            26..28 => Self::DocumentChange,
            28 => Self::ListChange,
            29 => Self::PlatformOutage,
            30 => Self::StalePlatform(a),
            _ => Self::PlatformRecovery,
        }
    }
}
