//! Guards against wrong explanations of requests. The log lines are from daemons in a simulation of a whole day.

use geraniumctl::{LogLine, explain, explain_missing};

const LOGS: &str = "\
  0.0000 front-a-1 1785784684998 INFO vm=front-a-1 attempt: id=e9a9b4d8 attempt=1 instance=i-04a6 domain=lothian after=None copy_from=- copy_to=i-2178
  1.9852 front-a-1 1785784686983 INFO vm=front-a-1 attempt: id=e9a9b4d8 attempt=1 instance=i-04a6 domain=lothian failed: lost: closed; events=3 silent_ms=26
  1.9852 front-a-1 1785784686983 INFO vm=front-a-1 instances: domain=lothian seems to have failed
  1.9860 front-b-1 1785784686984 INFO vm=front-b-1 instances: domain=clyde seems to have failed
  1.9900 front-a-1 1785784686988 INFO vm=front-a-1 stream: id=e9a9b4d8 waits, reason=budget
  3.6000 front-a-1 1785784688598 INFO vm=front-a-1 attempt: id=e9a9b4d8 attempt=9 instance=i-2178 domain=tayside after=Some(3) copy_from=10.3.64.17:8787/e9a9b4d8 copy_to=-
  7.5860 front-a-1 1785784692584 INFO vm=front-a-1 stream: id=e9a9b4d8 route=r-vbg outcome=whole events=121 sends=2 losses=1 first_ms=1905 longest_pause_ms=1638 total_ms=7597
  0.0617 front-b-1 1785784685061 INFO vm=front-b-1 request: id=1334de0c status=404 outcome=no_route config=3
  0.1000 front-b-1 1785784685100 INFO vm=front-b-1 attempt: id=cf6aa8e6 instance=i-ac0e answered status=500
  0.1190 front-b-1 1785784685119 INFO vm=front-b-1 call: id=cf6aa8e6 route=r-6giy status=500 outcome=answered took_ms=36
  8.7860 front-b-1 1785784685200 INFO vm=front-b-1 request: id=7ddf272b refused, reason=shutdown left_ms=6618 needed_ms=23338
  8.7860 front-b-1 1785784685200 INFO vm=front-b-1 request: id=7ddf272b status=503 outcome=not_run config=2
  9.7860 front-b-1 1785784686200 INFO vm=front-b-1 call: id=b9e4ddd2 route=r-6giy outcome=caller_gone took_ms=1004
  9.8000 front-b-1 1785784685300 INFO vm=front-b-1 stream: id=5eb1a7d0 refused, reason=quarantine parts=91bd engines=i-1,i-2 last_age_ms=900 sends=0
  9.8000 front-b-1 1785784685300 INFO vm=front-b-1 request: id=5eb1a7d0 status=503 outcome=prompt_quarantined config=2
  9.8500 front-b-1 1785784685350 INFO vm=front-b-1 call: id=c0ffee11 refused, reason=quarantine request=4f0e engines=i-1,i-2,i-3 last_age_ms=900 sends=0
  9.9000 front-b-1 1785784685400 INFO vm=front-b-1 call: id=11a17ed0 refused, reason=limit retry_after_ms=740
  9.9000 front-b-1 1785784685400 INFO vm=front-b-1 request: id=11a17ed0 status=503 outcome=not_run config=2
  9.9100 front-b-1 1785784685410 INFO vm=front-b-1 stream: id=7a4e0001 refused, reason=version_unknown resumes=7a4e0000 after=Some(12) version=-
  9.9100 front-b-1 1785784685410 INFO vm=front-b-1 request: id=7a4e0001 status=503 outcome=stream_version_unknown config=2
  9.9200 front-b-1 1785784685420 INFO vm=front-b-1 stream: id=7a4e0002 refused, reason=version_gone resumes=7a4e0000 after=Some(12) version=v7
  9.9200 front-b-1 1785784685420 INFO vm=front-b-1 request: id=7a4e0002 status=503 outcome=stream_version_gone config=2
  9.9300 front-b-1 1785784685430 INFO vm=front-b-1 attempt: id=7a4e0003 attempt=1 instance=i-04a6 domain=lothian version=v7 after=None copy_from=- copy_to=-
  9.9400 front-b-1 1785784685440 INFO vm=front-b-1 attempt: id=7a4e0003 attempt=1 instance=i-04a6 domain=lothian failed: lost: closed; version=v7 events=3 silent_ms=26
  9.9400 front-b-1 1785784685440 INFO vm=front-b-1 stream: id=7a4e0003 ends, reason=version_gone resumes=- after=Some(3) version=v7
  9.9400 front-b-1 1785784685440 INFO vm=front-b-1 stream: id=7a4e0003 route=r-vbg outcome=version_gone version=v7 events=3 sends=1 losses=1 first_ms=5 longest_pause_ms=6 total_ms=10
  9.9500 front-b-1 1785784685450 INFO vm=front-b-1 stream: id=7a4e0004 refused, reason=rolled_back resumes=7a4e0000 after=Some(12) version=v8
  9.9500 front-b-1 1785784685450 INFO vm=front-b-1 request: id=7a4e0004 status=503 outcome=stream_version_gone config=2
  9.9600 front-b-1 1785784685460 INFO vm=front-b-1 call: id=7a4e0005 refused, reason=rollout version=v8
  9.9600 front-b-1 1785784685460 INFO vm=front-b-1 request: id=7a4e0005 status=503 outcome=not_run config=2
