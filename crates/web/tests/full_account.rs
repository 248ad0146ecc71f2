//! Guards against a full account that is searched for connections to close at each write, although no connection may be closed.

use std::sync::Arc;
use web::{ByteAccount, Connections};

/// Number of writes that find no room, within far less time than it takes until another connection may be closed.
const WRITES: usize = 100_000;

#[test]
fn a_full_account_is_not_searched_at_each_write() {
    let account = Arc::new(ByteAccount::new(1024 * 1024));
    let held = account.try_hold(64 * 1024).unwrap();
    let connections = Connections::new(account);
    for _ in 0..WRITES {
        connections.make_room(4 * 1024);
    }
    // A busy machine may take longer for the writes, but not so long that a tenth of them finds a pause over.
    let searches = connections.searches();
    assert!((1..WRITES as u64 / 10).contains(&searches), "{searches} searches for {WRITES} writes");
    drop(held);
}
