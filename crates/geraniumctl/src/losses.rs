//! Summary of the failed and late requests in the daemons' logs, by time and cause.

use crate::{
    explain::{LATE_FIRST_MS, LATE_PAUSE_MS},
    log_line::LogLine,
    loss_cause::LossCause,
    loss_group::LossGroup,
    statements::Statements,
};
use base::HashMap;
use std::{collections::BTreeMap, fmt::Write};

/// Length of the windows in milliseconds.
const WINDOW_MS: u64 = 2_000;

/// Number of identifiers that are listed for each window and cause.
const MAX_IDS: usize = 3;

/// Time in milliseconds around the loss of an engine in which losses in other failure domains suggest that the daemon's
/// own domain was cut off.
const CUT_RANGE_MS: u64 = 1_000;

/// Number of failure domains that are lost to a daemon at about the same time if its own domain is cut off.
const CUT_DOMAINS: usize = 2;

/// Failed or late request.
struct Loss {
    start_ms: u64,
    cause: LossCause,
    is_failed: bool,
    /// Failure domain of the lost engine, else the VM of the daemon.
    place: String,
}

/// Finds the requests that failed or were late, and groups them by the window in which they arrived and by cause.
///
/// Only requests that the logs mention are counted: a daemon logs a call only if it fails or is late, and a request that
/// no daemon accepted is in no log.
pub fn losses(logs: &str) -> Vec<LossGroup> {
    let lines: Vec<LogLine<'_>> = logs.lines().filter_map(LogLine::parse).collect();
    let Some(first_ms) = lines.iter().map(|line| line.time_ms).min() else { return Vec::new() };
    let mut requests: HashMap<&str, Vec<&LogLine<'_>>> = HashMap::default();
    for line in &lines {
        if let Some(id) = line.field("id") {
            requests.entry(id).or_default().push(line);
        }
    }
    let cuts = Cuts::new(&lines);
    let statements = Statements::new(&lines);
    let mut groups: BTreeMap<(u64, LossCause), (LossGroup, HashMap<String, usize>)> =
        BTreeMap::new();
    let mut ids: Vec<&str> = requests.keys().copied().collect();
    ids.sort_unstable();
    for id in ids {
        let Some(loss) = loss(&requests[id], &cuts, &statements) else { continue };
        let window_ms = loss.start_ms.saturating_sub(first_ms) / WINDOW_MS * WINDOW_MS;
        let (group, places) = groups.entry((window_ms, loss.cause)).or_insert_with(|| {
            let group = LossGroup {
                window_ms,
                cause: loss.cause.as_str(),
                failed: 0,
                late: 0,
                largest: (String::new(), 0),
                ids: Vec::new(),
            };
            (group, HashMap::default())
        });
        match loss.is_failed {
            true => group.failed += 1,
            false => group.late += 1,
        }
        if group.ids.len() < MAX_IDS {
            group.ids.push(id.to_owned());
        }
        let count = places.entry(loss.place.clone()).or_default();
        *count += 1;
        if *count > group.largest.1 {
            group.largest = (loss.place, *count);
        }
    }
    groups.into_values().map(|(group, _)| group).collect()
}

/// Table of the groups, followed by the sums of each cause.
pub fn losses_text(groups: &[LossGroup]) -> String {
    let mut text = String::from(
        "window s  failed  late  cause                               mostly at            requests\n",
    );
    let mut sums: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for group in groups {
        let (place, count) = &group.largest;
        let _ = writeln!(
            text,
            "{:>8}  {:>6}  {:>4}  {:<34}  {:<20} {}",
            group.window_ms / 1_000,
            group.failed,
            group.late,
            group.cause,
            format!("{place} ({count})"),
            group.ids.join(" ")
        );
        let sum = sums.entry(group.cause).or_default();
        *sum = (sum.0 + group.failed, sum.1 + group.late);
    }
    text.push_str("\nfailed  late  cause\n");
    for (cause, (failed, late)) in sums {
        let _ = writeln!(text, "{failed:>6}  {late:>4}  {cause}");
    }
    text
}

