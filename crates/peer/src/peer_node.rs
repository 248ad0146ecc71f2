//! Starts and stops the thread that runs all RPC with other daemons.

use crate::{
    link::Link,
    peer_error::PeerError,
    peer_handle::{NewLink, PeerHandle},
    peer_options::PeerOptions,
    peer_service::PeerService,
    server,
};
use std::{
    net::{SocketAddr, TcpListener as StdListener},
    sync::Arc,
    thread,
};
use tokio::{
    net::TcpListener,
    runtime::Builder,
    sync::{mpsc, watch},
    task::{LocalSet, spawn_local},
};

/// Thread that serves the calls of peers and makes the calls to them.
///
/// The futures of `capnp-rpc` are not `Send`, so all of them run on this thread.
#[derive(Debug)]
pub struct PeerNode {
    addr: SocketAddr,
    handle: PeerHandle,
    stop: watch::Sender<bool>,
    /// Closed when the thread has ended.
    stopped: watch::Receiver<()>,
}

impl PeerNode {
    /// Binds `listen` and starts the thread. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// `Connect` if the address cannot be bound or the thread cannot start.
    pub fn start(
        listen: SocketAddr,
        options: PeerOptions,
        service: Arc<dyn PeerService>,
    ) -> Result<Self, PeerError> {
        let listener = StdListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let (new_links, receiver) = mpsc::unbounded_channel();
        let (stop, stop_receiver) = watch::channel(false);
        let (stopped_sender, stopped) = watch::channel(());
        thread::Builder::new().name("peer".to_owned()).spawn(move || {
            let local = LocalSet::new();
            local.block_on(&runtime, run(listener, options, service, receiver, stop_receiver));
            drop(local);
            drop(runtime);
            drop(stopped_sender);
        })?;
        Ok(Self { addr, handle: PeerHandle::new(new_links), stop, stopped })
    }

    /// Returns the bound listen address, with the port that was selected if port 0 was requested.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns a handle through which other threads make calls to peers.
    pub fn handle(&self) -> PeerHandle {
        self.handle.clone()
    }

    /// Closes all connections and waits until the thread has ended.
    pub async fn close(mut self) {
        self.stop.send_replace(true);
        // `changed` fails once the thread has dropped its sender, which is its last step.
        while self.stopped.changed().await.is_ok() {}
    }
}

async fn run(
    listener: StdListener,
    options: PeerOptions,
    service: Arc<dyn PeerService>,
    mut new_links: mpsc::UnboundedReceiver<NewLink>,
    mut stop: watch::Receiver<bool>,
) {
    match TcpListener::from_std(listener) {
        Ok(listener) => drop(spawn_local(server::run(listener, service, stop.clone()))),
        Err(err) => {
            log::error!("peer: the listener could not be registered with the runtime: {err}")
        }
    }
    loop {
        tokio::select! {
            link = new_links.recv() => {
                let Some((addr, calls)) = link else { return };
                drop(spawn_local(Link::new(addr, options).run(calls)));
            }
            _ = stop.wait_for(|&is_stopped| is_stopped) => return,
        }
    }
}
