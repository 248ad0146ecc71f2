//! One connection through the proxy.

use crate::proxy::{
    direction::Direction,
    faults::Faults,
    pump::{Pump, PumpEnd},
};
use std::{io::Result as IoResult, net::SocketAddr};
use tokio::{net::TcpStream, sync::watch};

/// Accepted connection.
#[derive(Debug)]
pub(super) struct Link {
    pub number: u64,
    pub client: TcpStream,
    pub target: SocketAddr,
    pub faults: watch::Receiver<Faults>,
}

impl Link {
    /// Forwards until both directions have ended or the connection is cut.
    pub async fn run(self) {
        let Self { number, mut client, target, mut faults } = self;
        let _ = client.set_nodelay(true);
        if faults.borrow().is_refusing {
            let _ = client.set_zero_linger();
            return;
        }
        let Ok(mut server) = TcpStream::connect(target).await else {
            let _ = client.set_zero_linger();
            return;
        };
        let _ = server.set_nodelay(true);
        let pumped = faults.clone();
        let is_whole = tokio::select! {
            biased;
            _ = faults.wait_for(|faults| faults.is_cut(number)) => false,
            outcome = forward(number, &mut client, &mut server, pumped) => outcome.is_ok_and(|end| end == PumpEnd::Closed),
        };
        if !is_whole {
            let _ = client.set_zero_linger();
            let _ = server.set_zero_linger();
        }
    }
}

async fn forward(
    number: u64,
    client: &mut TcpStream,
    server: &mut TcpStream,
    faults: watch::Receiver<Faults>,
) -> IoResult<PumpEnd> {
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    let to_target = Pump { direction: Direction::ToTarget, number, faults: faults.clone() };
    let to_client = Pump { direction: Direction::ToClient, number, faults };
    let ahead = to_target.run(client_read, server_write);
    let back = to_client.run(server_read, client_write);
    tokio::pin!(ahead, back);
    // The end of one direction is passed on as a half-close, but a cut or failed one ends both at once.
    tokio::select! {
        end = &mut ahead => match end? {
            PumpEnd::Cut => Ok(PumpEnd::Cut),
            PumpEnd::Closed => back.await,
        },
        end = &mut back => match end? {
            PumpEnd::Cut => Ok(PumpEnd::Cut),
            PumpEnd::Closed => ahead.await,
        },
    }
}
