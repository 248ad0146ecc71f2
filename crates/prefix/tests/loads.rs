//! Tests of the choice by cached prefixes under played loads.

mod common;

use crate::common::{LARGE, Load, Outcome, play};

fn with_and_without(load: Load) -> [Outcome; 2] {
    [play(load, true, 1), play(load, false, 1)]
}

/// Guards against a choice that finds nothing, for a load of many beginnings that fill most of the prompt.
#[test]
fn shared_beginnings_are_brought_together() {
    let [with, without] = with_and_without(Load { beginnings: 400, shared: 0.9, ..LARGE });
    assert!(with.p50_ms * 2.0 < without.p50_ms, "{with:?} {without:?}");
    assert!(with.tokens_read * 2.0 < without.tokens_read, "{with:?} {without:?}");
    assert!(with.p95_ms <= without.p95_ms * 1.05, "{with:?} {without:?}");
}

/// Guards against a choice that costs time where little is shared, as 200 of 5,200 tokens in the deployments known.
#[test]
fn little_sharing_changes_little() {
    for shared in [0.0, 0.04] {
        let [with, without] = with_and_without(Load { shared, ..LARGE });
        assert!(with.p50_ms <= without.p50_ms * 1.05, "{with:?} {without:?}");
        assert!(with.p95_ms <= without.p95_ms * 1.05, "{with:?} {without:?}");
        assert!(with.skew <= without.skew * 1.25, "{with:?} {without:?}");
    }
}

/// Guards against a hot beginning that fills its engines while others are idle, at twice the rate.
#[test]
fn a_hot_beginning_is_spread_before_its_engines_are_full() {
    for shared in [0.3, 0.6, 0.9] {
        let load = Load { beginnings: 1, shared, requests_per_s: 50.0, ..LARGE };
        let [with, without] = with_and_without(load);
        assert!(with.p95_ms <= without.p95_ms * 1.1, "{shared}: {with:?} {without:?}");
    }
}

/// Guards against credit for parts that are gone by the time they are needed, because the engines have no memory for
/// them.
#[test]
fn engines_without_room_for_cached_parts_get_no_credit() {
    let load = Load { beginnings: 400, shared: 0.9, kv_tokens: 5_600, slots: 1, ..LARGE };
    let [with, without] = with_and_without(load);
    assert!(with.p95_ms <= without.p95_ms * 1.1, "{with:?} {without:?}");
    assert!(with.p50_ms <= without.p50_ms * 1.1, "{with:?} {without:?}");
}
