//! Choice of the daemons that know where the KV cache replica of a stream is.

use base::stable_hash;
use std::net::SocketAddr;

/// Number of daemons that are told of a replica. The loss of half of the daemons at random loses one stream in eight.
pub const TOLD_DAEMONS: usize = 3;

/// Number of daemons that are asked for a replica: one more than are told, in case a daemon has joined since.
pub const ASKED_DAEMONS: usize = TOLD_DAEMONS + 1;

/// Picks the daemons that know the replica of the stream `stream_id`, by rendezvous hashing. The first `TOLD_DAEMONS` are
/// told of it, and all are asked. Daemons with the same list of daemons pick the same ones.
pub fn copy_holders(stream_id: &str, daemons: &[SocketAddr]) -> Vec<SocketAddr> {
    let weight = |addr: &SocketAddr| stable_hash(&(stream_id, addr));
    let mut ranked: Vec<(u64, SocketAddr)> =
        daemons.iter().map(|addr| (weight(addr), *addr)).collect();
    ranked.sort_unstable();
    ranked.truncate(ASKED_DAEMONS);
    ranked.into_iter().map(|(_, addr)| addr).collect()
}
