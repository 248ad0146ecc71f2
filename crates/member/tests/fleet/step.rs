//! Steps of a case.

use quickcheck::{Arbitrary, Gen};

/// Step of a case; numbers choose among what there is at that moment.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Time passes and every running daemon ticks; messages arrive.
    Round,
    /// As `Round`, but a share of the messages is lost, late or doubled.
    BadRound(u8),
    /// A daemon stops without notice.
    Pause(u8),
    /// A paused daemon goes on as if nothing had happened.
    Wake(u8),
    /// A daemon starts with empty memory.
    Restart(u8),
    /// The failure domains whose bits are set no longer reach the others.
    Partition(u8),
    /// All failure domains reach each other.
    Heal,
    /// An operator changes the document.
    Change,
    /// The platform's list of VMs changes; each reader sees it with a lag of its own.
    ListChange,
    /// The platform gives no answers.
    Outage,
    /// The platform answers again, with a state that is some revisions old at first.
    Old(u8),
    /// The platform answers with its newest state.
    Recover,
}

impl Arbitrary for Step {
    fn arbitrary(random: &mut Gen) -> Self {
        let a = u8::arbitrary(random);
        match u8::arbitrary(random) % 32 {
            0..10 => Self::Round,
            10..16 => Self::BadRound(a),
            16..18 => Self::Pause(a),
            18..21 => Self::Wake(a),
            21..23 => Self::Restart(a),
            23..25 => Self::Partition(a),
            25..26 => Self::Heal,
            26..28 => Self::Change,
            28 => Self::ListChange,
            29 => Self::Outage,
            30 => Self::Old(a),
            _ => Self::Recover,
        }
    }
}
