//! HTTP/1.1 server whose connections obey a switch.

use crate::net::{connection::Connection, stream::FaultyStream, switch::Switch};
use hyper::{Request, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use std::{
    convert::Infallible, io::Result as IoResult, net::SocketAddr, sync::Arc, time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
};
use web::Handler;

/// Pause after a failed `accept`, so that a lack of file descriptors does not become a busy loop.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Start of the paths that control faults.
const CONTROL_PREFIX: &str = "/control/";

/// Listening server.
#[derive(Debug)]
pub(crate) struct FaultyServer {
    listener: TcpListener,
    switch: Arc<Switch>,
}

impl FaultyServer {
    /// Binds to an address; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// The error of `bind`.
    pub async fn bind(addr: SocketAddr, switch: Arc<Switch>) -> IoResult<Self> {
        Ok(Self { listener: TcpListener::bind(addr).await?, switch })
    }

    /// The address that the server listens on.
    ///
    /// # Errors
    ///
    /// The error of `getsockname`.
    pub fn local_addr(&self) -> IoResult<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until the future is dropped, which closes all connections.
    pub async fn run<H: Handler>(self, handler: Arc<H>) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        let connection = Connection::new(Arc::clone(&self.switch));
                        connections.spawn(serve(stream, connection, Arc::clone(&handler)));
                    }
                    Err(_) => tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await,
                },
                Some(_) = connections.join_next() => {}
            }
        }
    }
}

async fn serve<H: Handler>(stream: TcpStream, connection: Connection, handler: Arc<H>) {
    // Tokens are small writes that must not wait for an acknowledgement of the one before.
    let _ = stream.set_nodelay(true);
    let extension = connection.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        let handler = Arc::clone(&handler);
        let connection = extension.clone();
        async move {
            if request.uri().path().starts_with(CONTROL_PREFIX) {
                connection.mark_control();
            } else if connection.is_refusing() {
                return connection.reset().await;
            }
            request.extensions_mut().insert(connection);
            Ok::<_, Infallible>(handler.handle(request).await)
        }
    });
    let stream = FaultyStream::new(stream, connection.clone());
    let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        biased;
        () = connection.wait_reset() => {}
        _ = serving => {}
    }
}
