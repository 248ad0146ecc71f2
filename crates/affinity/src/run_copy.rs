//! What one daemon tells another of a stream and its KV cache replica.

use crate::{replica_record::ReplicaRecord, service_version::ServiceVersion};
use serde::{Deserialize, Serialize};

/// Stream with the KV cache replica from which any daemon can resume it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunCopy {
    /// Identifier of the caller's attempt that brought the first event.
    pub stream_id: Box<str>,
    /// Software version at which the stream began.
    pub software: ServiceVersion,
    /// Replica of the last run.
    pub replica: ReplicaRecord,
}
