//! Report of an engine that crashed before or soon after it began to answer.

use crate::suspect::Suspect;
use base::DomainName;
use serde::{Deserialize, Serialize};

/// One run of an engine's process, which can crash only once.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashedEngine {
    /// Identifier of the instance.
    pub instance: Box<str>,
    /// Start time of the process in milliseconds since the Unix epoch; `None` if it is not known.
    pub started_unix_ms: Option<u64>,
}

/// Crash of an engine, with the requests that may be its cause.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    pub engine: CrashedEngine,
    /// Failure domain of the engine.
    pub domain: DomainName,
    /// Time since the crash.
    pub age_ms: u64,
    /// Requests that the engine had not answered for long, or not at all.
    pub suspects: Vec<Suspect>,
}
