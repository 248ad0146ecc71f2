//! Call with its state as a type.

use crate::{
    not_run::NotRun,
    repeat::Repeat,
    state::{Answered, Sent, Unknown, Unsent},
};

/// Call in state `S`. Each transition consumes it, so a sent call cannot be sent or reported as not run.
#[derive(Debug)]
pub struct Call<S> {
    repeat: Repeat,
    retries_left: u32,
    state: S,
}

/// What remains of a sent call that got no answer.
#[derive(Debug)]
pub enum Lost {
    /// The call is idempotent and may be sent again.
    Retry(Call<Unsent>),
    /// The outcome is unknown.
    Unknown(Call<Unknown>),
}

impl Call<Unsent> {
    /// A new call that may be retried `retries_left` times where that is safe.
    pub fn new(repeat: Repeat, retries_left: u32) -> Self {
        Self { repeat, retries_left, state: Unsent }
    }

    /// Marks the call as sent. This must precede the first write to a connection.
    pub fn send(self) -> Call<Sent> {
        Call { repeat: self.repeat, retries_left: self.retries_left, state: Sent }
    }

    /// Charges a retry at another upstream after this one could not be reached.
    ///
    /// # Errors
    ///
    /// The proof that the call was not run, if no retry is left.
    pub fn retry(self) -> Result<Self, NotRun> {
        match self.retries_left.checked_sub(1) {
            Some(retries_left) => Ok(Self { retries_left, ..self }),
            None => Err(NotRun::new()),
        }
    }

    /// Gives the call up.
    pub fn close(self) -> NotRun {
        NotRun::new()
    }
}

impl Call<Sent> {
    /// The answer has arrived.
    pub fn answered(self) -> Call<Answered> {
        Call { repeat: self.repeat, retries_left: self.retries_left, state: Answered }
    }

    /// The connection failed, or no valid answer came in time.
    pub fn lost(self) -> Lost {
        match (self.repeat, self.retries_left.checked_sub(1)) {
            (Repeat::Idempotent, Some(retries_left)) => {
                Lost::Retry(Call { repeat: self.repeat, retries_left, state: Unsent })
            }
            _ => Lost::Unknown(Call {
                repeat: self.repeat,
                retries_left: self.retries_left,
                state: Unknown,
            }),
        }
    }
}

impl<S> Call<S> {
    /// Whether the call may be repeated.
    pub fn repeat(&self) -> Repeat {
        self.repeat
    }

    /// State of the call.
    pub fn state(&self) -> &S {
        &self.state
    }
}
