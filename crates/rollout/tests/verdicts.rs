//! Tests of what the counts of all daemons show.

use rollout::{Counts, InstanceSet, RouteCounts, RouteKey, Totals};

/// Totals of a version whose answers come from two instances, and whose bad ones come from the first.
fn totals(bad: u32, answers: u32) -> Totals {
    let mut totals = Totals::default();
    let old = Counts { answers: 1_000, failures: 4, slow: 4 };
    let target = Counts { answers, failures: bad, slow: 0 };
    let counts = RouteCounts {
        requests: 1_000 + answers,
        sends: answers,
        target,
        old,
        ..RouteCounts::default()
    };
    totals.routes.insert(RouteKey::from("r"), counts);
    ["i1", "i2"].iter().for_each(|id| totals.used.insert(id));
    let mut bad_instances = InstanceSet::default();
    bad_instances.insert("i1");
    totals.bad = bad_instances;
    assert_eq!((totals.used.len(), totals.bad.len()), (2, 1));
    totals
}

/// Guards against a version that is taken for bad because one of its instances is.
#[test]
fn a_few_bad_answers_of_one_instance_are_no_evidence() {
    assert_eq!(totals(10, 30).finding(std::iter::empty(), 0.0), None);
}

/// Guards against a bad version that gets requests without an end because nearly all of them go to one instance: another one
/// was used for a moment, and gave no bad answer.
#[test]
fn many_bad_answers_are_evidence_although_they_come_from_one_instance() {
    assert!(totals(30, 90).finding(std::iter::empty(), 0.0).is_some());
}
