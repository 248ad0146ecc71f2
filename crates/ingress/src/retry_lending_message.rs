//! Messages by which daemons lend each other retries from their retry budgets.

use base::ServiceName;
use limit::Urgency;
use serde::{Deserialize, Serialize};

/// Largest size of an encoded message.
pub(crate) const MESSAGE_SIZE_BYTES: usize = 256;

/// Message between two daemons, sent as one datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RetryLendingMessage {
    /// Asks to borrow one retry.
    Ask {
        /// Number by which the answer refers to this question.
        number: u64,
        /// Service of the retried request.
        service: ServiceName,
        /// Whether the retry can still bring the answer in time.
        urgency: Urgency,
    },
    /// Answers a question, whether the retry is lent or not.
    Answer {
        /// Number of the question.
        number: u64,
        /// Whether the asking daemon may send the retry.
        is_granted: bool,
    },
}

impl RetryLendingMessage {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        // Serialization fails for none of these field types.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a message; `None` if the bytes are not a valid message.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
