//! Close of a claim with the final state of its call.

use crate::{
    claim_record::ClaimRecord, claim_state::ClaimState, kv_input::KvInput, kv_step::KvStep,
};

/// Maximum number of calls to the platform to close one claim.
const MAX_PLATFORM_CALLS: u32 = 4;

/// State machine that writes the final state of a call into its claim. It ends with `true` if the platform has stored
/// the state, and with `false` if the claim was replaced or removed, or the platform gave no valid answer.
///
/// If the write fails, the claim stays open, and the outcome of the call is reported as unknown to later calls with the
/// same key.
#[derive(Debug)]
pub struct CloseClaim {
    record: ClaimRecord,
    revision: u64,
    calls_left: u32,
}

impl CloseClaim {
    /// Creates a state machine that writes `state` to the claim `record`, which the platform stores at `revision`.
    pub fn new(record: ClaimRecord, revision: u64, state: ClaimState) -> Self {
        Self { record: ClaimRecord { state, ..record }, revision, calls_left: MAX_PLATFORM_CALLS }
    }

    /// Returns the first step, which writes the final state.
    pub fn start(&mut self) -> KvStep<bool> {
        self.write()
    }

    /// Returns the next step after the result of a call to the platform.
    pub fn handle_input(&mut self, input: KvInput) -> KvStep<bool> {
        match input {
            KvInput::Written { .. } => KvStep::Done(true),
            KvInput::Found { record, .. } if record == self.record => KvStep::Done(true),
            KvInput::Found { revision, .. } if revision == self.revision => self.write(),
            KvInput::Found { .. } | KvInput::Absent => KvStep::Done(false),
            KvInput::Lost => self.spend_call(KvStep::Read),
        }
    }

    fn write(&mut self) -> KvStep<bool> {
        let record = self.record.clone();
        self.spend_call(KvStep::Write { record, expect_revision: self.revision })
    }

    fn spend_call(&mut self, step: KvStep<bool>) -> KvStep<bool> {
        match self.calls_left.checked_sub(1) {
            Some(calls_left) => {
                self.calls_left = calls_left;
                step
            }
            None => KvStep::Done(false),
        }
    }
}
