//! Engine stand-in.

use crate::{
    engine::{
        fault::EngineFault, handler::EngineHandler, settings::EngineSettings, shared::Shared,
    },
    net::FaultyServer,
};
use std::{io::Result as IoResult, net::SocketAddr, sync::Arc};
use tokio::task::JoinHandle;
use wire::engine::EngineState;

/// Running engine stand-in.
#[derive(Debug)]
pub struct Engine {
    addr: SocketAddr,
    shared: Arc<Shared>,
    serving: JoinHandle<()>,
    stepping: JoinHandle<()>,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// The error of `bind`.
    pub async fn start(settings: EngineSettings) -> IoResult<Self> {
        let shared = Arc::new(Shared::new(settings));
        let listen = shared.settings.listen;
        let server = FaultyServer::bind(listen, Arc::clone(&shared.connection_faults)).await?;
        let addr = server.local_addr()?;
        let handler = Arc::new(EngineHandler::new(Arc::clone(&shared)));
        let serving = tokio::spawn(server.run(handler));
        let stepped = Arc::clone(&shared);
        let stepping = tokio::spawn(async move { stepped.run_steps().await });
        Ok(Self { addr, shared, serving, stepping })
    }

    /// Address that the engine listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Applies a fault.
    pub fn inject_fault(&self, fault: EngineFault) {
        self.shared.inject_fault(fault);
    }

    /// Current state.
    pub fn state(&self) -> EngineState {
        self.shared.state()
    }

    /// Kills the engine: all connections are closed in the middle of their answers.
    pub async fn kill(self) {
        self.serving.abort();
        self.stepping.abort();
        let _ = self.serving.await;
        let _ = self.stepping.await;
    }
}
