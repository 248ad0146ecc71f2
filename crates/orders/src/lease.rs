//! Lease of a service's orders as a state machine without sockets or clocks.

use crate::{
    fence_record::FenceRecord, lease_input::LeaseInput, lease_step::LeaseStep,
    lease_timing::LeaseTiming,
};

/// Lease that the platform granted, with the time up to which this daemon may rely on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Granted {
    lease_id: u64,
    fencing_token: u64,
    valid_until_ms: u64,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum State {
    Idle { until_ms: u64 },
    ReadingHolder,
    ReadingFence,
    Granting { fence_revision: u64, sent_ms: u64 },
    WritingHolder { granted: Granted, fence_revision: u64 },
    CheckingHolder { granted: Granted, fence_revision: u64 },
    WritingFence { granted: Granted, fence_revision: u64 },
    CheckingFence { granted: Granted, fence_revision: u64 },
    Holding { granted: Granted, serves_from_ms: u64, keep_at_ms: u64, keep_sent_ms: Option<u64> },
}

/// One daemon's part in the choice of a service's holder. All times are of the daemon's own monotonic clock.
///
/// Validity counts from the time at which a grant or keep-alive was sent, since the platform decided it later. The
/// token is usable only after the fence shows it: a lost answer is read back, or the daemon does not rely on the lease.
#[derive(Clone, Debug)]
pub struct Lease {
    timing: LeaseTiming,
    state: State,
}

impl Lease {
    /// Lease of a daemon that is not the holder.
    pub fn new(timing: LeaseTiming) -> Self {
        Self { timing, state: State::Idle { until_ms: 0 } }
    }

    /// Fencing token for an order that is sent at `now_ms`; `None` unless this daemon is the holder. The sender asks
    /// before each order.
    pub fn fencing_token(&self, now_ms: u64) -> Option<u64> {
        match &self.state {
            State::Holding { granted, serves_from_ms, .. }
                if *serves_from_ms <= now_ms && now_ms < granted.valid_until_ms =>
            {
                Some(granted.fencing_token)
            }
            _ => None,
        }
    }

    /// Whether the holder should extend the lease before it goes on.
    pub fn is_keep_alive_due(&self, now_ms: u64) -> bool {
        matches!(&self.state, State::Holding { keep_at_ms, .. } if *keep_at_ms <= now_ms)
    }

    /// Lease to revoke at shutdown, when no order is under way any more.
    pub fn into_held_lease_id(self) -> Option<u64> {
        match self.state {
            State::Holding { granted, .. } => Some(granted.lease_id),
            _ => None,
        }
    }

    /// The next step. Asking again without an input repeats it.
    pub fn next_step(&mut self, now_ms: u64) -> LeaseStep {
        self.drop_expired(now_ms);
        match &mut self.state {
            State::Idle { until_ms } if now_ms < *until_ms => LeaseStep::Wait(*until_ms),
            State::Idle { .. } => {
                self.state = State::ReadingHolder;
                LeaseStep::ReadHolder
            }
            State::ReadingHolder | State::CheckingHolder { .. } => LeaseStep::ReadHolder,
            State::ReadingFence | State::CheckingFence { .. } => LeaseStep::ReadFence,
            State::Granting { sent_ms, .. } => {
                *sent_ms = now_ms;
                LeaseStep::Grant
            }
            State::WritingHolder { granted, .. } => LeaseStep::WriteHolder(granted.lease_id),
            State::WritingFence { granted, fence_revision } => {
                LeaseStep::WriteFence(record(granted), *fence_revision)
            }
            State::Holding { keep_at_ms, .. } if now_ms < *keep_at_ms => {
                LeaseStep::Wait(*keep_at_ms)
            }
            State::Holding { granted, keep_sent_ms, .. } => {
                *keep_sent_ms = Some(now_ms);
                LeaseStep::KeepAlive(granted.lease_id)
            }
        }
    }

