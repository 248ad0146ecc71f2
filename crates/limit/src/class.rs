//! Priority classes of requests.

use serde::{Deserialize, Serialize};

/// Class of a request. The classes are ordered by priority.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A request that is answered quickly.
    Short,
    /// A generation that is resumed after a failure. It has priority over new long requests, because its caller already
    /// waits in the middle of an answer, and the work done so far is lost if the resumption is delayed for too long.
    Recovery,
    /// A new generation that may run for minutes.
    Long,
}

impl Class {
    /// All classes in descending order of priority.
    pub const ALL: [Self; 3] = [Self::Short, Self::Recovery, Self::Long];

    /// Returns the priority that is sent to engines. Engines process requests with a lower number first.
    pub fn priority(self) -> i32 {
        match self {
            Self::Short => 0,
            Self::Recovery => 1,
            Self::Long => 2,
        }
    }

    /// Returns the name of the class in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Recovery => "recovery",
            Self::Long => "long",
        }
    }
}
