//! Where the tokens of a generation go.

use crate::{accepted_batch::AcceptedBatch, api_error::ApiError, finish::Finish};
use recovery::Journal;
use tokio::sync::mpsc;
use wire::{engine::FinishReason, openai::Usage};

/// Where the tokens of a generation go.
#[derive(Debug)]
pub(crate) enum Output {
    /// To the release gate, token by token.
    Stream {
        /// Feeds the gate.
        sender: mpsc::Sender<AcceptedBatch>,
        /// What was not sent yet.
        pending: AcceptedBatch,
    },
    /// Nowhere: the answer is taken from the journal at the end.
    Whole,
}

/// The caller has gone, or another entry has claimed the generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct CallerDisconnected;

impl Output {
    /// Output into a release gate.
    pub fn stream(sender: mpsc::Sender<AcceptedBatch>) -> Self {
        Self::Stream { sender, pending: AcceptedBatch::default() }
    }

    /// Adds the token at `index`.
    pub fn token(&mut self, index: u32, journal: &Journal) {
        if let Self::Stream { pending, .. } = self {
            let token_id = journal.token_ids()[index as usize];
            pending.tokens.push(token_id, journal.text_at(index));
        }
    }

    /// Adds the end of the answer.
    pub fn finish(&mut self, reason: FinishReason, usage: Usage) {
        if let Self::Stream { pending, .. } = self {
            pending.finish = Some(Finish { reason, usage });
        }
    }

    /// Adds the error that ends the stream.
    pub fn error(&mut self, error: ApiError) {
        if let Self::Stream { pending, .. } = self {
            pending.error = Some(error);
        }
    }

    /// Sends what was added.
    ///
    /// # Errors
    ///
    /// The caller has gone.
    pub async fn flush(&mut self) -> Result<(), CallerDisconnected> {
        match self {
            Self::Stream { sender, pending } if !pending.is_empty() => {
                sender.send(std::mem::take(pending)).await.map_err(|_| CallerDisconnected)
            }
            _ => Ok(()),
        }
    }

    /// Waits until the caller has gone.
    pub async fn disconnected(&self) {
        match self {
            Self::Stream { sender, .. } => sender.closed().await,
            Self::Whole => std::future::pending().await,
        }
    }
}
