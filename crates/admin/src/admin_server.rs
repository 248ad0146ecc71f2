//! Starts and stops the HTTP server of the administration API.

use crate::{daemon::Daemon, fleet_burn::FleetBurn, handler::AdminHandler, planner::Planner};
use conf::AdminSettings;
use plat::Platform;
use std::{io::Result as IoResult, net::SocketAddr, sync::Arc};
use tokio::{sync::watch, task::JoinHandle};
use web::{ByteAccount, Server};

/// Running HTTP server of the administration API.
#[derive(Debug)]
pub struct AdminServer {
    addr: SocketAddr,
    stop: watch::Sender<bool>,
    server: JoinHandle<()>,
    publisher: JoinHandle<()>,
}

impl AdminServer {
    /// Starts `server`, which is bound, and the task that publishes the server's address on the platform. The bodies of
    /// requests are held in `account`.
    ///
    /// # Errors
    ///
    /// The operating system does not report the address.
    pub fn start<D: Daemon>(
        settings: &AdminSettings,
        server: Server,
        account: Arc<ByteAccount>,
        platform: Platform,
        daemon: D,
    ) -> IoResult<Self> {
        let addr = server.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let publisher = tokio::spawn(FleetBurn::publish(platform.clone(), daemon.vm_id(), addr));
        let handler = Arc::new(AdminHandler {
            fleet_burn: FleetBurn::new(platform.clone()),
            bootstrap_key_hash: settings.bootstrap_key_hash.clone(),
            planner: Arc::new(Planner::new(platform.clone(), rand::random())),
            platform,
            daemon,
            account,
            stop: stopped.clone(),
        });
        let server = tokio::spawn(server.run(handler, stopped));
        log::info!("admin: the server listens on {addr}");
        Ok(Self { addr, stop, server, publisher })
    }

    /// Returns the bound listen address, with the port that was selected if port 0 was requested.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Shuts down the server after the requests in flight are answered. Pending watches are answered immediately.
    pub async fn close(self) {
        self.publisher.abort();
        self.stop.send_replace(true);
        let _ = self.server.await;
    }
}
