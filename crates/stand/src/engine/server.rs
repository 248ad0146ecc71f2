//! Starts, controls and kills a fake engine within the process.

use crate::{
    engine::{
        fault::EngineFault, handler::EngineHandler, settings::EngineSettings, shared::Shared,
    },
    net::FaultyServer,
};
use std::{io::Result as IoResult, net::SocketAddr, sync::Arc};
use tokio::task::JoinHandle;
use wire::engine::EngineState;

/// Running fake engine. It is controlled by its methods or over HTTP under `/control/`.
#[derive(Debug)]
pub struct Engine {
    addr: SocketAddr,
    shared: Arc<Shared>,
    server_task: JoinHandle<()>,
    scheduler_task: JoinHandle<()>,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Returns the error of `bind`.
    pub async fn start(settings: EngineSettings) -> IoResult<Self> {
        let shared = Arc::new(Shared::new(settings));
        let listen = shared.settings.listen;
        let server = FaultyServer::bind(listen, Arc::clone(&shared.connection_faults)).await?;
        let addr = server.local_addr()?;
        let handler = Arc::new(EngineHandler::new(Arc::clone(&shared)));
        let server_task = tokio::spawn(server.run(handler));
        let scheduler_state = Arc::clone(&shared);
        let scheduler_task = tokio::spawn(async move { scheduler_state.run_steps().await });
        Ok(Self { addr, shared, server_task, scheduler_task })
    }

    /// Returns the address that the engine listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Activates a fault, like `PUT /control/fault`.
    pub fn inject_fault(&self, fault: EngineFault) {
        self.shared.inject_fault(fault);
    }

    /// Returns the current versions, role, load and counters, also while the engine is frozen.
    pub fn state(&self) -> EngineState {
        self.shared.state()
    }

    /// Kills the engine. All connections are closed, including those with unfinished answers.
    pub async fn kill(self) {
        self.server_task.abort();
        self.scheduler_task.abort();
        let _ = self.server_task.await;
        let _ = self.scheduler_task.await;
    }
}
