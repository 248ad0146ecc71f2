//! Tests of the choice of the daemons that know where the KV cache replica of a stream is.

use affinity::{ASKED_DAEMONS, TOLD_DAEMONS, copy_holders};
use quickcheck::quickcheck;
use std::net::SocketAddr;

fn addr(number: u16) -> SocketAddr {
    ([10, 0, (number >> 8) as u8, number as u8], 7_000).into()
}

/// Different daemons, in the order in which they are drawn.
fn daemons(numbers: Vec<u16>) -> Vec<SocketAddr> {
    let mut daemons: Vec<SocketAddr> = Vec::new();
    for addr in numbers.into_iter().map(addr) {
        if !daemons.contains(&addr) {
            daemons.push(addr);
        }
    }
    daemons
}

quickcheck! {
    /// Guards against daemons that ask others than those that were told, because the store has listed the daemons in
    /// another order.
    fn the_order_of_the_list_does_not_count(stream_id: String, numbers: Vec<u16>) -> bool {
        let daemons = daemons(numbers);
        let reversed: Vec<SocketAddr> = daemons.iter().rev().copied().collect();
        let holders = copy_holders(&stream_id, &daemons);
        holders == copy_holders(&stream_id, &reversed) && holders.len() == daemons.len().min(ASKED_DAEMONS)
    }

    /// Guards against a replica that is not found because a daemon has joined, or has left, since others were told of it.
    fn told_daemons_are_asked_after_one_joins_or_leaves(stream_id: String, numbers: Vec<u16>, changed: u16) -> bool {
        let before = daemons(numbers);
        let mut after = before.clone();
        match after.iter().position(|daemon| *daemon == addr(changed)) {
            Some(position) => drop(after.remove(position)),
            None => after.push(addr(changed)),
        }
        let asked = copy_holders(&stream_id, &after);
        let told = copy_holders(&stream_id, &before);
        told.iter().take(TOLD_DAEMONS).all(|daemon| asked.contains(daemon) || !after.contains(daemon))
    }
}

/// Guards against messages that all go to a few daemons of the fleet.
#[test]
fn the_streams_are_spread_over_the_fleet() {
    let fleet = daemons((0..370).collect());
    let mut told = vec![0; fleet.len()];
    for number in 0..10_000 {
        let holders = copy_holders(&format!("{number:016x}"), &fleet);
        for holder in &holders[..TOLD_DAEMONS] {
            told[fleet.iter().position(|daemon| daemon == holder).unwrap()] += 1;
        }
    }
    let most = told.iter().max().copied().unwrap_or(0);
    // The mean is 81.
    assert!(most < 2 * 81, "one of 370 daemons is told of {most} of 10,000 streams");
}
