//! Tests of the tree by which the daemons of a large failure domain read a key-value service.

use plat::{ReadPath, Relay, choose_read_path};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use std::collections::{HashMap, HashSet};

fn daemon(number: usize, link_mbps: u64) -> Relay {
    Relay {
        vm_name: format!("front-{number}").into(),
        domain: "clyde".to_owned().try_into().unwrap(),
        addr: ([10, 0, (number / 250) as u8, (number % 250) as u8], 7202).into(),
        link_mbps,
    }
}

/// Number of daemons that ask each relay first, and the relays of each daemon.
fn readers(fleet: &[Relay]) -> (HashMap<Box<str>, usize>, HashMap<Box<str>, ReadPath>) {
    let mut counts = HashMap::new();
    let mut paths = HashMap::new();
    for own in fleet {
        let path = choose_read_path(fleet, &own.domain, &own.vm_name);
        if let ReadPath::Through(relays) | ReadPath::ThroughAsRelay(relays) = &path {
            *counts.entry(relays[0].vm_name.clone()).or_default() += 1;
        }
        paths.insert(own.vm_name.clone(), path);
    }
    (counts, paths)
}

/// Guards against the traffic of a relay that grows with the number of daemons: in a fleet of 300 daemons in four
/// domains, two relays sent each change to 36 daemons each.
#[test]
fn no_relay_of_a_large_domain_serves_many_readers() {
    for (daemons, link_mbps, most) in
        [(8, 10, 3), (25, 10, 4), (75, 10, 7), (93, 200, 7), (300, 10, 9)]
    {
        let fleet: Vec<Relay> = (0..daemons).map(|number| daemon(number, link_mbps)).collect();
        let (counts, _) = readers(&fleet);
        let busiest = counts.values().max().copied().unwrap_or(0);
        assert!(busiest <= most, "{busiest} readers in a domain of {daemons}");
    }
}

#[derive(Clone, Debug)]
struct Fleet(Vec<Relay>);

impl Arbitrary for Fleet {
    fn arbitrary(g: &mut Gen) -> Self {
        let links = [0, 1, 10, 20, 100, 200, u64::MAX];
        let count = usize::arbitrary(g) % 400 + 5;
        Self((0..count).map(|number| daemon(number, *g.choose(&links).unwrap())).collect())
    }
}

/// Guards against a daemon that reads from one which has no copy to serve, from itself or twice from the same one, and
/// against ways with more than two relays, on which a change would be late.
#[test]
fn every_daemon_reads_from_relays_at_most_two_steps_from_the_service() {
    fn property(Fleet(fleet): Fleet) -> TestResult {
        let (_, paths) = readers(&fleet);
        for (own, path) in &paths {
            let (relays, is_leaf) = match path {
                ReadPath::Through(relays) => (relays, true),
                ReadPath::ThroughAsRelay(relays) => (relays, false),
                ReadPath::AsRelay => continue,
                ReadPath::Direct => return TestResult::error("a daemon has no relay"),
            };
            let names: HashSet<&str> = relays.iter().map(|relay| &*relay.vm_name).collect();
            if names.len() != relays.len() || names.contains(&**own) || relays.len() < 2 {
                return TestResult::error(format!("{own} reads from {names:?}"));
            }
            let serves = |path: &ReadPath| match path {
                ReadPath::AsRelay => true,
                ReadPath::ThroughAsRelay(_) => is_leaf,
                _ => false,
            };
            if !serves(&paths[&relays[0].vm_name]) || !serves(&paths[&relays[1].vm_name]) {
                return TestResult::error(format!(
                    "{own} reads from {names:?}, which do not serve"
                ));
            }
        }
        TestResult::passed()
    }
    QuickCheck::new().tests(60).quickcheck(property as fn(Fleet) -> TestResult);
}

/// Guards against two daemons that read from each other, because they know different daemons of a large domain.
#[test]
fn no_two_daemons_of_a_large_domain_read_from_each_other() {
    fn property(a: Vec<bool>, b: Vec<bool>, numbers: (u8, u8)) -> TestResult {
        let numbers = [numbers.0, numbers.1].map(|number| usize::from(number % 90));
        if numbers[0] == numbers[1] {
            return TestResult::discard();
        }
        let knows =
            |view: &[bool], number: usize| view.get(number % view.len().max(1)) != Some(&false);
        let reads_from = |view: &[bool], own: usize, other: usize| {
            let known = (0..90).filter(|number| numbers.contains(number) || knows(view, *number));
            let fleet: Vec<Relay> =
                known.map(|number| daemon(number, number as u64 % 3 * 10)).collect();
            match choose_read_path(&fleet, &fleet[0].domain, &format!("front-{own}")) {
                ReadPath::Through(relays) | ReadPath::ThroughAsRelay(relays) => {
                    relays.iter().any(|relay| *relay.vm_name == *format!("front-{other}"))
                }
                _ => false,
            }
        };
        let [first, second] = numbers;
        TestResult::from_bool(!(reads_from(&a, first, second) && reads_from(&b, second, first)))
    }
    QuickCheck::new()
        .tests(1_000)
        .quickcheck(property as fn(Vec<bool>, Vec<bool>, (u8, u8)) -> TestResult);
}
