//! State machine of the lease for a service's orders, without sockets or clocks.

use crate::{
    fence_record::FenceRecord, lease_input::LeaseInput, lease_step::LeaseStep,
    lease_timing::LeaseTiming,
};

/// Lease that the platform granted, with the time until which this daemon may rely on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct GrantedLease {
    lease_id: u64,
    fencing_token: u64,
    valid_until_ms: u64,
}

/// State of the election, named after the step whose answer is awaited. `Idle` and `Holding` wait for a time.
#[derive(Clone, Debug, Eq, PartialEq)]
enum State {
    Idle {
        until_ms: u64,
    },
    ReadingHolder,
    ReadingFence,
    Granting {
        fence_revision: u64,
        sent_ms: u64,
    },
    WritingHolder {
        granted: GrantedLease,
        fence_revision: u64,
    },
    CheckingHolder {
        granted: GrantedLease,
        fence_revision: u64,
    },
    WritingFence {
        granted: GrantedLease,
        fence_revision: u64,
    },
    CheckingFence {
        granted: GrantedLease,
        fence_revision: u64,
    },
    Holding {
        granted: GrantedLease,
        orders_from_ms: u64,
        keep_alive_at_ms: u64,
        keep_alive_sent_ms: Option<u64>,
    },
}

/// One daemon's side of the election of a service's holder. All times are in milliseconds of the daemon's monotonic
/// clock.
///
/// A lease is valid from the time at which the grant or keep-alive was sent, because the platform's own period starts
/// later. The fencing token can be used only once the daemon has written it to the fence. If the answer to that write
/// is lost, the daemon reads the fence back, and doesn't rely on the lease unless the fence contains its own record.
#[derive(Clone, Debug)]
pub struct Lease {
    timing: LeaseTiming,
    state: State,
}

impl Lease {
    /// Creates the state machine of a daemon that is not the holder.
    pub fn new(timing: LeaseTiming) -> Self {
        Self { timing, state: State::Idle { until_ms: 0 } }
    }

    /// Returns the fencing token for an order that is sent at `now_ms`, or `None` unless this daemon is the holder. The
    /// sender must ask before each order.
    pub fn fencing_token(&self, now_ms: u64) -> Option<u64> {
        match &self.state {
            State::Holding { granted, orders_from_ms, .. }
                if *orders_from_ms <= now_ms && now_ms < granted.valid_until_ms =>
            {
                Some(granted.fencing_token)
            }
            _ => None,
        }
    }

    /// Returns whether the holder should send a keep-alive before it sends more orders.
    pub fn is_keep_alive_due(&self, now_ms: u64) -> bool {
        matches!(&self.state, State::Holding { keep_alive_at_ms, .. } if *keep_alive_at_ms <= now_ms)
    }

    /// Returns the identifier of the lease to revoke at shutdown, once no order is in flight; `None` unless this daemon
    /// is the holder.
    pub fn into_held_lease_id(self) -> Option<u64> {
        match self.state {
            State::Holding { granted, .. } => Some(granted.lease_id),
            _ => None,
        }
    }

    /// Returns the next step. Calling it again before `handle_input` repeats the step.
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
                LeaseStep::WriteFence(fence_record(granted), *fence_revision)
            }
            State::Holding { keep_alive_at_ms, .. } if now_ms < *keep_alive_at_ms => {
                LeaseStep::Wait(*keep_alive_at_ms)
            }
            State::Holding { granted, keep_alive_sent_ms, .. } => {
                *keep_alive_sent_ms = Some(now_ms);
                LeaseStep::KeepAlive(granted.lease_id)
            }
        }
    }

    /// Handles the platform's answer to the step that `next_step` returned last.
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
                let granted = GrantedLease { lease_id, fencing_token, valid_until_ms };
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
                self.holding_state(granted, now_ms)
            }
            // A write without an answer may take effect late, so a conflict can be caused by the daemon's own write.
            (
                State::WritingFence { granted, fence_revision },
                LeaseInput::NoAnswer | LeaseInput::Conflict,
            ) => State::CheckingFence { granted, fence_revision },
            (
                State::CheckingFence { granted, fence_revision },
                LeaseInput::Fence(fence, revision),
            ) => match fence {
                Some(fence) if fence == fence_record(&granted) => {
                    self.holding_state(granted, now_ms)
                }
                _ if revision == fence_revision => State::WritingFence { granted, fence_revision },
                _ => idle,
            },
            (state @ State::CheckingFence { .. }, LeaseInput::NoAnswer) => state,
            (
                State::Holding {
                    granted, orders_from_ms, keep_alive_sent_ms: Some(sent_ms), ..
                },
                LeaseInput::Granted { .. },
            ) => {
                let valid_until_ms = granted.valid_until_ms.max(self.valid_until_ms(sent_ms));
                State::Holding {
                    granted: GrantedLease { valid_until_ms, ..granted },
                    orders_from_ms,
                    keep_alive_at_ms: sent_ms + self.timing.keep_alive_interval_ms,
                    keep_alive_sent_ms: None,
                }
            }
            // A keep-alive without an answer may have extended the lease, but the holder doesn't rely on it.
            (State::Holding { granted, orders_from_ms, .. }, LeaseInput::NoAnswer) => {
                State::Holding {
                    granted,
                    orders_from_ms,
                    keep_alive_at_ms: now_ms + self.timing.keep_alive_interval_ms / 2,
                    keep_alive_sent_ms: None,
                }
            }
            _ => idle,
        };
    }

    /// Returns to `Idle` when the lease is no longer valid. Its fencing token is then never used again, even if the
    /// platform still has the lease.
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

    /// Returns the end of validity of a lease whose grant or keep-alive was sent at `sent_ms`.
    fn valid_until_ms(&self, sent_ms: u64) -> u64 {
        sent_ms + self.timing.ttl_ms.saturating_sub(self.timing.safety_margin_ms)
    }

    /// Returns the state of a new holder. The holder waits for the order timeout before its first order, so that the
    /// last order of its predecessor has ended by then.
    fn holding_state(&self, granted: GrantedLease, now_ms: u64) -> State {
        State::Holding {
            granted,
            orders_from_ms: now_ms + self.timing.order_timeout_ms,
            keep_alive_at_ms: now_ms + self.timing.keep_alive_interval_ms,
            keep_alive_sent_ms: None,
        }
    }
}

fn fence_record(granted: &GrantedLease) -> FenceRecord {
    FenceRecord { fencing_token: granted.fencing_token, lease_id: granted.lease_id }
}
