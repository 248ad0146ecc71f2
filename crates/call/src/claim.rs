//! Claim of an idempotency key by compare-and-swap.

use crate::{
    claim_outcome::ClaimOutcome, claim_record::ClaimRecord, claim_state::ClaimState,
    kv_input::KvInput, kv_step::KvStep,
};

/// Maximum number of calls to the platform for one claim. Two writes and two reads tolerate one lost answer of each
/// kind, and a caller waits at most four times the timeout of a call to the platform.
const MAX_PLATFORM_CALLS: u32 = 4;

/// State machine that claims an idempotency key for one call. It ends with `Owned` only if the platform has stored the
/// record of this claim.
#[derive(Debug)]
pub struct Claim {
    record: ClaimRecord,
    calls_left: u32,
}

impl Claim {
    /// Creates a claim that writes `record`, whose state must be `Open` and whose nonce must be unique among claims.
    pub fn new(record: ClaimRecord) -> Self {
        Self { record, calls_left: MAX_PLATFORM_CALLS }
    }

    /// Returns the first step, which writes the record if the key does not exist.
    pub fn start(&mut self) -> KvStep<ClaimOutcome> {
        self.write(0)
    }

    /// Returns the next step after the result of a call to the platform.
    pub fn handle_input(&mut self, input: KvInput) -> KvStep<ClaimOutcome> {
        match input {
            KvInput::Written { revision } => KvStep::Done(ClaimOutcome::Owned { revision }),
            KvInput::Found { record, revision } => self.handle_record(record, revision),
            KvInput::Absent => self.write(0),
            KvInput::Lost => self.spend_call(KvStep::Read),
        }
    }

    /// Record that the claim writes.
    pub fn record(&self) -> &ClaimRecord {
        &self.record
    }

    fn handle_record(&mut self, record: ClaimRecord, revision: u64) -> KvStep<ClaimOutcome> {
        if record.nonce == self.record.nonce {
            return KvStep::Done(ClaimOutcome::Owned { revision });
        }
        if record.state == ClaimState::NotRun {
            return self.write(revision);
        }
        if record.digest != self.record.digest {
            return KvStep::Done(ClaimOutcome::OtherRequest);
        }
        KvStep::Done(match record.state {
            ClaimState::Answered(answer) => ClaimOutcome::Stored(answer),
            ClaimState::Unknown => ClaimOutcome::Unknown,
            ClaimState::NotRun | ClaimState::Open => {
                ClaimOutcome::Busy { revision, created_unix_ms: record.created_unix_ms }
            }
        })
    }

    fn write(&mut self, expect_revision: u64) -> KvStep<ClaimOutcome> {
        let record = self.record.clone();
        self.spend_call(KvStep::Write { record, expect_revision })
    }

    fn spend_call(&mut self, step: KvStep<ClaimOutcome>) -> KvStep<ClaimOutcome> {
        match self.calls_left.checked_sub(1) {
            Some(calls_left) => {
                self.calls_left = calls_left;
                step
            }
            None => KvStep::Done(ClaimOutcome::Unavailable),
        }
    }
}
