//! Tests of the choice of the daemons that read a key-value service for others.

use plat::{ReadPath, Relay, choose_read_path};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

fn relay(number: u8, link_mbps: u64) -> Relay {
    Relay {
        vm_name: format!("vm-{number}").into(),
        domain: "lothian".to_owned().try_into().unwrap(),
        addr: ([10, 0, 0, number], 7202).into(),
        link_mbps,
    }
}

fn fleet() -> Vec<Relay> {
    (0..20).map(|number| relay(number, if number % 7 == 3 { 200 } else { 20 })).collect()
}

/// Guards against relays on slow links, where a large configuration would arrive late at the other daemons.
#[test]
fn relays_have_the_fastest_links_and_every_other_daemon_has_two_or_more() {
    let fleet = fleet();
    let mut first_relays = Vec::new();
    let mut relay_count = 0;
    for daemon in &fleet {
        let relays = match choose_read_path(&fleet, &daemon.domain, &daemon.vm_name) {
            ReadPath::Through(relays) => relays,
            path => {
                assert_eq!(path, ReadPath::AsRelay);
                relay_count += 1;
                continue;
            }
        };
        assert!((2..=4).contains(&relays.len()));
        assert!(relays[..2].iter().all(|relay| relay.link_mbps == 200));
        first_relays.push(relays[0].vm_name.clone());
    }
    assert_eq!(relay_count, 2);
    first_relays.sort();
    first_relays.dedup();
    assert_eq!(first_relays.len(), 2, "one relay serves all daemons");
}

/// Guards against relays whose traffic, or whose number, grows as fast as the fleet.
#[test]
fn the_number_of_relays_grows_with_the_square_root_of_the_domain() {
    for (daemons, expected) in [(6, 2), (39, 2), (100, 3), (240, 5)] {
        let fleet: Vec<Relay> = (0..daemons).map(|number| relay(number, 20)).collect();
        let path = |own: &Relay| choose_read_path(&fleet, &own.domain, &own.vm_name);
        let relays = fleet.iter().filter(|own| path(own) == ReadPath::AsRelay).count();
        assert_eq!(relays, expected, "{daemons} daemons");
    }
}

/// Guards against relays in domains where they save nothing, and against relays in other failure domains, whose loss
/// or partition would hit this domain as well.
#[test]
fn small_domains_and_other_domains_have_no_relays() {
    let mut fleet = fleet();
    let domain = fleet[0].domain.clone();
    assert_eq!(choose_read_path(&fleet[..4], &domain, "vm-0"), ReadPath::Direct);
    for relay in &mut fleet {
        relay.domain = "clyde".to_owned().try_into().unwrap();
    }
    assert_eq!(choose_read_path(&fleet, &domain, "vm-0"), ReadPath::Direct);
}

#[derive(Clone, Debug)]
struct View(Vec<Relay>);

impl Arbitrary for View {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(fleet().into_iter().filter(|_| u8::arbitrary(g) % 3 > 0).collect())
    }
}

/// Guards against daemons that read from each other, because they know different daemons: they would confirm old items
/// to each other for ever.
#[test]
fn no_two_daemons_read_from_each_other() {
    fn property(a: View, b: View, numbers: (u8, u8)) -> TestResult {
        let (first, second) = (numbers.0 % 20, numbers.1 % 20);
        if first == second {
            return TestResult::discard();
        }
        let reads_from = |view: &View, own: u8, other: u8| {
            let mut fleet = view.0.clone();
            fleet.extend([own, other].map(|number| self::fleet()[usize::from(number)].clone()));
            fleet.dedup_by(|a, b| a == b);
            let path = choose_read_path(&fleet, &fleet[0].domain, &format!("vm-{own}"));
            let ReadPath::Through(relays) = path else { return false };
            relays.iter().any(|relay| *relay.vm_name == *format!("vm-{other}"))
        };
        TestResult::from_bool(!(reads_from(&a, first, second) && reads_from(&b, second, first)))
    }
    QuickCheck::new().tests(2_000).quickcheck(property as fn(View, View, (u8, u8)) -> TestResult);
}

/// Guards against a malformed item that stops the daemons from reading.
#[test]
fn malformed_items_name_no_relay() {
    let relay = relay(1, 200);
    assert_eq!(Relay::decode("vm-1", relay.encode().as_bytes()), Some(relay));
    for item in [&b""[..], b"lothian", b"lothian 10.0.0.1:1", b"lothian 10.0.0.1 20", b"\xff 1 1"] {
        assert_eq!(Relay::decode("vm-1", item), None);
    }
}
