//! Trait for listing the items of a key-value service and watching their changes.

use bytes::Bytes;
use quick_error::quick_error;

/// Size of the names of a change's fields, its revision and the padding of its value in an answer.
const WIRE_OVERHEAD_BYTES: u64 = 48;

quick_error! {
    /// Reason why a call to a key-value service failed.
    #[derive(Debug)]
    pub enum SourceError {
        /// The service sent no usable answer.
        Unavailable(cause: web::ClientError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The service answered with an unexpected HTTP status.
        Status(code: u16) {
            display("status {code}")
        }
        /// The service no longer has all changes after the revision from which the watch starts.
        Compacted {
            display("the history is no longer kept")
        }
        /// The answer does not tell from which era of the service it is, although earlier ones did.
        UnreadableEra {
            display("the era of the answer cannot be read")
        }
        /// A copy of the service's items is too old to be read.
        Outdated {
            display("the copy of the items is too old")
        }
        /// The call was not made, because a call to the service has failed a moment ago.
        Paused {
            display("the service failed a moment ago")
        }
        /// The relay has spent the share of its link for copies.
        Busy {
            display("the share of the link for copies is spent")
        }
        /// The part `what` of the answer is not valid.
        Malformed(what: &'static str) {
            display("{what} of the answer is not valid")
        }
    }
}

/// Write or removal of an item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Key of the item that was written or removed.
    pub key: Box<str>,
    /// New value; `None` if the item was removed.
    pub value: Option<Bytes>,
    /// Revision of the service at which the item was written or removed.
    pub revision: u64,
}

impl Change {
    /// Size of the change in an answer, in which values are in Base64.
    pub fn wire_bytes(&self) -> u64 {
        let value_bytes = self.value.as_ref().map_or(0, Bytes::len) as u64;
        self.key.len() as u64 + value_bytes * 4 / 3 + WIRE_OVERHEAD_BYTES
    }
}

/// Answer to a list or a watch: items or changes, and the revision up to which they are complete.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// Items or changes, in the order of their revisions.
    pub changes: Vec<Change>,
    /// Number of times that the service has been restored from an older copy, which gives out revisions again; 0 if the
    /// service does not state it. Revisions are comparable only within one era.
    pub era: u64,
    /// Revision after which the next watch continues, so that it misses no change.
    pub revision: u64,
    /// Time since the answer was known to contain all changes; 0 if the service itself answered.
    pub age_ms: u64,
}

/// How fresh the answer to a list must be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// The answer contains all changes that were acknowledged before the call.
    Latest,
    /// The answer may be seconds old; its revision tells up to which change it is complete. Such a list is cheap, and
    /// the service does not limit its rate.
    Stale,
}

/// Reads from a key-value service. A watch makes exactly one call, a list one call for each page of items, and neither
/// retries.
pub trait Source: Send {
    /// Reads all items whose keys begin with `prefix`.
    fn list(
        &mut self,
        prefix: &str,
        freshness: Freshness,
    ) -> impl Future<Output = Result<Changes, SourceError>> + Send;

    /// Waits up to `wait_ms` for changes after `revision` of items whose keys begin with `prefix`.
    fn watch(
        &mut self,
        prefix: &str,
        revision: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Changes, SourceError>> + Send;

    /// Pause after changes before the next watch, if `batch_ms` is the one for reads of the service itself.
    fn batch_ms(&self, batch_ms: u64) -> u64 {
        batch_ms
    }
}
