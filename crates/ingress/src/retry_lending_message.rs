//! Messages by which daemons lend each other repeats.

use base::ServiceName;
use limit::Urgency;
use serde::{Deserialize, Serialize};

/// Largest message.
pub(crate) const MESSAGE_SIZE_BYTES: usize = 256;

/// Message between two daemons.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RetryLendingMessage {
    /// Asks for one repeat.
    Ask {
        /// Number of the question, which the answer repeats.
        number: u64,
        /// Service to which the repeat goes.
        service: ServiceName,
        /// Whether the repeat can still make an answer that is in time.
        urgency: Urgency,
    },
    /// Answers a question.
    Answer {
        /// Number of the question.
        number: u64,
        /// Whether the asking daemon may send the repeat.
        is_granted: bool,
    },
}

impl RetryLendingMessage {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        // The parts of a message always have an encoding.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a message; `None` if it is not one.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
