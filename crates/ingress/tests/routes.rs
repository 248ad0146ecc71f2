//! Tests of the choice of the route and the service of a request.

use ingress::{Route, RouteKind, RouteTable};
use rand::{SeedableRng, rngs::SmallRng};

fn route(name: &str, host: &str, path_prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: path_prefix.into(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        max_attempts: 2,
        services: vec![("one".try_into().unwrap(), 90), ("two".try_into().unwrap(), 10)],
        allows_anonymous: false,
        priority: None,
    }
}

/// Guards against a route with a shorter prefix or another host, and against a prefix that matches only part of a path
/// segment.
#[test]
fn longest_prefix_of_the_host_matches() {
    let table = RouteTable::new(vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/z/"),
    ]);
    let find = |host, path| table.find(host, path).map(|route| &*route.name);
    assert_eq!(find("a.example", "/x/y/z/1"), Some("long"));
    assert_eq!(find("A.Example:80", "/x/yy"), Some("short"));
    assert_eq!(find("a.example", "/x"), None);
    assert_eq!(find("c.example", "/x/y/"), None);
}

/// Guards against a distribution of requests that ignores the weights.
#[test]
fn services_are_picked_by_weight() {
    let route = route("split", "a.example", "/");
    let mut rng = SmallRng::seed_from_u64(1);
    let is_two = |rng: &mut SmallRng| route.pick_service(rng).unwrap().as_str() == "two";
    let two = (0..10_000).filter(|_| is_two(&mut rng)).count();
    assert!((900..1_100).contains(&two), "{two} of 10,000");
}

/// Guards against a sum of weights that overflows.
#[test]
fn large_weights_are_added_without_overflow() {
    let services =
        vec![("one".try_into().unwrap(), u32::MAX), ("two".try_into().unwrap(), u32::MAX)];
    let route = Route { services, ..route("split", "a.example", "/") };
    let mut rng = SmallRng::seed_from_u64(1);
    let is_two = |rng: &mut SmallRng| route.pick_service(rng).unwrap().as_str() == "two";
    let two = (0..10_000).filter(|_| is_two(&mut rng)).count();
    assert!((4_700..5_300).contains(&two), "{two} of 10,000");
}
