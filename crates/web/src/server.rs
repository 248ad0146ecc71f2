//! HTTP/1.1 server with graceful shutdown.

use crate::{
    body::{ResponseBody, empty},
    caller_stream::CallerStream,
    caller_wait::caller_wait_exceeded,
    connection_limits::SOCKET_BUFFER_BYTES,
    connection_use::Phase,
    connections::{Connections, OpenConnection},
    in_flight_requests::InFlightRequests,
    port::Port,
    request_context::RequestContext,
    server_limits::ServerLimits,
    socket_buffers::socket_with_buffers,
    tcp_keepalive::enable_tcp_keepalive,
};
use futures::FutureExt;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use std::{
    convert::Infallible,
    future::{Future, poll_fn},
    io::Result as IoResult,
    net::SocketAddr,
    panic::AssertUnwindSafe,
    sync::Arc,
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
    time::Instant,
};

/// Smallest size of the headers above which `hyper` refuses a request by itself. `hyper` cannot change its limit on an
/// open connection, so it is set above the limits to which a new configuration may raise that of the handler.
const MIN_HEADERS_SIZE_BYTES: usize = 64 * 1024;

/// Pause after a failed `accept`, in milliseconds. It prevents a busy loop while file descriptors are exhausted.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Time between the end of accepting connections and the abort of the requests in flight, in milliseconds. It leaves
/// short requests on the last connections enough time to be answered.
const LAST_ACCEPT_MS: u64 = 300;

/// Number of connections that the kernel holds until they are accepted.
const BACKLOG: u32 = 1_024;

/// Largest number of connections of a server whose number is not set.
const DEFAULT_MAX_CONNECTIONS: usize = 1_024;

/// Answer on a connection that is closed at once because there is no room for it. None of its bytes are read.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Answers the requests that a server receives.
pub trait Handler: Send + Sync + 'static {
    /// Returns the response to one request. The body of the response may be sent while it is still being produced.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<ResponseBody>> + Send;
}

/// Listening HTTP/1.1 server.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    limits: watch::Receiver<ServerLimits>,
    connections: Arc<Connections>,
    max_connections: usize,
    is_internal: bool,
}

