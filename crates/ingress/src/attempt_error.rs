//! Failure of one attempt at an upstream.

use quick_error::quick_error;
use recovery::LossCause;

quick_error! {
    /// Why an attempt brought no answer, and what that says about the request.
    #[derive(Debug)]
    pub enum AttemptError {
        /// No byte was sent.
        NotSent(cause: web::ClientError) {
            display("not sent: {cause}")
            source(cause)
        }
        /// The upstream states that it did not run the request and never will.
        Refused(status: u16) {
            display("refused with status {status}")
        }
        /// The address belongs to another instance, which did not run the request.
        Misdirected {
            display("the address belongs to another instance")
        }
        /// The upstream answered with a failure of its own.
        Answered(status: u16) {
            display("answered with status {status}")
        }
        /// The request may have run.
        Lost(cause: LossCause) {
            display("lost: {}", cause.as_str())
        }
    }
}

impl AttemptError {
    /// The same for the state machine of a stream.
    pub fn loss_cause(&self) -> LossCause {
        match self {
            Self::NotSent(_) => LossCause::Connect,
            Self::Answered(_) | Self::Misdirected | Self::Refused(_) => LossCause::Refused,
            Self::Lost(cause) => *cause,
        }
    }

    /// Whether the attempt is proof that the upstream does not work.
    pub fn is_fault(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Lost(_))
    }
}
