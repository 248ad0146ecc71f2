//! What a generation has accepted and not released yet.

use crate::{api_error::ApiError, finish::Finish};
use recovery::Journal;

/// Tokens and the end of an answer on their way to the release gate.
#[derive(Debug, Default)]
pub(crate) struct AcceptedBatch {
    pub tokens: Journal,
    pub finish: Option<Finish>,
    pub error: Option<ApiError>,
}

impl AcceptedBatch {
    /// Whether there is nothing.
    pub fn is_empty(&self) -> bool {
        self.tokens.is_empty() && self.finish.is_none() && self.error.is_none()
    }

    /// Adds what was accepted later.
    pub fn merge(&mut self, later: Self) {
        if self.tokens.is_empty() {
            self.tokens = later.tokens;
        } else {
            for (index, &token_id) in later.tokens.token_ids().iter().enumerate() {
                self.tokens.push(token_id, later.tokens.text_at(index as u32));
            }
        }
        self.finish = later.finish;
        self.error = later.error;
    }
}