a line of something else id=e9a9b4d8
";

/// Guards against an explanation that omits why a stream was late, or that shows the context of another daemon.
#[test]
fn a_late_stream_is_explained_by_its_failed_attempts_and_waits() {
    let explanation = explain("e9a9b4d8", LOGS).unwrap();
    assert!(explanation.contains("domain=lothian seems to have failed"), "{explanation}");
    assert!(!explanation.contains("clyde"), "{explanation}");
    assert!(explanation.contains("   7586 ms  front-a-1  stream: "), "{explanation}");
    let cause = explanation.lines().last().unwrap();
    assert_eq!(
        cause,
        "cause: whole, late by a pause between two events (i-04a6 failed: lost: closed; it waited: budget)"
    );
}

/// Guards against explanations that do not name the software version which a stream needed.
#[test]
fn streams_without_an_instance_of_their_version_are_explained() {
    let cause = |id| explain(id, LOGS).unwrap().lines().last().unwrap().to_owned();
    assert_eq!(
        cause("7a4e0001"),
        "cause: the version at which the stream of the attempt 7a4e0000 began was not known (no attempt failed)"
    );
    assert_eq!(
        cause("7a4e0002"),
        "cause: no instance had the version v7, at which the stream began (no attempt failed)"
    );
    assert_eq!(
        cause("7a4e0003"),
        "cause: no instance had the version v7, at which the stream began (i-04a6 failed: lost: closed)"
    );
}

/// Guards against explanations that omit or misstate why a request was refused or failed.
#[test]
fn refused_and_failed_requests_are_explained() {
    let cause = |id| explain(id, LOGS).unwrap().lines().last().unwrap().to_owned();
    assert_eq!(cause("1334de0c"), "cause: no route of configuration 3 matches");
    assert_eq!(cause("cf6aa8e6"), "cause: status 500 after 36 ms (i-ac0e answered status=500)");
    assert_eq!(
        cause("7ddf272b"),
        "cause: the daemon was shutting down: the request needed 23338 ms, and 6618 ms were left"
    );
    assert_eq!(
        cause("5eb1a7d0"),
        "cause: the part 91bd of its prompt crashed the engines i-1,i-2 (no attempt failed)"
    );
    assert_eq!(
        cause("c0ffee11"),
        "cause: the request itself crashed the engines i-1,i-2,i-3 (no attempt failed)"
    );
    assert_eq!(
        cause("11a17ed0"),
        "cause: the upstreams' limits left no request for 740 ms (no attempt failed)"
    );
    assert_eq!(cause("b9e4ddd2"), "cause: the caller left after 1004 ms (no attempt failed)");
    assert_eq!(explain("cf6aa8", LOGS), None);
}

