//! Batch of a generation's output on its way to the release gate.

use crate::{api_error::ApiError, finish::Finish};
use recovery::Journal;

/// Accepted tokens that are passed to the release gate together, possibly with the end of the answer or an error.
#[derive(Debug, Default)]
pub(crate) struct AcceptedBatch {
    pub tokens: Journal,
    pub finish: Option<Finish>,
    pub error: Option<ApiError>,
}

impl AcceptedBatch {
    /// Whether the batch contains neither tokens nor the end of the answer nor an error.
    pub fn is_empty(&self) -> bool {
        self.tokens.is_empty() && self.finish.is_none() && self.error.is_none()
    }

    /// Appends the tokens of a batch that was accepted later, and takes its end of the answer and its error. Only the
    /// last batch of a generation has one of them.
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
