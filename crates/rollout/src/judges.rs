//! Election of the daemons that judge a rollout.

use base::{ServiceName, stable_hash};
use std::net::SocketAddr;

/// Number of judges of each rollout. All have the same counts, so that two may fail.
pub const JUDGES: usize = 3;

/// Picks the judges of an order, the first one first, by rendezvous hashing. All daemons with the same list of daemons
/// pick the same ones.
pub fn judges(service: &ServiceName, target: &str, daemons: &[SocketAddr]) -> Vec<SocketAddr> {
    let weight = |addr: &SocketAddr| stable_hash(&(service.as_str(), target, addr));
    let mut ranked: Vec<(u64, SocketAddr)> =
        daemons.iter().map(|addr| (weight(addr), *addr)).collect();
    ranked.sort_unstable();
    ranked.truncate(JUDGES);
    ranked.into_iter().map(|(_, addr)| addr).collect()
}

/// Position of this daemon among the judges; `None` if it is none of them. A daemon that knows of no other judges alone.
pub fn judge_rank(judges: &[SocketAddr], own: Option<SocketAddr>) -> Option<usize> {
    match judges.is_empty() {
        true => Some(0),
        false => judges.iter().position(|addr| Some(*addr) == own),
    }
}
