//! HTTP/1.1 server that injects faults into its connections.

use crate::net::{
    connection::Connection, connection_faults::ConnectionFaults, stream::FaultyStream,
};
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

/// Pause after a failed `accept`, which prevents a busy loop when file descriptors run out.
const ACCEPT_RETRY_DELAY_MS: u64 = 20;

/// Prefix of the paths of control requests. A connection is exempt from faults from its first control request on.
const CONTROL_PREFIX: &str = "/control/";

/// Server that is bound to its address and does not accept connections before `run`.
#[derive(Debug)]
pub(crate) struct FaultyServer {
    listener: TcpListener,
    faults: Arc<ConnectionFaults>,
}

impl FaultyServer {
    /// Binds to an address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of `bind`.
    pub async fn bind(addr: SocketAddr, faults: Arc<ConnectionFaults>) -> IoResult<Self> {
        Ok(Self { listener: TcpListener::bind(addr).await?, faults })
    }

    /// Returns the address that the server listens on.
    ///
    /// # Errors
    ///
    /// Returns the error of `getsockname`.
    pub fn local_addr(&self) -> IoResult<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves requests until the future is dropped, which closes all connections.
    pub async fn run<H: Handler>(self, handler: Arc<H>) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        let connection = Connection::new(Arc::clone(&self.faults));
                        connections.spawn(serve(stream, connection, Arc::clone(&handler)));
                    }
                    Err(_) => tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await,
                },
                Some(_) = connections.join_next() => {}
            }
        }
    }
}

async fn serve<H: Handler>(stream: TcpStream, connection: Connection, handler: Arc<H>) {
    // Token events are small writes. Nagle's algorithm would delay each until the previous write is acknowledged.
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
