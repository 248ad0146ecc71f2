//! RPC server that answers the calls of peers.

use crate::{
    counting_stream::CountingStream, decode, encode, peer_capnp::peer, peer_error::PeerError,
    peer_service::PeerService,
};
use base::{AccountName, VmId};
use capnp::{Error, capability::Rc};
use capnp_rpc::{RpcSystem, new_client, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::io::{BufReader, BufWriter};
use recovery::{Append, AppendStatus, Cursor};
use std::{cell::Cell, fmt::Display, rc::Rc as StdRc, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::spawn_local,
    time::Instant,
};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

/// Time without a call after which a connection is closed, in milliseconds. The link at the other end pings more often
/// than that while it is in use for journal calls, and otherwise closes the connection earlier.
const IDLE_TIMEOUT_MS: u64 = 120_000;

/// Pause after a failed `accept`, in milliseconds. It prevents a busy loop while file descriptors are exhausted.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Accepts and serves connections of peers until `stop` becomes true or its sender is dropped.
pub(crate) async fn run(
    listener: TcpListener,
    service: Arc<dyn PeerService>,
    mut stop: watch::Receiver<bool>,
) {
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => drop(spawn_local(serve(stream, Arc::clone(&service)))),
                Err(_) => tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await,
            },
            _ = stop.wait_for(|&is_stopped| is_stopped) => return,
        }
    }
}

async fn serve(stream: TcpStream, service: Arc<dyn PeerService>) {
    // Acknowledgements are small writes, and the release of a token waits for them.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let network = VatNetwork::new(
        BufReader::new(CountingStream::new(reader.compat())),
        BufWriter::new(CountingStream::new(writer.compat_write())),
        Side::Server,
        Default::default(),
    );
    let last_call = StdRc::new(Cell::new(Instant::now()));
    let server = PeerServer { service, last_call: StdRc::clone(&last_call) };
    let client: peer::Client = new_client(server);
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    tokio::select! {
        _ = system => {}
        () = idle_timeout(&last_call) => {}
    }
}

/// Waits until no call has arrived for `IDLE_TIMEOUT_MS`.
async fn idle_timeout(last_call: &Cell<Instant>) {
    let limit = Duration::from_millis(IDLE_TIMEOUT_MS);
    while last_call.get().elapsed() < limit {
        tokio::time::sleep_until(last_call.get() + limit).await;
    }
}

/// Answers the calls that arrive on one connection.
struct PeerServer {
    service: Arc<dyn PeerService>,
    last_call: StdRc<Cell<Instant>>,
}

impl peer::Server for PeerServer {
    async fn append(
        self: Rc<Self>,
        params: peer::AppendParams,
        mut results: peer::AppendResults,
    ) -> Result<(), Error> {
        self.last_call.set(Instant::now());
        let entries = params.get()?.get_entries()?;
        let appends: Vec<Append> = entries
            .iter()
            .map(decode::append)
            .collect::<Result<_, PeerError>>()
            .map_err(rpc_error)?;
        let statuses: Vec<AppendStatus> =
            appends.iter().map(|append| self.service.append(append)).collect();
        let mut out = results.get().init_statuses(statuses.len() as u32);
        for (index, &status) in statuses.iter().enumerate() {
            out.set(index as u32, encode::append_status(status));
        }
        Ok(())
    }

    async fn claim(
        self: Rc<Self>,
        params: peer::ClaimParams,
        mut results: peer::ClaimResults,
    ) -> Result<(), Error> {
        self.last_call.set(Instant::now());
        let params = params.get()?;
        let cursor = parse_cursor(params.get_cursor()?.to_str()?)?;
        let account = parse_account(params.get_account()?.to_str()?)?;
        let owner = VmId::try_from(params.get_owner()?.to_str()?).map_err(rpc_error)?;
        let outcome = self.service.claim(&cursor, &account, &owner, params.get_nonce());
        let mut out = results.get();
        out.set_status(encode::claim_status(&outcome));
        if let Ok(replica) = &outcome {
            encode::replica(replica, out.init_journal());
        }
        Ok(())
    }

    async fn fetch(
        self: Rc<Self>,
        params: peer::FetchParams,
        mut results: peer::FetchResults,
    ) -> Result<(), Error> {
        self.last_call.set(Instant::now());
        let params = params.get()?;
        let cursor = parse_cursor(params.get_cursor()?.to_str()?)?;
        let account = parse_account(params.get_account()?.to_str()?)?;
        let outcome = self.service.fetch(&cursor, &account);
        let mut out = results.get();
        out.set_status(encode::claim_status(&outcome));
        if let Ok(found) = outcome {
            out.set_view_number(found.view_number);
            out.set_length(found.token_count);
        }
        Ok(())
    }

    async fn heartbeat(
        self: Rc<Self>,
        params: peer::HeartbeatParams,
        mut results: peer::HeartbeatResults,
    ) -> Result<(), Error> {
        self.last_call.set(Instant::now());
        let body = params.get()?.get_body()?;
        if !body.is_empty() {
            results.get().set_body(&self.service.heartbeat(body));
        }
        Ok(())
    }

    async fn config(
        self: Rc<Self>,
        params: peer::ConfigParams,
        mut results: peer::ConfigResults,
    ) -> Result<(), Error> {
        self.last_call.set(Instant::now());
        if let Some(config) = self.service.config(params.get()?.get_after_revision()) {
            let mut out = results.get();
            out.set_revision(config.revision);
            out.set_document(&config.document);
        }
        Ok(())
    }
}

fn parse_cursor(raw: &str) -> Result<Cursor, Error> {
    Cursor::try_from(raw).map_err(rpc_error)
}

fn parse_account(raw: &str) -> Result<AccountName, Error> {
    AccountName::try_from(raw).map_err(rpc_error)
}

fn rpc_error(err: impl Display) -> Error {
    Error::failed(err.to_string())
}
