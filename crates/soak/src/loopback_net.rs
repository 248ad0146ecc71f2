//! Reservation of a loopback network for the daemons of one soak.

use crate::{
    daemon_process::{ENTRY_PORT, READY_PORT},
    soak_error::SoakError,
};
use std::net::{Ipv4Addr, TcpListener};

/// Number of loopback networks `127.0.N.0` from which a soak takes one.
const NETS: u64 = 250;

/// Port at the first address of a network that a soak occupies until it ends.
const RESERVATION_PORT: u16 = 18_748;

/// Loopback network `127.0.N.0` that no other soak uses until the reservation is closed or dropped.
///
/// The seed selects the network at which the search begins. Soaks with the same seed that run at the same time, and
/// daemons that an earlier soak has left behind, would otherwise take the ports of this one.
#[derive(Debug)]
pub struct LoopbackNet {
    number: u8,
    _reservation: TcpListener,
}

impl LoopbackNet {
    /// Reserves the first free network from the one that `seed` selects, for `daemons` daemons.
    ///
    /// # Errors
    ///
    /// `NoNetwork` if all networks are in use.
    pub fn reserve(seed: u64, daemons: u8) -> Result<Self, SoakError> {
        let numbers = (0..NETS).map(|offset| (seed % NETS + offset) % NETS + 1);
        let mut numbers = numbers.filter_map(|number| u8::try_from(number).ok());
        numbers.find_map(|number| Self::reserve_number(number, daemons)).ok_or(SoakError::NoNetwork)
    }

    /// Reserves the network `number` if no other soak has reserved it and the daemons' ports are free.
    fn reserve_number(number: u8, daemons: u8) -> Option<Self> {
        let first = Ipv4Addr::new(127, 0, number, 0);
        let reservation = TcpListener::bind((first, RESERVATION_PORT)).ok()?;
        let net = Self { number, _reservation: reservation };
        let is_free = |daemon| {
            let ports = [ENTRY_PORT, READY_PORT];
            ports.into_iter().all(|port| TcpListener::bind((net.ip(daemon), port)).is_ok())
        };
        (1..=daemons).all(is_free).then_some(net)
    }

    /// Returns the address of the daemon with this number, which starts at 1.
    pub fn ip(&self, daemon: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 0, self.number, daemon)
    }

    /// Ends the reservation. The daemons must have ended.
    pub fn close(self) {}
}
