//! Steps of the simulation.

use quickcheck::{Arbitrary, Gen};

/// Step of the simulation. Each number selects one of the servers, messages or daemons that exist at that moment.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// A server receives a token from an engine.
    Generate(u8),
    /// A server receives the end of the answer from an engine.
    Finish(u8),
    /// A server sends its holder the tokens that the holder has not acknowledged.
    Send(u8),
    /// A message arrives, in any order.
    Deliver(u8),
    /// The oldest message arrives.
    DeliverOldest,
    /// A message is lost.
    Drop(u8),
    /// A message is duplicated.
    Duplicate(u8),
    /// A server changes to another holder, or to none.
    ChangeHolder(u8, u8),
    /// The caller reads an event.
    Read,
    /// The caller connects to a daemon, which claims the journal at another daemon or at itself.
    Reconnect(u8, u8),
    /// A daemon crashes and restarts with empty memory.
    Crash(u8),
    /// Two daemons are partitioned from each other, or the partition heals.
    Partition(u8, u8),
}

impl Arbitrary for Step {
    fn arbitrary(random: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(random), u8::arbitrary(random));
        match u8::arbitrary(random) % 64 {
            0..12 => Self::Generate(a),
            12..13 => Self::Finish(a),
            13..25 => Self::Send(a),
            25..33 => Self::Deliver(a),
            33..41 => Self::DeliverOldest,
            41..43 => Self::Drop(a),
            43..45 => Self::Duplicate(a),
            45..47 => Self::ChangeHolder(a, b),
            47..58 => Self::Read,
            58..62 => Self::Reconnect(a, b),
            62 => Self::Crash(a),
            _ => Self::Partition(a, b),
        }
    }
}
