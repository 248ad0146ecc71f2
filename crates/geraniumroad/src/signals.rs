//! Signals that the command `serve` handles.

use std::io::Result as IoResult;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Signals that the command `serve` handles. A signal that arrives after this value was created, and before it is awaited,
/// is kept.
pub(crate) struct Signals {
    interrupt: Signal,
    terminate: Signal,
    hangup: Signal,
}

/// What a signal asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SignalRequest {
    /// SIGINT or SIGTERM: the daemon is to shut down.
    Stop,
    /// SIGHUP: the daemon is to read its settings again.
    Reload,
}

impl Signals {
    /// Installs the handlers. Call it before anything that takes time: without a handler, each of the signals ends the
    /// process.
    ///
    /// # Errors
    ///
    /// A handler cannot be installed.
    ///
    /// # Panics
    ///
    /// Panics outside the context of a runtime.
    pub fn install() -> IoResult<Self> {
        Ok(Self {
            interrupt: signal(SignalKind::interrupt())?,
            terminate: signal(SignalKind::terminate())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> SignalRequest {
        tokio::select! {
            _ = self.interrupt.recv() => SignalRequest::Stop,
            _ = self.terminate.recv() => SignalRequest::Stop,
            _ = self.hangup.recv() => SignalRequest::Reload,
        }
    }
}
