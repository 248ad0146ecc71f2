//! Where the tokens of a generation go.

use crate::render::Renderer;
use bytes::Bytes;
use recovery::Journal;
use tokio::sync::mpsc;
use wire::{engine::FinishReason, openai::Usage};

/// Where the tokens of a generation go.
#[derive(Debug)]
pub(crate) enum Output {
    /// To the caller, token by token.
    Stream {
        /// Renders the events.
        renderer: Renderer,
        /// Feeds the body of the response.
        sender: mpsc::Sender<Bytes>,
        /// Rendered events that were not sent yet.
        pending: Vec<u8>,
    },
    /// Nowhere: the answer is taken from the journal at the end.
    Whole,
}

/// The caller has gone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct CallerGone;

impl Output {
    /// Adds the token at `index`.
    pub fn token(&mut self, index: u32, journal: &Journal) {
        if let Self::Stream { renderer, pending, .. } = self {
            renderer.token(index, journal.text_at(index), pending);
        }
    }

    /// Adds the end of the answer.
    pub fn finish(&mut self, count: u32, reason: FinishReason, usage: Usage) {
        if let Self::Stream { renderer, pending, .. } = self {
            renderer.finish(count, reason, usage, pending);
        }
    }

    /// Sends what was added.
    ///
    /// # Errors
    ///
    /// The caller has gone.
    pub async fn flush(&mut self) -> Result<(), CallerGone> {
        match self {
            Self::Stream { sender, pending, .. } if !pending.is_empty() => {
                let events = std::mem::take(pending);
                sender.send(events.into()).await.map_err(|_| CallerGone)
            }
            _ => Ok(()),
        }
    }

    /// Waits until the caller has gone.
    pub async fn gone(&self) {
        match self {
            Self::Stream { sender, .. } => sender.closed().await,
            Self::Whole => std::future::pending().await,
        }
    }
}
