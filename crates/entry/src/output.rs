//! Collection of a generation's accepted tokens, which are streamed or kept until the answer is complete.

use crate::{accepted_batch::AcceptedBatch, api_error::ApiError, finish::Finish};
use recovery::Journal;
use tokio::sync::mpsc;
use wire::{engine::FinishReason, openai::Usage};

/// Destination of the accepted tokens of a generation.
#[derive(Debug)]
pub(crate) enum Output {
    /// Tokens are passed to the release gate in batches.
    Stream {
        /// Channel to the release gate, which closes it when the stream ends.
        sender: mpsc::Sender<AcceptedBatch>,
        /// Output that was added since the last flush.
        pending: AcceptedBatch,
    },
    /// Tokens are only kept in the journal, from which the answer is read at the end.
    Whole,
}

/// The release gate is closed, because the caller has disconnected or another entry has claimed the generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct CallerDisconnected;

impl Output {
    /// Creates an output that passes tokens to a release gate.
    pub fn stream(sender: mpsc::Sender<AcceptedBatch>) -> Self {
        Self::Stream { sender, pending: AcceptedBatch::default() }
    }

    /// Adds the token at `index` of the journal to the next batch.
    pub fn token(&mut self, index: u32, journal: &Journal) {
        if let Self::Stream { pending, .. } = self {
            let token_id = journal.token_ids()[index as usize];
            pending.tokens.push(token_id, journal.text_at(index));
        }
    }

    /// Adds the end of the answer to the next batch.
    pub fn finish(&mut self, reason: FinishReason, usage: Usage) {
        if let Self::Stream { pending, .. } = self {
            pending.finish = Some(Finish { reason, usage });
        }
    }

    /// Adds the error that ends the stream to the next batch.
    pub fn error(&mut self, error: ApiError) {
        if let Self::Stream { pending, .. } = self {
            pending.error = Some(error);
        }
    }

    /// Sends the added output as one batch to the release gate, and waits while the queue of the gate is full.
    ///
    /// # Errors
    ///
    /// The release gate is closed, because the caller has disconnected or another entry has claimed the generation.
    pub async fn flush(&mut self) -> Result<(), CallerDisconnected> {
        match self {
            Self::Stream { sender, pending } if !pending.is_empty() => {
                sender.send(std::mem::take(pending)).await.map_err(|_| CallerDisconnected)
            }
            _ => Ok(()),
        }
    }

    /// Waits until the release gate is closed. Without a gate, in the `Whole` case, this waits forever.
    pub async fn disconnected(&self) {
        match self {
            Self::Stream { sender, .. } => sender.closed().await,
            Self::Whole => std::future::pending().await,
        }
    }
}
