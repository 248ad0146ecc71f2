//! Call with its state as a type.

use crate::{
    idempotency::Idempotency,
    not_run::NotRun,
    state::{Answered, Sent, Unknown, Unsent},
};

/// Call in state `S`. Each transition consumes it, so a sent call cannot be sent or reported as not run.
#[derive(Debug)]
pub struct Call<S> {
    idempotency: Idempotency,
    retries_left: u32,
    /// Sends whose outcome is not known.
    open_sends: u32,
    state: S,
}

/// What remains of a sent call that got no answer.
#[derive(Debug)]
pub enum LostCall {
    /// The call is idempotent and may be sent again.
    Retry(Call<Unsent>),
    /// The outcome is unknown.
    Unknown(Call<Unknown>),
}

impl Call<Unsent> {
    /// A new call that may be retried `retries_left` times where that is safe.
    pub fn new(idempotency: Idempotency, retries_left: u32) -> Self {
        Self { idempotency, retries_left, open_sends: 0, state: Unsent }
    }

    /// Marks the call as sent. This must precede the first write to a connection.
    pub fn send(self) -> Call<Sent> {
        Call { open_sends: self.open_sends + 1, ..self.into_state(Sent) }
    }

    /// Charges a retry at another upstream after this one could not be reached.
    ///
    /// # Errors
    ///
    /// The call itself, if no retry is left.
    pub fn retry(self) -> Result<Self, Self> {
        match self.retries_left.checked_sub(1) {
            Some(retries_left) => Ok(Self { retries_left, ..self }),
            None => Err(self),
        }
    }

    /// Gives the call up.
    ///
    /// # Errors
    ///
    /// The unknown outcome, if an earlier attempt of an idempotent call was sent.
    pub fn close(self) -> Result<NotRun, Call<Unknown>> {
        if self.open_sends > 0 {
            return Err(self.into_state(Unknown));
        }
        Ok(NotRun::new())
    }
}

impl Call<Sent> {
    /// The answer has arrived.
    pub fn answered(self) -> Call<Answered> {
        self.into_state(Answered)
    }

    /// The upstream has proved that it did not run the call and never will.
    pub fn refused(self) -> Call<Unsent> {
        Call { open_sends: self.open_sends.saturating_sub(1), ..self.into_state(Unsent) }
    }

    /// The connection failed, or no valid answer came in time.
    pub fn lost(self) -> LostCall {
        match (self.idempotency, self.retries_left.checked_sub(1)) {
            (Idempotency::Idempotent, Some(retries_left)) => {
                LostCall::Retry(Call { retries_left, ..self.into_state(Unsent) })
            }
            _ => LostCall::Unknown(self.into_state(Unknown)),
        }
    }
}

impl<S> Call<S> {
    /// Whether the call may be repeated.
    pub fn idempotency(&self) -> Idempotency {
        self.idempotency
    }

    /// Whether the call may be sent again if that is safe.
    pub fn has_retries(&self) -> bool {
        self.retries_left > 0
    }

    /// State of the call.
    pub fn state(&self) -> &S {
        &self.state
    }

    fn into_state<T>(self, state: T) -> Call<T> {
        let Self { idempotency, retries_left, open_sends, state: _ } = self;
        Call { idempotency, retries_left, open_sends, state }
    }
}
