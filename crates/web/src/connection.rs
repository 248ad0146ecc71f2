//! Client connections that carry one request at a time.

use crate::{
    body::read_body,
    client_error::ClientError,
    client_stream::ClientStream,
    connection_limits::SOCKET_BUFFER_BYTES,
    exchange_state::ExchangeState,
    socket_buffers::socket_with_buffers,
    tcp_keepalive::{enable_fast_tcp_keepalive, enable_tcp_keepalive},
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use std::{future::Future, io::Result as IoResult, net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, task::AbortHandle};

/// Size of the read buffer. It is small because many connections are open at a time and responses arrive in small
/// pieces.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// HTTP/1.1 connection to a server. Its methods never retry a request. Dropping the value closes the connection
/// immediately. If a request awaits its response then, the connection is reset, so that the kernel does not deliver the
/// request later.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    exchange: ExchangeState,
    /// Task that reads from and writes to the socket.
    driver: AbortHandle,
}

impl Connection {
    /// Connects to `addr` within `wait_ms`.
    ///
    /// # Errors
    ///
    /// `Connect` if the connection cannot be opened in time.
    pub async fn open(addr: SocketAddr, wait_ms: u64) -> Result<Self, ClientError> {
        let connect = async { socket_with_buffers(addr, SOCKET_BUFFER_BYTES)?.connect(addr).await };
        Self::open_with(addr, connect, wait_ms, enable_tcp_keepalive).await
    }

    /// Connects like `open`, but lets the kernel detect the loss of the connection within about three seconds. Use it
    /// if the wait for a response may be longer than that. The kernel's buffers grow as needed, for long lists.
    ///
    /// # Errors
    ///
    /// `Connect` if the connection cannot be opened in time.
    pub async fn open_with_fast_keepalive(
        addr: SocketAddr,
        wait_ms: u64,
    ) -> Result<Self, ClientError> {
        Self::open_with(addr, TcpStream::connect(addr), wait_ms, enable_fast_tcp_keepalive).await
    }

    async fn open_with(
        addr: SocketAddr,
        connect: impl Future<Output = IoResult<TcpStream>>,
        wait_ms: u64,
        enable_keepalive: fn(&TcpStream),
    ) -> Result<Self, ClientError> {
        let stream = match tokio::time::timeout(Duration::from_millis(wait_ms), connect).await {
            Ok(stream) => stream.map_err(ClientError::Connect)?,
            Err(_) => return Err(ClientError::Connect(std::io::ErrorKind::TimedOut.into())),
        };
        let _ = stream.set_nodelay(true);
        enable_keepalive(&stream);
        let exchange = ExchangeState::new();
        let stream = ClientStream::new(stream, exchange.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(ClientError::Transport)?;
        let driver = tokio::spawn(async move {
            if let Err(err) = connection.await {
                log::debug!("web: a connection to {addr} failed: {err}");
            }
        });
        Ok(Self { sender, exchange, driver: driver.abort_handle() })
    }

    /// Returns whether another request can be sent now: the last exchange has ended and the server has kept the
    /// connection open.
    pub fn is_idle(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits for the end of the last exchange. Returns whether another request can then be sent, which is `false` if
    /// the server has closed the connection.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and returns the head of the response. The body is read from the connection as it arrives.
    ///
    /// # Errors
    ///
    /// `Unsent` if nothing was written. After `Transport`, the request may have reached the server.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ClientError> {
        self.exchange.begin();
        let response =
            self.sender.try_send_request(request).await.map_err(|mut error| {
                match error.take_message() {
                    Some(_) => ClientError::Unsent(error.into_error()),
                    None => ClientError::Transport(error.into_error()),
                }
            })?;
        self.exchange.unlimit_framing();
        Ok(response)
    }

    /// Limits the bytes that are read until the next call. Call it for each part of a body whose reader does not limit
    /// the size of the body, so that bytes which are no part of it do not arrive without end.
    pub fn limit_framing(&self) {
        self.exchange.limit_framing();
    }

    /// Sends a request and reads the complete response, whose body may have at most `limit_bytes`.
    ///
    /// # Errors
    ///
    /// As for `send`; `Body` if the body could not be read.
    pub async fn fetch(
        &mut self,
        request: Request<Full<Bytes>>,
        limit_bytes: usize,
    ) -> Result<Response<Bytes>, ClientError> {
        let (head, body) = self.send(request).await?.into_parts();
        self.limit_framing();
        let exchange = self.exchange.clone();
        let body = body.map_frame(move |frame| {
            exchange.limit_framing();
            frame
        });
        Ok(Response::from_parts(head, read_body(body, limit_bytes).await?))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