/// Times at which failure domains were lost to each daemon.
struct Cuts<'a>(HashMap<&'a str, Vec<(u64, &'a str)>>);

impl<'a> Cuts<'a> {
    fn new(lines: &[LogLine<'a>]) -> Self {
        let mut lost: HashMap<&str, Vec<(u64, &str)>> = HashMap::default();
        for line in lines {
            if line.component == "instances"
                && line.text.contains("seems to have failed")
                && let Some(domain) = line.field("domain")
            {
                lost.entry(line.vm).or_default().push((line.time_ms, domain));
            }
        }
        Self(lost)
    }

    /// Whether several failure domains were lost to the daemon around `at_ms`.
    fn includes(&self, vm: &str, at_ms: u64) -> bool {
        let Some(lost) = self.0.get(vm) else { return false };
        let near = lost.iter().filter(|(time_ms, _)| time_ms.abs_diff(at_ms) <= CUT_RANGE_MS);
        let mut domains: Vec<&str> = near.map(|(_, domain)| *domain).collect();
        domains.sort_unstable();
        domains.dedup();
        domains.len() >= CUT_DOMAINS
    }
}

/// Returns what was lost of a request; `None` if it was answered in time.
fn loss(lines: &[&LogLine<'_>], cuts: &Cuts<'_>, statements: &Statements<'_>) -> Option<Loss> {
    let end = lines.iter().rev().find(|line| {
        matches!(line.component, "call" | "request" | "stream") && line.field("outcome").is_some()
    });
    let is_stream = lines.iter().any(|line| line.number("attempt").is_some());
    let first = lines.first()?;
    let Some(end) = end else {
        // A daemon logs the end of each stream. The attempts of a call are logged without its end if it was in time.
        let place = first.vm.to_owned();
        let cause = LossCause::DaemonLost;
        return is_stream.then_some(Loss {
            start_ms: first.time_ms,
            cause,
            is_failed: true,
            place,
        });
    };
    // Of a refused stream, the line of the stream states the time, and the line of the refusal is the end.
    let took_ms = lines
        .iter()
        .filter_map(|line| line.number("total_ms").or(line.number("took_ms")))
        .max()
        .unwrap_or_default();
    let is_answered = match end.component {
        "stream" => end.field("outcome") == Some("whole"),
        "call" => end.field("status").is_some_and(|status| status.starts_with('2')),
        _ => false,
    };
    let is_late = match end.component {
        "stream" => {
            end.number("longest_pause_ms") > Some(LATE_PAUSE_MS)
                || end.number("first_ms") > Some(LATE_FIRST_MS)
        }
        // A daemon logs a call with an answer only if it was late.
        _ => true,
    };
    if is_answered && !is_late {
        return None;
    }
    let failure = lines.iter().rev().find(|line| is_failure(line));
    let place = failure.and_then(|line| line.field("domain")).unwrap_or(end.vm).to_owned();
    Some(Loss {
        start_ms: end.time_ms.saturating_sub(took_ms.max(0) as u64),
        cause: cause(lines, end, cuts, statements),
        is_failed: !is_answered,
        place,
    })
}

/// Whether the line says that an attempt was lost or suspected.
fn is_failure(line: &LogLine<'_>) -> bool {
    line.component == "attempt"
        && [" failed: ", " cancelled", " is silent", " answered ", " gave "]
            .iter()
            .any(|word| line.text.contains(word))
}

/// Finds the cause of a failed or late request whose end is the line `end`.
fn cause(
    lines: &[&LogLine<'_>],
    end: &LogLine<'_>,
    cuts: &Cuts<'_>,
    statements: &Statements<'_>,
) -> LossCause {
    let reason = |text: &str| lines.iter().any(|line| line.field("reason") == Some(text));
    match end.field("outcome") {
        _ if reason("shutdown") => return LossCause::Shutdown,
        Some("no_config") => return LossCause::NoConfiguration,
        Some("no_route" | "unknown_key") => return LossCause::NotAllowed,
        _ => {}
    }
    let failures: Vec<&&LogLine<'_>> = lines.iter().filter(|line| is_failure(line)).collect();
    if failures.iter().any(|line| cuts.includes(line.vm, line.time_ms)) {
        return LossCause::DomainCutOff;
    }
    let is_leaving = |line: &LogLine<'_>| {
        let instance = line.field("instance");
        instance.is_some_and(|id| statements.is_leaving(line.vm, id, line.time_ms))
    };
    if failures.last().is_some_and(|line| is_leaving(line)) {
        return LossCause::UpstreamLeft;
    }
    if reason("limit") {
        return match statements.pausing(end.vm, end.time_ms).is_empty() {
            true => LossCause::UpstreamLimits,
            false => LossCause::UpstreamsPausing,
        };
    }
    if reason("rolled_back") || reason("rollout") {
        return LossCause::Rollout;
    }
    if reason("budget") {
        return LossCause::RetryBudget;
    }
    if reason("busy") || reason("late") {
        return LossCause::EngineQueue;
    }
    if reason("no_engine") {
        return LossCause::NoEngine;
    }
    let Some(last) = failures.last() else {
        return match end.field("outcome") {
            Some("caller_gone") => LossCause::CallerLeft,
            _ if end.component == "request" && end.field("outcome") != Some("timed_out") => {
                LossCause::InvalidRequest
            }
            _ => LossCause::Slow,
        };
    };
    if last.number("attempt").is_none() {
        return match last.text.contains(" answered ") {
            true => LossCause::UpstreamError,
            false => LossCause::NoAnswer,
        };
    }
    if failures.iter().all(|line| line.number("events") == Some(0)) {
        return LossCause::LostBeforeFirstEvent;
    }
    // The first attempt has no copy to go on from.
    let mut sources = lines.iter().filter_map(|line| line.field("copy_from")).skip(1);
    if !sources.any(|source| source != "-") {
        return LossCause::LostWithoutCopy;
    }
    match failures.iter().any(|line| line.text.contains("refused with status")) {
        true => LossCause::UnusableCopy,
        false => LossCause::LostWithCopy,
    }
}
