//! Class of a request.

use serde::{Deserialize, Serialize};

/// Class of a request, in the order of service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A request that is answered quickly.
    Short,
    /// A generation that goes on after a failure. It precedes new long work, because its caller already waits in the
    /// middle of an answer, and the work done so far is lost if it waits for too long.
    Recovery,
    /// A new generation that may run for minutes.
    Long,
}

impl Class {
    /// All classes in the order of service.
    pub const ALL: [Self; 3] = [Self::Short, Self::Recovery, Self::Long];

    /// Priority towards engines; a lower number runs first.
    pub fn priority(self) -> i32 {
        match self {
            Self::Short => 0,
            Self::Recovery => 1,
            Self::Long => 2,
        }
    }

    /// Name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Recovery => "recovery",
            Self::Long => "long",
        }
    }
}
