//! Guards against wrong counts or causes of lost requests. The log lines are from daemons in a simulation of a whole
//! day, shortened.

use geraniumctl::{losses, losses_text};

const LOGS: &str = "\
1785784684000 INFO vm=a-1 attempt: id=copied attempt=1 instance=i-1 domain=lothian after=None copy_from=- copy_to=i-2
1785784685000 INFO vm=a-1 attempt: id=copied attempt=1 instance=i-1 domain=lothian failed: lost: closed; events=3 silent_ms=26
1785784685010 INFO vm=a-1 attempt: id=copied attempt=2 instance=i-2 domain=clyde after=Some(3) copy_from=10.0.0.1:1/copied copy_to=-
1785784688000 INFO vm=a-1 stream: id=copied route=r outcome=whole events=121 sends=2 losses=1 first_ms=905 longest_pause_ms=938 total_ms=4000
1785784684100 INFO vm=a-1 attempt: id=intime attempt=1 instance=i-1 domain=lothian after=None copy_from=- copy_to=i-2
1785784687000 INFO vm=a-1 stream: id=intime route=r outcome=whole events=121 sends=1 losses=0 first_ms=905 longest_pause_ms=100 total_ms=2900
1785784684200 INFO vm=b-1 attempt: id=lostdaemon attempt=1 instance=i-1 domain=lothian after=None copy_from=- copy_to=i-2
1785784686000 INFO vm=c-1 attempt: id=cut attempt=1 instance=i-3 domain=lothian after=None copy_from=- copy_to=i-2
1785784686900 INFO vm=c-1 instances: domain=lothian seems to have failed
1785784687000 INFO vm=c-1 instances: domain=clyde seems to have failed
1785784687000 INFO vm=c-1 attempt: id=cut attempt=1 instance=i-3 domain=lothian failed: lost: silent; events=9 silent_ms=362
1785784689000 INFO vm=c-1 stream: id=cut route=r outcome=whole events=121 sends=2 losses=1 first_ms=905 longest_pause_ms=1500 total_ms=3000
1785784686100 INFO vm=a-1 attempt: id=first attempt=1 instance=i-3 domain=tayside failed: lost: reset; events=0 silent_ms=900
1785784690000 INFO vm=a-1 stream: id=first route=r outcome=deadline events=0 sends=2 losses=1 first_ms=-1 longest_pause_ms=0 total_ms=4900
1785784690000 INFO vm=a-1 request: id=first status=504 outcome=timed_out config=3
1785784684300 INFO vm=a-1 attempt: id=wrong instance=i-9 answered status=500
1785784684310 INFO vm=a-1 call: id=wrong route=r status=500 outcome=answered took_ms=40
1785784684400 INFO vm=a-1 request: id=route status=404 outcome=no_route config=3
1785784684500 INFO vm=a-1 attempt: id=fine instance=i-9 answered status=500
";

/// Guards against losses that are missing, counted twice, or attributed to another window or cause.
#[test]
fn requests_are_counted_once_by_window_and_cause() {
    let found: Vec<_> = losses(LOGS)
        .into_iter()
        .map(|group| (group.window_ms, group.cause, group.failed, group.late, group.ids.join(" ")))
        .collect();
    let expected = [
        (0, "daemon lost", 1, 0, "lostdaemon"),
        (0, "no such route or key", 1, 0, "route"),
        (0, "engine lost before the first event", 1, 0, "first"),
        (0, "engine lost, with a copy", 0, 1, "copied"),
        (0, "error of the upstream", 1, 0, "wrong"),
        (2_000, "failure domain cut off", 0, 1, "cut"),
    ];
    let expected: Vec<_> =
        expected.map(|(at, cause, failed, late, ids)| (at, cause, failed, late, ids.into())).into();
    assert_eq!(found, expected);
}

/// Guards against a summary that leaves out a cause, and against logs without a line of a daemon.
#[test]
fn the_text_sums_each_cause() {
    let text = losses_text(&losses(LOGS));
    assert!(text.contains("     1     0  daemon lost\n"), "{text}");
    assert!(text.contains("clyde") || text.contains("lothian (1)"), "{text}");
    assert_eq!(losses("no log line\n"), []);
}

/// Guards against a refusal for a limit or a pause that counts as one for its form, and against an upstream that had
/// stated that it leaves and counts as failed without notice.
#[test]
fn statements_of_instances_are_causes() {
    let logs = "\
1785784684000 INFO vm=a-1 limit: instance=i-1 wants no requests for 1000 ms
1785784684500 INFO vm=a-1 call: id=paused refused, reason=limit retry_after_ms=500
1785784684500 INFO vm=a-1 request: id=paused status=503 outcome=not_run config=2
1785784685500 INFO vm=a-1 call: id=limited refused, reason=limit retry_after_ms=700
1785784685500 INFO vm=a-1 request: id=limited status=503 outcome=not_run config=2
1785784685700 INFO vm=a-1 instances: i-3 states that it leaves, service=desk
1785784685800 INFO vm=a-1 attempt: id=left instance=i-3 failed: lost: closed; request=1
1785784685800 INFO vm=a-1 request: id=left status=502 outcome=outcome_unknown config=2
";
    let found: Vec<_> =
        losses(logs).into_iter().map(|group| (group.cause, group.ids.join(" "))).collect();
    let expected = [
        ("upstreams wanted no requests", "paused".to_owned()),
        ("limits of the upstreams", "limited".to_owned()),
        ("upstream had stated that it leaves", "left".to_owned()),
    ];
    assert_eq!(found, expected);
}
