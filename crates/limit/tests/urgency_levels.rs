//! Tests of the urgency levels on a heavy day of two tiers (routes with priorities 0 and 2) whose client accounts all state
//! a priority as well.

use limit::{Priority, RequestPriority, StreamClass, UrgencyLevels};
use quickcheck::{Gen, QuickCheck};

fn priority(account: Option<u8>, route: Option<u8>) -> RequestPriority {
    let clamped = |value: Option<u8>| value.map(|value| Priority::clamped(i64::from(value)));
    RequestPriority::new(clamped(account), clamped(route))
}

/// Fails if the priority of the account hides that of the route, so that the urgent tier waits like the standard one, or
/// if a route comes before an account.
#[test]
fn routes_are_told_apart_where_all_accounts_state_a_priority() {
    let [urgent, standard] = [0, 2].map(|route| priority(Some(1), Some(route)));
    let [first_urgent, first_standard] = [0, 2].map(|route| priority(Some(0), Some(route)));
    let levels = UrgencyLevels::new([standard, urgent, first_standard, first_urgent]).unwrap();
    let order = [first_urgent, first_standard, urgent, standard];
    assert_eq!(order.map(|priority| levels.level(priority)), [0, 1, 2, 3]);
    let classes = [
        StreamClass::MostUrgent,
        StreamClass::Middle,
        StreamClass::Middle,
        StreamClass::LeastUrgent,
    ];
    assert_eq!(order.map(|priority| levels.class(priority)), classes);
}

/// Fails if an engine is told another level than the priority of the account where that tells all streams apart, or if
/// levels that have to move leave the range.
#[test]
fn levels_are_the_priorities_of_accounts_where_possible() {
    let levels = |priorities: &[RequestPriority]| -> Vec<u8> {
        let levels = UrgencyLevels::new(priorities.iter().copied()).unwrap();
        priorities.iter().map(|&priority| levels.level(priority)).collect()
    };
    assert_eq!(levels(&[priority(Some(0), None), priority(None, Some(6))]), [0, 6]);
    let ends = [(4, 4), (9, 0), (9, 3), (9, 9)];
    let ends = ends.map(|(account, route)| priority(Some(account), Some(route)));
    assert_eq!(levels(&ends), [4, 7, 8, 9]);
}

/// Fails if streams of a service without different priorities are told apart.
#[test]
fn equal_priorities_have_no_levels() {
    assert_eq!(UrgencyLevels::new([priority(Some(1), Some(1)); 3]), None);
    assert_eq!(UrgencyLevels::new([priority(Some(1), Some(1)), priority(None, Some(1))]), None);
    assert_eq!(UrgencyLevels::new([priority(None, None), priority(Some(5), None)]), None);
    assert_eq!(UrgencyLevels::new([]), None);
}

/// Fails if a less urgent priority overtakes a more urgent one, if ten priorities or fewer share a level, if a level is
/// not one that engines know, or if not exactly the ends have the outer classes.
#[test]
fn levels_keep_the_order_of_priorities() {
    fn holds(stated: Vec<(Option<u8>, Option<u8>)>, other: (Option<u8>, Option<u8>)) -> bool {
        let mut priorities: Vec<_> =
            stated.into_iter().map(|(account, route)| priority(account, route)).collect();
        let Some(levels) = UrgencyLevels::new(priorities.iter().copied()) else {
            priorities.dedup();
            return priorities.len() < 2;
        };
        priorities.sort_unstable();
        priorities.dedup();
        let other = priority(other.0, other.1);
        let count = priorities.len();
        let in_order = priorities.windows(2).all(|pair| {
            let [one, next] = [pair[0], pair[1]].map(|priority| levels.level(priority));
            if count > 10 { one <= next } else { one < next }
        });
        let classes = priorities.iter().enumerate().all(|(rank, &priority)| {
            let expected = match rank {
                0 => StreamClass::MostUrgent,
                rank if rank + 1 == count => StreamClass::LeastUrgent,
                _ => StreamClass::Middle,
            };
            levels.class(priority) == expected
        });
        let is_known =
            priorities.iter().chain([&other]).all(|&priority| levels.level(priority) <= 9);
        let is_other_in_order = priorities.iter().all(|&priority| match priority < other {
            true => levels.level(priority) <= levels.level(other),
            false => levels.level(priority) >= levels.level(other),
        });
        in_order && classes && is_known && is_other_in_order
    }
    type Stated = Vec<(Option<u8>, Option<u8>)>;
    let mut checker = QuickCheck::new().rng(Gen::from_size_and_seed(20, 1)).tests(2_000);
    checker.quickcheck(holds as fn(Stated, (Option<u8>, Option<u8>)) -> bool);
}

/// Fails if odd configured values wrap around.
#[test]
fn configured_values_outside_of_the_range_count_as_the_nearest_inside() {
    assert_eq!(Priority::clamped(-3), Priority::MOST_URGENT);
    assert_eq!(Priority::clamped(300), Priority::clamped(9));
    assert_eq!(Priority::default(), Priority::clamped(5));
}
