//! HTTP/1.1 server with graceful shutdown.

use crate::{body::ResponseBody, keep_alive::keep_alive};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{
    convert::Infallible, future::Future, io::Result as IoResult, net::SocketAddr, sync::Arc,
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
};

/// Longest wait for the headers of a request.
const HEADER_WAIT_MS: u64 = 30_000;

/// Largest size of all headers of a request.
const HEADERS_SIZE_BYTES: usize = 64 * 1024;

/// Pause after a failed `accept`, so that a lack of file descriptors does not become a busy loop.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Answers requests of one server.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<ResponseBody>> + Send;
}

/// Listening HTTP/1.1 server.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
}

impl Server {
    /// Binds to an address; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// The error of `bind`.
    pub async fn bind(addr: SocketAddr) -> IoResult<Self> {
        Ok(Self { listener: TcpListener::bind(addr).await? })
    }

    /// The address that the server listens on.
    ///
    /// # Errors
    ///
    /// The error of `getsockname`.
    pub fn local_addr(&self) -> IoResult<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until `stop` becomes true. Then it accepts no more connections and returns when every request in
    /// flight has been answered.
    pub async fn run<H: Handler>(self, handler: Arc<H>, mut stop: watch::Receiver<bool>) {
        let mut connections = JoinSet::new();
        let connection_stop = stop.clone();
        loop {
            tokio::select! {
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        connections.spawn(serve(stream, Arc::clone(&handler), connection_stop.clone()));
                    }
                    Err(_) => tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await,
                },
                Some(_) = connections.join_next() => {}
                () = stopped(&mut stop) => break,
            }
        }
        // Connections that the kernel has accepted already would be reset with the listener.
        while let Ok(Ok((stream, _))) =
            tokio::time::timeout(Duration::ZERO, self.listener.accept()).await
        {
            connections.spawn(serve(stream, Arc::clone(&handler), connection_stop.clone()));
        }
        drop(self.listener);
        while connections.join_next().await.is_some() {}
    }
}

async fn serve<H: Handler>(stream: TcpStream, handler: Arc<H>, mut stop: watch::Receiver<bool>) {
    // Tokens are small writes that must not wait for an acknowledgement of the one before.
    let _ = stream.set_nodelay(true);
    keep_alive(&stream);
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(HEADER_WAIT_MS))
        .max_buf_size(HEADERS_SIZE_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = stopped(&mut stop) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

/// Waits until `stop` becomes true or its sender is gone.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|&is_stopped| is_stopped).await;
}
