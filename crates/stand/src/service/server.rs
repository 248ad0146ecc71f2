//! Accepts connections of an instance of the fake plain service.

use crate::service::{handler::ServiceHandler, settings::ServiceSettings};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use std::{io::Result as IoResult, net::SocketAddr, sync::Arc};
use tokio::{
    net::TcpListener,
    task::{JoinHandle, JoinSet},
};

/// Running instance of a fake plain service.
#[derive(Debug)]
pub struct Service {
    addr: SocketAddr,
    task: JoinHandle<()>,
}

impl Service {
    /// Starts an instance of the service.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or the ledger cannot be opened.
    pub async fn start(settings: ServiceSettings) -> IoResult<Self> {
        let listener = TcpListener::bind(settings.listen).await?;
        let addr = listener.local_addr()?;
        let handler = Arc::new(ServiceHandler::new(settings)?);
        let task = tokio::spawn(serve(listener, handler));
        Ok(Self { addr, task })
    }

    /// Returns the address that the instance listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops the instance immediately.
    pub async fn close(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

/// Accepts and serves connections. `web::Server` is not used, because its handlers cannot close a connection without a
/// response.
async fn serve(listener: TcpListener, handler: Arc<ServiceHandler>) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let handler = Arc::clone(&handler);
        let service = service_fn(move |request| Arc::clone(&handler).handle(request));
        connections.spawn(async move {
            // Connection errors are expected, because some faults close the connection.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
        while connections.try_join_next().is_some() {}
    }
}
