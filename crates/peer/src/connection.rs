//! Opens and drives the client side of an RPC connection to a peer.

use crate::{counting_stream::CountingStream, peer_capnp::peer, peer_error::PeerError};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::io::{BufReader, BufWriter};
use std::{
    fmt::{Debug, Formatter, Result as FmtResult},
    net::SocketAddr,
};
use tokio::{
    net::TcpStream,
    task::{AbortHandle, spawn_local},
};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

/// Client connection to a peer. Dropping it closes the socket, which also ends the calls in flight.
#[derive(Debug)]
pub(crate) struct Connection {
    pub client: ClientHandle,
    /// Task that reads from and writes to the socket.
    driver: AbortHandle,
}

/// Client of the peer's RPC interface. The generated type does not implement `Debug`.
pub(crate) struct ClientHandle(pub peer::Client);

impl Debug for ClientHandle {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        f.write_str("ClientHandle")
    }
}

impl Connection {
    /// Connects to the peer at `addr`.
    ///
    /// # Errors
    ///
    /// `Connect` if the connection cannot be opened.
    pub async fn open(addr: SocketAddr) -> Result<Self, PeerError> {
        let stream = TcpStream::connect(addr).await?;
        // Appends are small writes, and the release of a token waits for them.
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.into_split();
        let network = VatNetwork::new(
            BufReader::new(CountingStream::new(reader.compat())),
            BufWriter::new(CountingStream::new(writer.compat_write())),
            Side::Client,
            Default::default(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: peer::Client = system.bootstrap(Side::Server);
        let task = spawn_local(async move {
            // The error is ignored here, because the calls in flight receive and report it as well.
            let _ = system.await;
        });
        Ok(Self { client: ClientHandle(client), driver: task.abort_handle() })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
