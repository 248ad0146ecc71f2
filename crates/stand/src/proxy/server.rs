//! Starts the proxy, accepts its connections and closes it.

use crate::proxy::{
    control::ProxyControl, fault::ProxyFault, faults::Faults,
    proxied_connection::ProxiedConnection, settings::ProxySettings,
};
use std::{io::Result as IoResult, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::TcpListener,
    sync::watch,
    task::{JoinHandle, JoinSet},
};
use web::Server;

/// Pause after a failed `accept`, which prevents a busy loop when file descriptors run out.
const ACCEPT_RETRY_DELAY_MS: u64 = 20;

/// Running proxy. It is controlled by its methods and, if the settings have a control address, over HTTP.
#[derive(Debug)]
pub struct Proxy {
    addr: SocketAddr,
    control_addr: Option<SocketAddr>,
    faults: watch::Sender<Faults>,
    tasks: Vec<JoinHandle<()>>,
    /// Keeps the control server running until the proxy is dropped.
    _control_stop: watch::Sender<bool>,
}

impl Proxy {
    /// Starts a proxy.
    ///
    /// # Errors
    ///
    /// Returns the error of `bind`.
    pub async fn start(settings: ProxySettings) -> IoResult<Self> {
        let listener = TcpListener::bind(settings.listen).await?;
        let addr = listener.local_addr()?;
        let faults = watch::Sender::new(Faults::default());
        let (control_stop, control_stopped) = watch::channel(false);
        let mut tasks = Vec::new();
        let mut control_addr = None;
        if let Some(control) = settings.control {
            let server = Server::bind(control).await?;
            control_addr = Some(server.local_addr()?);
            let handler = Arc::new(ProxyControl { faults: faults.clone() });
            tasks.push(tokio::spawn(server.run(handler, control_stopped)));
        }
        tasks.push(tokio::spawn(accept(listener, settings.target, faults.clone())));
        Ok(Self { addr, control_addr, faults, tasks, _control_stop: control_stop })
    }

    /// Returns the address that the proxy listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the address of the HTTP control interface; `None` if it is disabled.
    pub fn control_addr(&self) -> Option<SocketAddr> {
        self.control_addr
    }

    /// Activates a fault, like `PUT /control` at the control address.
    pub fn inject_fault(&self, fault: ProxyFault) {
        self.faults.send_modify(|faults| faults.apply(fault));
    }

    /// Closes the listener and all connections.
    pub async fn close(self) {
        for task in self.tasks {
            task.abort();
            let _ = task.await;
        }
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, faults: watch::Sender<Faults>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((client, _)) => {
                    let mut number = 0;
                    // No connection waits for `next_number`, so the receivers need no notification.
                    faults.send_if_modified(|faults| {
                        number = faults.next_number;
                        faults.next_number += 1;
                        false
                    });
                    connections.spawn(
                        ProxiedConnection { number, client, target, faults: faults.subscribe() }.run(),
                    );
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}
