//! Tests of the account of the bytes that are kept for requests in flight.

use bytes::Bytes;
use std::{sync::Arc, time::Duration};
use web::ByteAccount;

const KB: usize = 1024;

/// Guards against more bytes than the limit, and against bytes that stay held without a holder.
#[test]
fn held_bytes_never_exceed_the_limit() {
    let account = Arc::new(ByteAccount::new(100 * KB));
    let first = account.try_hold(60 * KB).unwrap();
    assert!(account.try_hold(41 * KB).is_none());
    let mut second = account.try_hold(40 * KB).unwrap();
    assert!(!second.try_resize(40 * KB + 1));
    assert_eq!(account.held_bytes(), 100 * KB);
    drop(first);
    assert!(second.try_resize(50 * KB) && second.try_resize(KB));
    assert_eq!(account.held_bytes(), KB);
    drop(second);
    assert_eq!(account.held_bytes(), 0);
}

/// Guards against large bodies that leave no room for small ones.
#[test]
fn large_amounts_leave_room_for_small_ones() {
    let account = Arc::new(ByteAccount::new(1_000 * KB));
    assert!(account.try_hold(account.largest_bytes() + 1).is_none());
    let large: Vec<_> = std::iter::from_fn(|| account.try_hold(100 * KB)).collect();
    assert_eq!(large.len(), 7);
    assert!(account.try_hold(10 * KB).is_some());
}

/// Guards against a wait that no release ends, and against an abandoned wait that keeps bytes.
#[tokio::test]
async fn an_amount_waits_until_there_is_room() {
    let account = Arc::new(ByteAccount::new(100 * KB));
    let first = [account.try_hold(60 * KB), account.try_hold(40 * KB)];
    assert_eq!(account.held_bytes(), 100 * KB);
    let wait = Duration::from_millis(20);
    assert!(tokio::time::timeout(wait, account.hold(KB)).await.is_err());
    let waiting: Vec<_> = (0..20)
        .map(|_| {
            let account = Arc::clone(&account);
            tokio::spawn(async move {
                let held = account.hold(30 * KB).await;
                assert!(account.held_bytes() <= 100 * KB);
                tokio::task::yield_now().await;
                drop(held);
            })
        })
        .collect();
    tokio::time::sleep(wait).await;
    drop(first);
    for waiting in waiting {
        tokio::time::timeout(Duration::from_secs(5), waiting).await.unwrap().unwrap();
    }
    assert_eq!(account.held_bytes(), 0);
}

/// Guards against a body that is no longer counted while a copy of it is still being sent.
#[test]
fn content_is_held_until_its_last_copy_is_dropped() {
    let account = Arc::new(ByteAccount::new(100 * KB));
    let content = account.try_hold(4).unwrap().attach_to(Bytes::from_static(b"body"));
    let part = content.slice(1..2);
    drop(content);
    assert_eq!((account.held_bytes(), &part[..]), (4, &b"o"[..]));
    drop(part);
    assert_eq!(account.held_bytes(), 0);
}
