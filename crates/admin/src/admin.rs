//! Running server towards operators.

use crate::{daemon::Daemon, handler::AdminHandler, planner::Planner};
use conf::AdminSettings;
use plat::Platform;
use std::{io::Result as IoResult, net::SocketAddr, sync::Arc};
use tokio::{sync::watch, task::JoinHandle};
use web::Server;

/// Running server towards operators.
#[derive(Debug)]
pub struct Admin {
    addr: SocketAddr,
    stop: watch::Sender<bool>,
    server: JoinHandle<()>,
}

impl Admin {
    /// Starts the server.
    ///
    /// # Errors
    ///
    /// The error of `bind`.
    pub async fn start<D: Daemon>(
        settings: &AdminSettings,
        platform: Platform,
        daemon: D,
    ) -> IoResult<Self> {
        let server = Server::bind(settings.listen).await?;
        let addr = server.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let handler = Arc::new(AdminHandler {
            bootstrap_key_hash: settings.bootstrap_key_hash.clone(),
            planner: Arc::new(Planner::new(platform.clone(), rand::random())),
            platform,
            daemon,
            stop: stopped.clone(),
        });
        let server = tokio::spawn(server.run(handler, stopped));
        log::info!("admin: listens on {addr}");
        Ok(Self { addr, stop, server })
    }

    /// Address that operators connect to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Shuts down: requests in flight are answered, waiting watches at once.
    pub async fn close(self) {
        self.stop.send_replace(true);
        let _ = self.server.await;
    }
}
