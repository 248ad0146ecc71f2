//! Reading side of a key-value service with watches.

use bytes::Bytes;
use quick_error::quick_error;

quick_error! {
    /// Why a read brought nothing.
    #[derive(Debug)]
    pub enum SourceError {
        /// No usable answer came.
        Unavailable(cause: web::ClientError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The service answered with a status that is not expected.
        Status(code: u16) {
            display("status {code}")
        }
        /// The history after the given revision is no longer kept.
        Compacted {
            display("the history is no longer kept")
        }
        /// The answer is not valid.
        Malformed(what: &'static str) {
            display("{what} of the answer is not valid")
        }
    }
}

/// An item as it was written or removed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Key.
    pub key: Box<str>,
    /// Value; none if the item was removed.
    pub value: Option<Bytes>,
    /// Revision of the change.
    pub revision: u64,
}

/// Items or changes, and the revision up to which they are complete.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// Items or changes, in the order of their revisions.
    pub changes: Vec<Change>,
    /// Revision after which a watch goes on.
    pub revision: u64,
}

/// How fresh the answer to a list must be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// It holds all changes that were acknowledged before the call.
    Latest,
    /// It may be seconds old; its revision tells up to which change it is complete. It costs little, and the service
    /// does not limit its rate.
    Stale,
}

/// Reading side of a key-value service. Each method is one counted call or one for each page, and none retries.
pub trait Source: Send {
    /// Reads all items whose keys begin with `prefix`.
    fn list(
        &mut self,
        prefix: &str,
        freshness: Freshness,
    ) -> impl Future<Output = Result<Changes, SourceError>> + Send;

    /// Waits up to `wait_ms` for changes below `prefix` after `revision`.
    fn watch(
        &mut self,
        prefix: &str,
        revision: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Changes, SourceError>> + Send;
}
