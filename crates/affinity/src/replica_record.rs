//! Record of the KV cache replica from which a stream can be resumed.

use serde::{Deserialize, Serialize};

/// Longest text in a record, in bytes.
const MAX_TEXT_BYTES: usize = 128;

/// Record of the KV cache replica from which any daemon can resume a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaRecord {
    /// Identifier of the instance that holds the replica.
    pub holder: Box<str>,
    /// Fingerprint of the request that the replica belongs to. Callers choose the identifiers of streams, and a request
    /// must not go on from the KV cache of another one.
    pub fingerprint: Box<str>,
    /// Text by which the holder is asked to resume from the replica.
    pub reference: Box<str>,
    /// Number of times that the stream had been taken up when the replica was recorded.
    pub take_ups: u32,
    /// Identifier of the last event that the daemon had released when the replica was recorded. The caller may have
    /// received fewer events.
    pub last_event_id: u64,
    /// Version of the model weights that sent the events; `None` if the engine did not state it.
    #[serde(default)]
    pub weights_version: Option<Box<str>>,
}

impl ReplicaRecord {
    /// Whether the record is small enough to be kept.
    pub(crate) fn is_valid(&self) -> bool {
        let texts = [&self.holder, &self.fingerprint, &self.reference];
        texts.into_iter().chain(&self.weights_version).all(|text| text.len() <= MAX_TEXT_BYTES)
    }

    /// Whether the record belongs to the same request as `other` and is not older.
    pub(crate) fn supersedes(&self, other: Option<&Self>) -> bool {
        other.is_none_or(|other| {
            let is_older =
                (self.take_ups, self.last_event_id) < (other.take_ups, other.last_event_id);
            self.fingerprint == other.fingerprint && !is_older
        })
    }
}
