//! Tests of the loopback networks of soaks.

use soak::LoopbackNet;
use std::net::TcpListener;

/// Port for client requests of the daemons, which this test occupies.
const ENTRY_PORT: u16 = 18_740;

/// Seed of these tests; soaks with another seed begin their search at another network.
const SEED: u64 = 203;

/// Guards against two soaks with the same seed that take each other's ports, and against a soak that takes the ports of
/// daemons which another one has left behind.
#[test]
fn a_network_in_use_is_skipped() {
    let first = LoopbackNet::reserve(SEED, 2).unwrap();
    let second = LoopbackNet::reserve(SEED, 2).unwrap();
    assert_ne!(first.ip(1), second.ip(1));
    let left_behind = TcpListener::bind((first.ip(2), ENTRY_PORT)).unwrap();
    let first_ip = first.ip(1);
    first.close();
    let third = LoopbackNet::reserve(SEED, 2).unwrap();
    assert!(![first_ip, second.ip(1)].contains(&third.ip(1)));
    drop(left_behind);
    second.close();
}
