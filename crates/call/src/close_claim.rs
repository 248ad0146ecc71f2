//! Writing of a call's end into its claim.

use crate::{
    claim_record::ClaimRecord, claim_state::ClaimState, kv_input::KvInput, kv_step::KvStep,
};

/// Calls to the platform for the end of one claim.
const PLATFORM_CALLS: u32 = 4;

/// Machine that writes the end of a call. It ends with whether the platform holds the end.
///
/// If it fails, the claim stays open and later calls with the key learn that the outcome is unknown.
#[derive(Debug)]
pub struct CloseClaim {
    record: ClaimRecord,
    revision: u64,
    calls_left: u32,
}

impl CloseClaim {
    /// Closes the claim `record`, which the platform holds at `revision`, with `state`.
    pub fn new(record: ClaimRecord, revision: u64, state: ClaimState) -> Self {
        Self { record: ClaimRecord { state, ..record }, revision, calls_left: PLATFORM_CALLS }
    }

    /// The first step.
    pub fn start(&mut self) -> KvStep<bool> {
        self.write()
    }

    /// The step after the platform's result.
    pub fn handle_input(&mut self, input: KvInput) -> KvStep<bool> {
        match input {
            KvInput::Written { .. } => KvStep::Done(true),
            KvInput::Found { record, .. } if record == self.record => KvStep::Done(true),
            KvInput::Found { revision, .. } if revision == self.revision => self.write(),
            KvInput::Found { .. } | KvInput::Absent => KvStep::Done(false),
            KvInput::Lost => self.charge(KvStep::Read),
        }
    }

    fn write(&mut self) -> KvStep<bool> {
        let record = self.record.clone();
        self.charge(KvStep::Write { record, expect_revision: self.revision })
    }

    fn charge(&mut self, step: KvStep<bool>) -> KvStep<bool> {
        match self.calls_left.checked_sub(1) {
            Some(calls_left) => {
                self.calls_left = calls_left;
                step
            }
            None => KvStep::Done(false),
        }
    }
}