    /// Takes the answer to the step that `next` gave.
    pub fn handle_input(&mut self, input: LeaseInput, now_ms: u64) {
        self.drop_expired(now_ms);
        let idle = State::Idle { until_ms: now_ms + self.timing.retry_ms };
        let state = std::mem::replace(&mut self.state, idle.clone());
        self.state = match (state, input) {
            (State::ReadingHolder, LeaseInput::Holder(None)) => State::ReadingFence,
            (State::ReadingFence, LeaseInput::Fence(_, fence_revision)) => {
                State::Granting { fence_revision, sent_ms: now_ms }
            }
            (
                State::Granting { fence_revision, sent_ms },
                LeaseInput::Granted { lease_id, fencing_token },
            ) => {
                let valid_until_ms = self.valid_until_ms(sent_ms);
                let granted = Granted { lease_id, fencing_token, valid_until_ms };
                State::WritingHolder { granted, fence_revision }
            }
            (State::WritingHolder { granted, fence_revision }, LeaseInput::Written) => {
                State::WritingFence { granted, fence_revision }
            }
            (State::WritingHolder { granted, fence_revision }, LeaseInput::NoAnswer) => {
                State::CheckingHolder { granted, fence_revision }
            }
            (State::CheckingHolder { granted, fence_revision }, LeaseInput::Holder(None)) => {
                State::WritingHolder { granted, fence_revision }
            }
            (
                State::CheckingHolder { granted, fence_revision },
                LeaseInput::Holder(Some(lease_id)),
            ) if lease_id == granted.lease_id => State::WritingFence { granted, fence_revision },
            (state @ State::CheckingHolder { .. }, LeaseInput::NoAnswer) => state,
            (State::WritingFence { granted, .. }, LeaseInput::Written) => {
                self.holding(granted, now_ms)
            }
            // A lost write may arrive late, so that a conflict can be the daemon's own write.
            (
                State::WritingFence { granted, fence_revision },
                LeaseInput::NoAnswer | LeaseInput::Conflict,
            ) => State::CheckingFence { granted, fence_revision },
            (State::CheckingFence { granted, fence_revision }, LeaseInput::Fence(fence, at)) => {
                match fence {
                    Some(fence) if fence == record(&granted) => self.holding(granted, now_ms),
                    _ if at == fence_revision => State::WritingFence { granted, fence_revision },
                    _ => idle,
                }
            }
            (state @ State::CheckingFence { .. }, LeaseInput::NoAnswer) => state,
            (
                State::Holding { granted, serves_from_ms, keep_sent_ms: Some(sent_ms), .. },
                LeaseInput::Granted { .. },
            ) => {
                let valid_until_ms = granted.valid_until_ms.max(self.valid_until_ms(sent_ms));
                State::Holding {
                    granted: Granted { valid_until_ms, ..granted },
                    serves_from_ms,
                    keep_at_ms: sent_ms + self.timing.keep_alive_interval_ms,
                    keep_sent_ms: None,
                }
            }
            // A lost keep-alive may have extended the lease, but the holder does not rely on it.
            (State::Holding { granted, serves_from_ms, .. }, LeaseInput::NoAnswer) => {
                State::Holding {
                    granted,
                    serves_from_ms,
                    keep_at_ms: now_ms + self.timing.keep_alive_interval_ms / 2,
                    keep_sent_ms: None,
                }
            }
            _ => idle,
        };
    }

    /// A daemon whose time has passed never uses the token again, even if the platform still has the lease.
    fn drop_expired(&mut self, now_ms: u64) {
        let valid_until_ms = match &self.state {
            State::WritingHolder { granted, .. }
            | State::CheckingHolder { granted, .. }
            | State::WritingFence { granted, .. }
            | State::CheckingFence { granted, .. }
            | State::Holding { granted, .. } => granted.valid_until_ms,
            _ => return,
        };
        if now_ms >= valid_until_ms {
            self.state = State::Idle { until_ms: now_ms + self.timing.retry_ms };
        }
    }

    fn valid_until_ms(&self, sent_ms: u64) -> u64 {
        sent_ms + self.timing.ttl_ms.saturating_sub(self.timing.safety_margin_ms)
    }

    fn holding(&self, granted: Granted, now_ms: u64) -> State {
        State::Holding {
            granted,
            serves_from_ms: now_ms + self.timing.order_timeout_ms,
            keep_at_ms: now_ms + self.timing.keep_alive_interval_ms,
            keep_sent_ms: None,
        }
    }
}

fn record(granted: &Granted) -> FenceRecord {
    FenceRecord { fencing_token: granted.fencing_token, lease_id: granted.lease_id }
}
