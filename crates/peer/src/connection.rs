//! Connection to a peer.

use crate::{counted::Counted, peer_capnp::peer, peer_error::PeerError};
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

/// Connection to a peer. Dropping it closes the socket, which also ends its calls.
#[derive(Debug)]
pub(crate) struct Connection {
    pub client: ClientHandle,
    driver: AbortHandle,
}

/// Client of the peer's interface.
pub(crate) struct ClientHandle(pub peer::Client);

impl Debug for ClientHandle {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        f.write_str("ClientHandle")
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// `Connect`.
    pub async fn open(addr: SocketAddr) -> Result<Self, PeerError> {
        let stream = TcpStream::connect(addr).await?;
        // Appends are small writes that a token waits for.
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.into_split();
        let network = VatNetwork::new(
            BufReader::new(Counted::new(reader.compat())),
            BufWriter::new(Counted::new(writer.compat_write())),
            Side::Client,
            Default::default(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: peer::Client = system.bootstrap(Side::Server);
        let task = spawn_local(async move {
            // An error also reaches the calls in flight, which report it.
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
