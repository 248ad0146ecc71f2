//! Attempt of a generation at one engine, and the futures that drive it.

use crate::{
    service_recovery_limiter::{RecoveryPermit, ServiceRecoveryLimiter},
    upstream_guard::UpstreamGuard,
};
use futures::{FutureExt, future::BoxFuture};
use recovery::{AttemptId, RestartMode};
use std::{net::SocketAddr, sync::Arc};
use upstream::{EngineError, EnginePool, EngineStream};
use wire::engine::{EngineEvent, EngineRequest};

/// Step of an attempt that the relay has to handle.
#[derive(Debug)]
pub(crate) enum Progress {
    /// The rate limiter admitted the recovery attempt, which may start.
    Admitted(RecoveryPermit),
    /// The engine sent an event; further ones are read from the stream.
    Event(EngineStream, EngineEvent),
}

/// Future of the next step of an attempt. The future is fused, because it is polled once more when the attempt is
/// cancelled.
pub(crate) type NextProgress = BoxFuture<'static, Result<Progress, EngineError>>;

/// Attempt that is running at an engine or waiting for admission.
pub(crate) struct RunningAttempt {
    pub id: AttemptId,
    /// Counts the attempt's request at its engine; `None` until an engine was chosen.
    pub guard: Option<UpstreamGuard>,
    /// Permit of a recovery attempt, held until the next token is released.
    pub permit: Option<RecoveryPermit>,
    pub next: NextProgress,
}

impl RunningAttempt {
    /// Address of the engine that the attempt's request was sent to; `None` until an engine was chosen.
    pub fn addr(&self) -> Option<SocketAddr> {
        self.guard.as_ref().map(UpstreamGuard::addr)
    }
}

/// Waits for admission by the rate limiter of recovery attempts.
pub(crate) fn wait_for_admission(limiter: Arc<ServiceRecoveryLimiter>) -> NextProgress {
    async move { Ok(Progress::Admitted(limiter.admit().await)) }.fuse().boxed()
}

/// Sends the request to the engine at `addr` and waits for the first event. With `Regenerate`, the engine first decodes
/// as many tokens as were already accepted.
pub(crate) fn first_event(
    engines: EnginePool,
    addr: SocketAddr,
    request: EngineRequest,
    restart: RestartMode,
) -> NextProgress {
    async move {
        if restart == RestartMode::Regenerate && !request.continue_token_ids.is_empty() {
            regenerate(&engines, addr, &request).await?;
        }
        let mut stream = engines.open(addr, &request).await?;
        let event = stream.next().await?;
        Ok(Progress::Event(stream, event))
    }
    .fuse()
    .boxed()
}

/// Waits for the next event of an attempt whose stream is open.
pub(crate) fn next_event(mut stream: EngineStream) -> NextProgress {
    async move {
        let event = stream.next().await?;
        Ok(Progress::Event(stream, event))
    }
    .fuse()
    .boxed()
}

/// Makes the engine decode as many tokens as were already accepted, and discards the decoded tokens.
async fn regenerate(
    engines: &EnginePool,
    addr: SocketAddr,
    request: &EngineRequest,
) -> Result<(), EngineError> {
    let mut request = request.clone();
    request.max_tokens = request.continue_token_ids.len() as u32;
    request.continue_token_ids.clear();
    let mut stream = engines.open(addr, &request).await?;
    while !matches!(stream.next().await?, EngineEvent::Finish { .. }) {}
    stream.close().await;
    Ok(())
}
