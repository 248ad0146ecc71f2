//! Kinds of engine failure, and the record of an injected one.

use serde::Serialize;
use stand::EngineFault;
use std::time::Instant;

/// Kind of an engine failure.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureKind {
    /// The process is stopped with SIGSTOP and resumed later.
    Freeze,
    /// The process is killed and started again.
    Kill,
    /// All connections are reset; the engine keeps running.
    Reset,
    /// No connection delivers data for a while. The connections that were open when the failure began never deliver
    /// data again.
    Silent,
    /// One token event is not valid JSON.
    Malformed,
    /// One token event is sent twice.
    Duplicate,
    /// One token event is not sent.
    Skip,
    /// One token event carries the identifier of another request.
    Cross,
}

impl FailureKind {
    /// All kinds, in the order in which they are injected.
    pub const ALL: [Self; 8] = [
        Self::Kill,
        Self::Freeze,
        Self::Reset,
        Self::Silent,
        Self::Malformed,
        Self::Duplicate,
        Self::Skip,
        Self::Cross,
    ];

    /// Returns the name of the kind in command-line options and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Freeze => "freeze",
            Self::Kill => "kill",
            Self::Reset => "reset",
            Self::Silent => "silent",
            Self::Malformed => "malformed",
            Self::Duplicate => "duplicate",
            Self::Skip => "skip",
            Self::Cross => "cross",
        }
    }

    /// Parses a comma-separated list of names.
    ///
    /// # Errors
    ///
    /// A name is unknown. The error lists all names.
    pub fn parse_list(text: &str) -> Result<Vec<Self>, String> {
        text.split(',').map(Self::parse).collect()
    }

    fn parse(name: &str) -> Result<Self, String> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == name).ok_or_else(|| {
            let names = Self::ALL.map(Self::as_str).join(", ");
            format!("unknown kind {name:?}; the kinds are {names}")
        })
    }

    /// Returns whether the failure affects a single token event, and so a single stream.
    pub(super) fn affects_one_event(self) -> bool {
        matches!(self, Self::Malformed | Self::Duplicate | Self::Skip | Self::Cross)
    }

    /// Returns the fault of the fake engine that causes the failure; `None` for failures of the process.
    pub(super) fn engine_fault(self) -> Option<EngineFault> {
        match self {
            Self::Freeze | Self::Kill => None,
            Self::Reset => Some(EngineFault::Reset),
            Self::Silent => Some(EngineFault::Silence),
            Self::Malformed => Some(EngineFault::Malformed { events: 1 }),
            Self::Duplicate => Some(EngineFault::Duplicate { events: 1 }),
            Self::Skip => Some(EngineFault::Skip { events: 1 }),
            Self::Cross => Some(EngineFault::Cross { events: 1 }),
        }
    }
}

/// Failure that was injected into an engine.
#[derive(Clone, Debug)]
pub(super) struct Failure {
    pub kind: FailureKind,
    /// Time just before the failure was injected.
    pub at: Instant,
    /// Ids of the generations that the engine was running just before the failure.
    pub generation_ids: Vec<String>,
}
