//! Tests of the share of a link that a relay uses for copies.

use plat::{Change, Changes, ItemCache, ServeBudget, ServedItems, SourceError};
use quickcheck::{QuickCheck, TestResult};
use std::sync::Arc;

/// Bytes per millisecond of half a link of 10 Mbit/s.
const HALF_OF_10_MBPS: u64 = 625;

/// Guards against a relay that sends more than its share, by a burst of large answers or by many small ones.
#[test]
fn a_relay_sends_no_more_than_its_share() {
    fn property(calls: Vec<(u16, u32)>) -> TestResult {
        let mut budget = ServeBudget::new(10);
        let (mut now_ms, mut sent, mut largest) = (0, 0, 0);
        for (pause_ms, bytes) in calls {
            now_ms += u64::from(pause_ms);
            let bytes = u64::from(bytes % 600_000);
            if budget.take_changes(now_ms, bytes).is_ok() {
                sent += bytes;
                largest = largest.max(bytes);
            }
            // A saved second, and the answer that empties the bucket.
            if sent > (now_ms + 1_000) * HALF_OF_10_MBPS + largest {
                return TestResult::error(format!("{sent} bytes in {now_ms} ms"));
            }
        }
        TestResult::passed()
    }
    QuickCheck::new().tests(2_000).quickcheck(property as fn(Vec<(u16, u32)>) -> TestResult);
}

/// Guards against changes that wait behind a list, and behind one large change for longer than a second.
#[test]
fn changes_wait_neither_for_lists_nor_long_for_a_large_change() {
    let mut budget = ServeBudget::new(10);
    assert_eq!(budget.take_list(0, 100_000_000), Ok(()));
    assert!(budget.take_list(1_000, 1).is_err());
    assert_eq!(budget.take_changes(0, 100_000_000), Ok(()));
    assert_eq!(budget.take_changes(0, 1), Err(1_001));
    assert_eq!(budget.take_changes(1_001, 1), Ok(()));
}

/// Guards against refusals where the link is not known.
#[test]
fn an_unknown_link_sets_no_limit() {
    let mut budget = ServeBudget::new(0);
    assert!((0..100).all(|_| budget.take_changes(0, u64::MAX).is_ok()));
    assert!((0..100).all(|_| budget.take_list(0, u64::MAX).is_ok()));
}

fn item(number: usize, revision: u64) -> Change {
    let key = format!("servers/{number:05}").into();
    Change { key, value: Some(vec![number as u8; 200].into()), revision }
}

/// Guards against readers that all get the same full list from one relay at once, and against readers whose watches are
/// refused beside it.
#[tokio::test]
async fn lists_beyond_the_share_are_refused_and_watches_go_on() {
    let items = Arc::new(ItemCache::new(|_, _, _| false));
    let changes = (0..3_000).map(|number| item(number, number as u64 + 1)).collect();
    items.replace(&Changes { changes, era: 1, revision: 3_000, age_ms: 0 }, true);
    let served = ServedItems::new(Arc::clone(&items), 60_000, 10);
    let (mut after, mut listed) = (None, 0);
    loop {
        let (page, has_more) = served.page(after.as_deref()).expect("the first list is admitted");
        listed += page.changes.len();
        after = page.changes.last().map(|item| item.key.clone());
        if !has_more {
            break;
        }
    }
    assert_eq!(listed, 3_000);
    assert!(matches!(served.page(None), Err(SourceError::Busy)));
    let changes = vec![item(7, 3_001)];
    items.apply(&Changes { changes, era: 1, revision: 3_001, age_ms: 0 });
    assert_eq!(served.watch(3_000, 0).await.unwrap().changes.len(), 1);
    // A watch without changes is answered also when the share for changes is spent.
    while served.watch(0, 0).await.is_ok() {}
    assert!(matches!(served.watch(0, 0).await, Err(SourceError::Busy | SourceError::Compacted)));
    assert!(served.watch(3_001, 0).await.unwrap().changes.is_empty());
}
