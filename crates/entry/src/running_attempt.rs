//! Attempt that is running.

use crate::{
    service_pacer::{RecoveryPermit, ServicePacer},
    upstream_guard::UpstreamGuard,
};
use futures::{FutureExt, future::BoxFuture};
use recovery::{AttemptId, RestartMode};
use std::{net::SocketAddr, sync::Arc};
use upstream::{EngineError, EnginePool, EngineStream};
use wire::engine::{EngineEvent, EngineRequest};

/// What an attempt brought.
#[derive(Debug)]
pub(crate) enum Progress {
    /// It may start.
    Admitted(RecoveryPermit),
    /// An event, with the stream to go on with.
    Event(EngineStream, EngineEvent),
}

/// Future that yields what an attempt brings next. It is fused, because a cancelled attempt is polled once more.
pub(crate) type NextProgress = BoxFuture<'static, Result<Progress, EngineError>>;

/// Attempt that is running, or waits for its admission.
pub(crate) struct RunningAttempt {
    pub id: AttemptId,
    /// The engine; none until the attempt is admitted.
    pub guard: Option<UpstreamGuard>,
    /// Admission of a recovery, held until the first token.
    pub permit: Option<RecoveryPermit>,
    pub next: NextProgress,
}

impl RunningAttempt {
    /// Address of the engine, if one was chosen.
    pub fn addr(&self) -> Option<SocketAddr> {
        self.guard.as_ref().map(UpstreamGuard::addr)
    }
}

/// Waits for admission.
pub(crate) fn admission(pacer: Arc<ServicePacer>) -> NextProgress {
    async move { Ok(Progress::Admitted(pacer.admit().await)) }.fuse().boxed()
}

/// Sends the request and waits for its first event.
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

/// Waits for the next event.
pub(crate) fn next_event(mut stream: EngineStream) -> NextProgress {
    async move {
        let event = stream.next().await?;
        Ok(Progress::Event(stream, event))
    }
    .fuse()
    .boxed()
}

/// Lets the engine decode as many tokens as were accepted, and discards them.
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
