//! Type-state machine of a call, which rules out a second send of a call that must run at most once.

use crate::{
    idempotency::Idempotency,
    not_run::NotRun,
    state::{Answered, Sent, Unknown, Unsent},
};

/// Call in state `S`. Each transition consumes the call, so that a sent call cannot be sent again or reported as not
/// run.
#[derive(Debug)]
pub struct Call<S> {
    idempotency: Idempotency,
    retries_left: u32,
    /// Number of sends whose outcome is unknown.
    open_sends: u32,
    state: S,
}

/// Call that was sent and got no answer.
#[derive(Debug)]
pub enum LostCall {
    /// The call is idempotent and may be sent again.
    Retry(Call<Unsent>),
    /// The call must not be sent again, and its outcome is unknown.
    Unknown(Call<Unknown>),
}

impl Call<Unsent> {
    /// Creates a call that may be retried up to `retries_left` times if that is safe.
    pub fn new(idempotency: Idempotency, retries_left: u32) -> Self {
        Self { idempotency, retries_left, open_sends: 0, state: Unsent }
    }

    /// Marks the call as sent. Must be called before the first write to a connection.
    pub fn send(self) -> Call<Sent> {
        Call { open_sends: self.open_sends + 1, ..self.into_state(Sent) }
    }

    /// Uses up one retry, to send the call to another upstream after an upstream could not be reached.
    ///
    /// # Errors
    ///
    /// Returns the call itself if no retry is left.
    pub fn retry(self) -> Result<Self, Self> {
        match self.retries_left.checked_sub(1) {
            Some(retries_left) => Ok(Self { retries_left, ..self }),
            None => Err(self),
        }
    }

    /// Records that `count` upstreams which had not answered in time have refused the call after all. They did not run
    /// the call and never will.
    pub fn refused_late(self, count: u32) -> Self {
        Self { open_sends: self.open_sends.saturating_sub(count), ..self }
    }

    /// Abandons the call, and returns the proof that no upstream has run or will run the call.
    ///
    /// # Errors
    ///
    /// Returns the call with an unknown outcome if an earlier send of an idempotent call may have run.
    pub fn close(self) -> Result<NotRun, Call<Unknown>> {
        if self.open_sends > 0 {
            return Err(self.into_state(Unknown));
        }
        Ok(NotRun::new())
    }
}

impl Call<Sent> {
    /// Records that the answer has arrived.
    pub fn answered(self) -> Call<Answered> {
        self.into_state(Answered)
    }

    /// Records that the upstream refused the call, which guarantees that the upstream did not run the call and never
    /// will.
    pub fn refused(self) -> Call<Unsent> {
        Call { open_sends: self.open_sends.saturating_sub(1), ..self.into_state(Unsent) }
    }

    /// Records that the connection failed or that no valid answer arrived in time.
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
    /// Returns whether the call may run more than once.
    pub fn idempotency(&self) -> Idempotency {
        self.idempotency
    }

    /// Returns whether a retry is left. That alone does not make it safe to send the call again.
    pub fn has_retries(&self) -> bool {
        self.retries_left > 0
    }

    /// Returns the value of the state that the type parameter names.
    pub fn state(&self) -> &S {
        &self.state
    }

    fn into_state<T>(self, state: T) -> Call<T> {
        let Self { idempotency, retries_left, open_sends, state: _ } = self;
        Call { idempotency, retries_left, open_sends, state }
    }
}
