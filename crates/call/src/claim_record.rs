//! Record of a claimed idempotency key.

use crate::{
    claim_record_error::ClaimRecordError, claim_state::ClaimState, request_digest::RequestDigest,
};
use base::VmId;
use serde::{Deserialize, Serialize};

/// Record that the platform stores under the key `calls/{account}/{key}`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// Random number that identifies the call that wrote the claim.
    pub nonce: u64,
    /// VM of the entry that received the call and may send it.
    pub owner: VmId,
    /// Digest of the request that the key belongs to.
    pub digest: RequestDigest,
    /// Time of the claim on the owner's wall clock, in milliseconds since the Unix epoch.
    pub created_unix_ms: u64,
    /// State of the call that owns the claim.
    pub state: ClaimState,
}

impl ClaimRecord {
    /// Decodes a record from a platform value.
    ///
    /// # Errors
    ///
    /// `Json` if the value is not the JSON form of a record.
    pub fn decode(text: &str) -> Result<Self, ClaimRecordError> {
        Ok(serde_json::from_str(text)?)
    }

    /// Encodes the record as a platform value.
    ///
    /// # Errors
    ///
    /// `Json`, which does not occur for values of this type.
    pub fn encode(&self) -> Result<String, ClaimRecordError> {
        Ok(serde_json::to_string(self)?)
    }
}
