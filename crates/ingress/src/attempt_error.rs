//! Error of one attempt at an upstream.

use affinity::SoftwareVersion;
use quick_error::quick_error;
use recovery::LossCause;

quick_error! {
    /// Why an attempt got no valid response, and whether the request may have run.
    #[derive(Debug)]
    pub enum AttemptError {
        /// The request was not sent, so it has not run.
        NotSent(cause: web::ClientError) {
            display("not sent: {cause}")
            source(cause)
        }
        /// The request was not sent, because the instance no longer takes requests. It has not run.
        NotAccepting {
            display("not sent: the instance takes no more requests")
        }
        /// The request was not sent, because the stream began at another software version. It has not run.
        OtherVersion(version: SoftwareVersion) {
            display("not sent: the instance has the software version {version}")
        }
        /// The upstream states that the request has not run and never will.
        Refused(status: u16) {
            display("refused with status {status}")
        }
        /// The address belongs to another instance. The request has not run.
        Misdirected {
            display("the address belongs to another instance")
        }
        /// The upstream responded with an error status. The request may have run.
        Answered(status: u16) {
            display("answered with status {status}")
        }
        /// There was no room in the daemon's memory for a part of the response. The request may have run.
        NoRoom {
            display("no room for the response in this daemon")
        }
        /// The connection or the response failed after sending. The request may have run.
        Lost(cause: LossCause) {
            display("lost: {}", cause.as_str())
        }
    }
}

impl AttemptError {
    /// Cause that is passed to the state machine of a stream, for which every failed attempt is a loss.
    pub fn loss_cause(&self) -> LossCause {
        match self {
            Self::NotSent(_) => LossCause::Connect,
            Self::Answered(_)
            | Self::Misdirected
            | Self::NotAccepting
            | Self::NoRoom
            | Self::OtherVersion(_)
            | Self::Refused(_) => LossCause::Refused,
            Self::Lost(cause) => *cause,
        }
    }

    /// Whether the error shows that the upstream has not run the request and never will.
    pub fn is_not_run(&self) -> bool {
        !matches!(self, Self::Answered(_) | Self::Lost(_))
    }

    /// Whether the upstream itself seems to have failed, in contrast to an upstream that refuses or answers the
    /// request, and to a lack of room at this daemon.
    pub fn is_fault(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Lost(_))
    }
}
