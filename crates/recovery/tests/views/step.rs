//! Steps of a case.

use quickcheck::{Arbitrary, Gen};

/// Step of a case; numbers choose among what there is at that moment.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// An engine gives a server a token.
    Generate(u8),
    /// An engine ends the answer of a server.
    Finish(u8),
    /// A server sends its holder what it lacks.
    Send(u8),
    /// A message arrives; any order is possible.
    Deliver(u8),
    /// The oldest message arrives.
    DeliverOldest,
    /// A message is lost.
    Lose(u8),
    /// A message is sent again.
    Repeat(u8),
    /// A server gives up its holder and takes another, or none.
    ChangeHolder(u8, u8),
    /// The caller reads an event.
    Read,
    /// The caller connects to a daemon, which claims the journal at another one or at itself.
    Reconnect(u8, u8),
    /// A daemon crashes and starts with empty memory.
    Crash(u8),
    /// Two daemons no longer reach each other, or do again.
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
            41..43 => Self::Lose(a),
            43..45 => Self::Repeat(a),
            45..47 => Self::ChangeHolder(a, b),
            47..58 => Self::Read,
            58..62 => Self::Reconnect(a, b),
            62 => Self::Crash(a),
            _ => Self::Partition(a, b),
        }
    }
}