impl Server {
    /// Binds to an address, with default limits. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(addr: SocketAddr) -> IoResult<Self> {
        let (_, limits) = watch::channel(ServerLimits::default());
        Self::with_limits(addr, limits).await
    }

    /// Binds to an address with limits that may change while the server runs.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn with_limits(
        addr: SocketAddr,
        limits: watch::Receiver<ServerLimits>,
    ) -> IoResult<Self> {
        // Accepted connections inherit the buffers.
        let socket = socket_with_buffers(addr, SOCKET_BUFFER_BYTES)?;
        socket.set_reuseaddr(true)?;
        socket.bind(addr)?;
        Ok(Self {
            listener: socket.listen(BACKLOG)?,
            limits,
            connections: Arc::default(),
            max_connections: DEFAULT_MAX_CONNECTIONS,
            is_internal: false,
        })
    }

    /// Makes the server use a part of the connections of a daemon, with at most `max_connections` of its own.
    pub fn share(mut self, connections: &Arc<Connections>, max_connections: usize) -> Self {
        self.connections = Arc::clone(connections);
        self.max_connections = max_connections;
        self
    }

    /// Like `share` for a port of probes, metrics, operators or other daemons: when it is full, idle connections are closed
    /// for new ones, whatever their age.
    pub fn share_internal(self, connections: &Arc<Connections>, max_connections: usize) -> Self {
        Self { is_internal: true, ..self.share(connections, max_connections) }
    }

    /// Returns the bound address, with the port that was selected if port 0 was requested.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not report the address.
    pub fn local_addr(&self) -> IoResult<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves requests until `stop` becomes true or its sender is dropped. Then the server stops accepting connections,
    /// at once or after the time that `ServerLimits` sets, and closes each open one after its next response. Returns when
    /// every request in flight has been answered or aborted.
    pub async fn run<H: Handler>(self, handler: Arc<H>, mut stop: watch::Receiver<bool>) {
        let mut connections = JoinSet::new();
        let limits = self.limits;
        let connection_stop = stop.clone();
        let table = self.connections;
        let port = Port::new(self.max_connections, self.is_internal, limits.clone());
        let accept = async |connections: &mut JoinSet<()>,
                            accepted: IoResult<(TcpStream, SocketAddr)>| {
            match accepted {
                Ok((stream, peer)) => {
                    let Some(open) = table.admit(&port, peer) else {
                        let _ = stream.try_write(REFUSAL);
                        return;
                    };
                    let (handler, limits) = (Arc::clone(&handler), limits.clone());
                    connections.spawn(serve_connection(
                        stream,
                        open,
                        handler,
                        limits,
                        Arc::clone(&table),
                        connection_stop.clone(),
                    ));
                }
                Err(err) => {
                    log::warn!("web: failed to accept a connection: {err}");
                    table.free_descriptor(&port);
                    tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                }
            }
        };
        let after_stop = async {
            wait_for_stop(&mut stop).await;
            let stop_at = Instant::now();
            let limits = *limits.borrow();
            tokio::time::sleep(Duration::from_millis(limits.accept_after_stop_ms)).await;
            (stop_at, limits.cut_after_stop_ms)
        };
        tokio::pin!(after_stop);
        let shortages = table.follow_shortages();
        tokio::pin!(shortages);
        let (stop_at, cut_ms) = loop {
            tokio::select! {
                accepted = self.listener.accept() => accept(&mut connections, accepted).await,
                Some(_) = connections.join_next() => {}
                () = shortages.as_mut() => {}
                stop = after_stop.as_mut() => break stop,
            }
        };
        if let Some(cut_ms) = cut_ms {
            let last_accept = Duration::from_millis(cut_ms.saturating_sub(LAST_ACCEPT_MS));
            let last_accept = tokio::time::sleep_until(stop_at + last_accept);
            tokio::pin!(last_accept);
            while !connections.is_empty() {
                tokio::select! {
                    accepted = self.listener.accept() => accept(&mut connections, accepted).await,
                    Some(_) = connections.join_next() => {}
                    () = shortages.as_mut() => {}
                    () = last_accept.as_mut() => break,
                }
            }
        }
        // Accept the connections that are left in the kernel's backlog. Closing the listener would reset them.
        while let Ok(accepted @ Ok(_)) =
            tokio::time::timeout(Duration::ZERO, self.listener.accept()).await
        {
            accept(&mut connections, accepted).await;
        }
        drop(self.listener);
        let finish = async { while connections.join_next().await.is_some() {} };
        match cut_ms {
            Some(cut_ms) => {
                let cut = stop_at + Duration::from_millis(cut_ms);
                if tokio::time::timeout_at(cut, finish).await.is_err() {
                    log::warn!("web: aborting the requests in flight {cut_ms} ms after the stop");
                }
            }
            None => finish.await,
        }
    }
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    open: OpenConnection,
    handler: Arc<H>,
    limits: watch::Receiver<ServerLimits>,
    table: Arc<Connections>,
    mut stop: watch::Receiver<bool>,
) {
    // Tokens are small writes, which must not wait until the previous one is acknowledged.
    let _ = stream.set_nodelay(true);
    enable_tcp_keepalive(&stream);
    let in_flight = InFlightRequests::default();
    let headers_size_bytes = limits.borrow().headers_size_bytes.max(MIN_HEADERS_SIZE_BYTES);
    let stop_limits = limits.clone();
    let state = Arc::clone(&open.state);
    let service_state = Arc::clone(&state);
    let peer = state.peer;
    let stream = CallerStream::new(stream, open, limits, in_flight.clone());
    let requests = in_flight.clone();
    let service_stop = stop.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        let (handler, stop) = (Arc::clone(&handler), service_stop.clone());
        let state = Arc::clone(&service_state);
        // A request that was sent ahead was read before the end of the response to the earlier one.
        let context = RequestContext::new(state.last_read(), Arc::clone(&state));
        request.extensions_mut().insert(context);
        // The next read, which would tell as well, waits until the handler wants the body.
        state.set_phase(Phase::Response, Instant::now());
        let guard = in_flight.start_request();
        async move {
            // The HTTP library collects the heads of responses without a limit, so a request waits until the caller has
            // read the responses before.
            poll_fn(|_| state.poll_unblocked()).await;
            let handling = AssertUnwindSafe(handler.handle(request)).catch_unwind();
            let mut response = handling.await.unwrap_or_else(|_| panic_response(peer));
            if *stop.borrow() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(guard.attach_to(response))
        }
    });
    // A connection that is accepted after the stop serves a single request.
    let is_after_stop = *stop.borrow();
    let connection = http1::Builder::new()
        .keep_alive(!is_after_stop)
        .header_read_timeout(None)
        .max_buf_size(headers_size_bytes)
        .serve_connection(TokioIo::new(stream), service);
    // The next response on an open connection states that it closes, so an idle connection is closed without one only
    // when no new connections are accepted any more.
    let mut accept_stop = stop.clone();
    let end_of_accepting = async {
        wait_for_stop(&mut accept_stop).await;
        let accept_ms = stop_limits.borrow().accept_after_stop_ms;
        tokio::time::sleep(Duration::from_millis(accept_ms)).await;
    };
    let end_of_patience = async {
        wait_for_stop(&mut stop).await;
        caller_wait_exceeded(&state, &stop_limits).await
    };
    tokio::pin!(connection, end_of_patience);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = poll_fn(|cx| state.poll_evicted(cx)) => return,
        waited_ms = end_of_patience.as_mut() => return table.record_stop(&state, waited_ms),
        () = end_of_accepting, if !is_after_stop => {
            requests.record_close();
            connection.as_mut().graceful_shutdown();
        }
    }
    tokio::select! {
        _ = connection.as_mut() => {}
        () = poll_fn(|cx| state.poll_evicted(cx)) => {}
        waited_ms = end_of_patience.as_mut() => table.record_stop(&state, waited_ms),
    }
}

/// Response to a request of `peer` whose handler has panicked, after which the connection is closed.
fn panic_response(peer: SocketAddr) -> Response<ResponseBody> {
    log::error!("web: the handler of a request from {peer} panicked");
    let mut response = Response::new(empty());
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Waits until `stop` becomes true or its sender is dropped.
async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|&is_stopped| is_stopped).await;
}
