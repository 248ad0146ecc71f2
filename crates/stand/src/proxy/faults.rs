//! Combines the faults of a proxy that are active at the same time.

use crate::proxy::{direction::Direction, fault::ProxyFault};

/// Active faults of a proxy.
///
/// Connections are numbered in the order in which they open. Cuts and silence affect all connections whose number is
/// below a bound: `next_number` covers the existing connections only, `u64::MAX` covers new ones as well.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Faults {
    /// Number of the next connection.
    pub next_number: u64,
    /// Whether new connections are reset.
    pub is_refusing: bool,
    /// Delay of all bytes in milliseconds.
    pub delay_ms: u64,
    /// Number of bytes forwarded to the client after which a connection is reset; `None` for no limit.
    pub cut_after_bytes: Option<u64>,
    cut_below: u64,
    silent_below: u64,
    is_stalled_to_target: bool,
    is_stalled_to_client: bool,
}

impl Faults {
    /// Activates a fault.
    pub fn apply(&mut self, fault: ProxyFault) {
        match fault {
            ProxyFault::Cut => self.cut_below = self.next_number,
            ProxyFault::Refuse => self.is_refusing = true,
            ProxyFault::SilenceExisting => {
                self.silent_below = self.silent_below.max(self.next_number);
            }
            ProxyFault::Silence => self.silent_below = u64::MAX,
            ProxyFault::Delay { delay_ms } => self.delay_ms = delay_ms,
            ProxyFault::Stall { direction: Direction::ToTarget } => {
                self.is_stalled_to_target = true;
            }
            ProxyFault::Stall { direction: Direction::ToClient } => {
                self.is_stalled_to_client = true;
            }
            ProxyFault::CutAfter { size_bytes } => self.cut_after_bytes = Some(size_bytes),
            ProxyFault::Restore => {
                *self = Self {
                    next_number: self.next_number,
                    cut_below: self.cut_below,
                    silent_below: self.silent_below.min(self.next_number),
                    ..Self::default()
                };
            }
        }
    }

    /// Returns whether the connection `number` must be reset.
    pub fn is_cut(&self, number: u64) -> bool {
        number < self.cut_below
    }

    /// Returns whether the bytes of the connection `number` are dropped.
    pub fn is_silent(&self, number: u64) -> bool {
        number < self.silent_below
    }

    /// Returns whether forwarding in a direction is stopped.
    pub fn is_stalled(&self, direction: Direction) -> bool {
        match direction {
            Direction::ToTarget => self.is_stalled_to_target,
            Direction::ToClient => self.is_stalled_to_client,
        }
    }
}
