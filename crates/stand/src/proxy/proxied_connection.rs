//! Connects an accepted client to the target and forwards data both ways.

use crate::proxy::{
    direction::Direction,
    faults::Faults,
    pump::{Pump, PumpEnd},
};
use std::{io::Result as IoResult, net::SocketAddr};
use tokio::{net::TcpStream, sync::watch};

/// Connection that the proxy accepted and forwards to `target`.
#[derive(Debug)]
pub(super) struct ProxiedConnection {
    pub number: u64,
    pub client: TcpStream,
    pub target: SocketAddr,
    pub faults: watch::Receiver<Faults>,
}

impl ProxiedConnection {
    /// Forwards data until both directions are closed or a fault resets the connection. The connection is also reset if
    /// the target is not reachable.
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
        let forward_faults = faults.clone();
        let is_closed_normally = tokio::select! {
            biased;
            _ = faults.wait_for(|faults| faults.is_cut(number)) => false,
            outcome = forward(number, &mut client, &mut server, forward_faults) =>
                outcome.is_ok_and(|end| end == PumpEnd::Closed),
        };
        if !is_closed_normally {
            let _ = client.set_zero_linger();
            let _ = server.set_zero_linger();
        }
    }
}

/// Forwards data in both directions and returns how the last of them ended.
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
    let pump_to_target = to_target.run(client_read, server_write);
    let pump_to_client = to_client.run(server_read, client_write);
    tokio::pin!(pump_to_target, pump_to_client);
    // If one direction is closed normally, the other continues. A reset or an error ends both immediately.
    tokio::select! {
        end = &mut pump_to_target => match end? {
            PumpEnd::Cut => Ok(PumpEnd::Cut),
            PumpEnd::Closed => pump_to_client.await,
        },
        end = &mut pump_to_client => match end? {
            PumpEnd::Cut => Ok(PumpEnd::Cut),
            PumpEnd::Closed => pump_to_target.await,
        },
    }
}
