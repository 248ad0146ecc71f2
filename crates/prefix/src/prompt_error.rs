//! Errors of prompts.

use quick_error::quick_error;

quick_error! {
    /// Why a list of parts is no prompt.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum PromptError {
        /// The prompt has no parts, or more than the limit, which is the field.
        PartCount(limit: usize) {
            display("a prompt has 1 to {limit} parts")
        }
        /// The prompt has more tokens than the limit, which is the field.
        TokenCount(limit: u64) {
            display("a prompt has at most {limit} tokens")
        }
    }
}