/// Guards against an answer that leaves the operator without a hint when a daemon was lost with the request.
#[test]
fn a_request_in_no_log_is_explained_by_the_daemons_that_were_lost() {
    let logs = "\
1785784684000 INFO vm=a-1 daemon: started vm=a-1 domain=lothian entry=10.0.0.1:1 store=10.0.0.2:1
1785784690000 INFO vm=a-1 stream: id=x waits, reason=budget
1785784691500 INFO vm=a-1 daemon: started vm=a-1 domain=lothian entry=10.0.0.1:1 store=10.0.0.2:1
1785784691600 INFO vm=b-1 daemon: shutting down
";
    let text = explain_missing("gone", logs);
    assert!(text.starts_with("no line names the request gone\n"), "{text}");
    assert!(text.contains("      0 ms  a-1  started, no line before"), "{text}");
    assert!(text.contains("   7500 ms  a-1  started, 1500 ms of silence"), "{text}");
    assert!(text.contains("   7600 ms  b-1  shutting down, no line before"), "{text}");
    assert!(explain_missing("gone", "").contains("no line of a daemon"));
}

/// Guards against parsing lines of other programs as log lines of a daemon.
#[test]
fn only_log_lines_of_daemons_are_parsed() {
    let line = LogLine::parse("1785784685061 WARN vm=a web: cut off; after_ms=3 x").unwrap();
    assert_eq!((line.time_ms, line.vm, line.component), (1_785_784_685_061, "a", "web"));
    assert_eq!(line.number("after_ms"), Some(3));
    for other in ["", "x vm=a web: y", "17 NOTE vm=a web: y", "17 INFO web: y", "17 INFO vm=a y"] {
        assert_eq!(LogLine::parse(other), None, "{other}");
    }
}

/// Guards against explanations that leave out what instances had stated of themselves: that they leave, or that they
/// want no requests for some time.
#[test]
fn statements_of_instances_are_named() {
    let logs = "\
1785784684000 INFO vm=a-1 limit: instance=i-1 wants no requests for 2000 ms
1785784684000 INFO vm=b-1 limit: instance=i-2 wants no requests for 2000 ms
1785784684500 INFO vm=a-1 call: id=early refused, reason=limit retry_after_ms=1500
1785784684500 INFO vm=a-1 request: id=early status=503 outcome=not_run config=2
1785784686500 INFO vm=a-1 call: id=later refused, reason=limit retry_after_ms=700
1785784686500 INFO vm=a-1 request: id=later status=503 outcome=not_run config=2
1785784687000 INFO vm=a-1 instances: i-3 states that it leaves, service=desk
1785784687100 INFO vm=a-1 attempt: id=left instance=i-3 failed: lost: closed; request=1
1785784687100 INFO vm=a-1 request: id=left status=502 outcome=outcome_unknown config=2
";
    let cause = |id| explain(id, logs).unwrap().lines().last().unwrap().to_owned();
    assert_eq!(
        cause("early"),
        "cause: i-1 wanted no requests, and no other upstream took one for 1500 ms (no attempt failed)"
    );
    assert_eq!(
        cause("later"),
        "cause: the upstreams' limits left no request for 700 ms (no attempt failed)"
    );
    assert_eq!(
        cause("left"),
        "cause: no upstream gave a valid answer (i-3 failed: lost: closed); before that, i-3 had stated that it leaves"
    );
}

/// Guards against a refusal under load whose explanation does not tell how late the stream would have been.
#[test]
fn a_stream_that_was_refused_under_load_is_explained() {
    let logs = "\
1785784684000 INFO vm=a-1 stream: id=shed waits, reason=busy
1785784685260 INFO vm=a-1 stream: id=shed refused, reason=late priority=5 late_ms=2900 waited_ms=1260 retry_after_ms=3350
1785784685260 INFO vm=a-1 request: id=shed status=503 outcome=not_run config=2
";
    let explanation = explain("shed", logs).unwrap();
    assert!(
        explanation.ends_with("would have been 2900 ms late at any engine; it had waited 1260 ms")
    );
}

/// Guards against explanations that do not name the rollout which left a request without an instance.
#[test]
fn refusals_by_a_rollout_are_explained() {
    let cause = |id| explain(id, LOGS).unwrap().lines().last().unwrap().to_owned();
    assert_eq!(
        cause("7a4e0004"),
        "cause: the version v8, at which the stream began, was rolled back (no attempt failed)"
    );
    assert_eq!(
        cause("7a4e0005"),
        "cause: a rollout excluded the version v8, and no other instance took the request (no attempt failed)"
    );
}
