//! Guards against requests that windows and merges drop or count twice, wrong burn rates, and alerts that are raised at
//! the wrong time.

use base::{ServiceName, VmId};
use burn::{
    AlertLevel, BurnDigest, BurnReport, Distribution, DurationKind, FleetDigest, RequestCounts,
    ServiceMeter, WINDOWS, WindowCounts,
};
use fleet::{Document, Service, ServiceKind};
use quickcheck::{Gen, QuickCheck};

/// Seed of the random requests.
const SEED: u64 = 20_261_204;

/// Time of the first measurement in seconds since the Unix epoch.
const START_S: u64 = 1_796_360_400;

fn service() -> ServiceName {
    ServiceName::try_from("composer").unwrap()
}

/// Returns the report on the service `composer` with objectives of 99% availability and 1,700 ms latency.
fn report(meter: &mut ServiceMeter, unix_s: u64) -> BurnReport {
    let mut composer = Service::new(&service(), ServiceKind::Generation);
    composer.objectives.availability_millipct = Some(99_000);
    composer.objectives.latency_p95_ms = Some(1_700);
    let document = Document { services: vec![composer], ..Document::default() };
    let digest = BurnDigest { services: vec![meter.digest(&service(), unix_s)] };
    let entry = VmId::try_from("entry-1").unwrap();
    let fleet = FleetDigest {
        unix_s,
        entries: vec![entry],
        missing: Vec::new(),
        is_list_known: true,
        digest,
    };
    BurnReport::new(&document, fleet)
}

/// Compares windows that are merged from two daemons with an oracle that counts each request separately. `offsets` are
/// the times of the requests in units of 9 s.
fn merged_windows_match_oracle(mut offsets: Vec<u16>, failed: Vec<bool>) -> bool {
    offsets.sort_unstable();
    let requests: Vec<(u64, bool)> = offsets
        .iter()
        .enumerate()
        .map(|(number, &offset)| {
            let is_failed = failed.get(number).copied().unwrap_or(false);
            (START_S + u64::from(offset) * 9, is_failed)
        })
        .collect();
    let now_s = requests.last().map_or(START_S, |request| request.0);
    WINDOWS.iter().all(|window| {
        // Each of the two daemons receives every second request.
        let mut daemons = [WindowCounts::new(*window), WindowCounts::new(*window)];
        let mut oracle = RequestCounts::default();
        for (number, (unix_s, is_failed)) in requests.iter().enumerate() {
            let counts = RequestCounts { total: 1, failed: (*is_failed).into(), slow: 0 };
            daemons[number % 2].add(*unix_s, &counts);
            if window.slot_number(*unix_s) + window.slots > window.slot_number(now_s) {
                oracle.add(&counts);
            }
        }
        let [mut merged, other] = daemons;
        merged.merge(&other);
        merged.sum(now_s) == oracle && merged.slots.len() as u64 <= window.slots
    })
}

#[test]
fn merged_windows_count_each_request_once_in_bounded_memory() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, SEED))
        .tests(500)
        .max_tests(500)
        .quickcheck(merged_windows_match_oracle as fn(Vec<u16>, Vec<bool>) -> bool);
}

#[test]
fn the_burn_rate_is_the_ratio_of_bad_requests_to_the_budget() {
    let mut meter = ServiceMeter::default();
    for number in 0..100 {
        meter.record_request(START_S, Some(100), number < 4, Some(1_700));
    }
    let report = report(&mut meter, START_S);
    let availability = &report.services[0].objectives[0];
    assert!((availability.windows[0].burn - 4.0).abs() < 1e-9);
    assert_eq!(availability.windows[3].bad, 4);
    assert!(report.services[0].objectives[1].windows[0].burn.abs() < 1e-9);
}

#[test]
fn a_fast_burn_raises_a_page_that_becomes_a_ticket_after_the_burn() {
    let mut meter = ServiceMeter::default();
    for second in 0..3_600 {
        meter.record_request(START_S + second, Some(100), second % 5 == 0, Some(1_700));
    }
    assert_eq!(report(&mut meter, START_S + 3_600).level, AlertLevel::Page);
    for second in 3_600..7_200 {
        meter.record_request(START_S + second, Some(100), false, Some(1_700));
    }
    let later = report(&mut meter, START_S + 7_200);
    assert_eq!(later.level, AlertLevel::Ticket);
}

#[test]
fn failures_of_few_requests_raise_no_alert() {
    let mut meter = ServiceMeter::default();
    for _ in 0..5 {
        meter.record_request(START_S, None, true, Some(1_700));
    }
    assert_eq!(report(&mut meter, START_S).level, AlertLevel::Ok);
}

#[test]
fn a_request_without_a_first_token_counts_as_slow() {
    let mut meter = ServiceMeter::default();
    meter.record_request(START_S, None, true, Some(1_700));
    meter.record_request(START_S, Some(1_701), false, Some(1_700));
    meter.record_request(START_S, Some(1_700), false, Some(1_700));
    assert_eq!(report(&mut meter, START_S).services[0].objectives[1].windows[0].bad, 2);
}

#[test]
fn a_serialized_distribution_can_be_merged() {
    let mut first = Distribution::new();
    let mut second = Distribution::new();
    for value in 1..=1_000 {
        first.record(value);
        second.record(value + 1_000);
    }
    let text = serde_json::to_string(&second).unwrap();
    first.merge(&serde_json::from_str(&text).unwrap());
    assert_eq!(first.len(), 2_000);
    let median = first.quantile_ms(0.5).unwrap();
    assert!((990..=1_015).contains(&median), "{median}");
}

#[test]
fn old_durations_are_dropped_from_the_digest() {
    let mut meter = ServiceMeter::default();
    meter.record_durations(START_S, DurationKind::Gap, &[41]);
    let gap_count =
        |meter: &mut ServiceMeter, unix_s| meter.digest(&service(), unix_s).durations[1].1.len();
    assert_eq!(gap_count(&mut meter, START_S + 1_799), 1);
    assert_eq!(gap_count(&mut meter, START_S + 3_600), 0);
}
