//! Story of one request from the daemons' logs.

use crate::log_line::LogLine;
use std::fmt::Write;

/// Time around a failed attempt in which other lines on its failure domain belong to the story.
const AROUND_MS: u64 = 1_500;

/// Pause between two events above which an answer counts as late where the log does not state the route's target.
const LATE_PAUSE_MS: i64 = 700;

/// Wait for the first event above which the same holds.
const LATE_FIRST_MS: i64 = 4_500;

/// Tells what happened to the request `id`: its lines in order, what the same daemon saw of the failure domains at the
/// time, and the cause of the outcome. `None` if no line names the request.
pub fn explain(id: &str, logs: &str) -> Option<String> {
    let lines: Vec<LogLine<'_>> = logs.lines().filter_map(LogLine::parse).collect();
    let mut own: Vec<&LogLine<'_>> =
        lines.iter().filter(|line| line.field("id") == Some(id)).collect();
    // A stable sort keeps the order of lines of the same millisecond.
    own.sort_by_key(|line| line.time_ms);
    let first_ms = own.first()?.time_ms;
    let mut story = String::new();
    for line in &own {
        let _ = writeln!(
            story,
            "{:>7} ms  {}  {}: {}",
            line.time_ms - first_ms,
            line.vm,
            line.component,
            line.text
        );
    }
    let context = context(&own, &lines);
    if !context.is_empty() {
        story.push_str("at that time, at the same daemon:\n");
        for line in context {
            let at_ms = line.time_ms as i64 - first_ms as i64;
            let _ = writeln!(story, "{at_ms:>7} ms  {}: {}", line.component, line.text);
        }
    }
    let _ = write!(story, "cause: {}", cause(&own));
    Some(story)
}

/// Lines on failure domains and on the platform around the failures of the request's attempts.
fn context<'l, 'a>(own: &[&LogLine<'a>], lines: &'l [LogLine<'a>]) -> Vec<&'l LogLine<'a>> {
    let failures: Vec<&&LogLine<'_>> = own
        .iter()
        .filter(|line| line.text.contains("failed") || line.text.contains("cancelled"))
        .collect();
    let is_near = |line: &LogLine<'_>| {
        failures.iter().any(|failure| {
            failure.vm == line.vm && failure.time_ms.abs_diff(line.time_ms) <= AROUND_MS
        })
    };
    let is_wide = |line: &LogLine<'_>| {
        matches!(line.component, "daemon" | "platform" | "web")
            || line.component == "instances" && line.text.contains("seems to have failed")
    };
    let mut context: Vec<&LogLine<'_>> =
        lines.iter().filter(|line| is_wide(line) && is_near(line)).collect();
    context.sort_by_key(|line| line.time_ms);
    context.dedup();
    context
}

/// Cause of the outcome, in a sentence.
fn cause(own: &[&LogLine<'_>]) -> String {
    if let Some(line) = own.iter().find(|line| line.field("reason") == Some("shutdown")) {
        let field = |name| line.field(name).unwrap_or("?");
        return format!(
            "the daemon was shutting down: the request needed {} ms, and {} ms were left",
            field("needed_ms"),
            field("left_ms"),
        );
    }
    if let Some(line) = own.iter().find(|line| line.component == "request") {
        return refusal(line, own);
    }
    if let Some(line) =
        own.iter().rev().find(|line| line.component == "stream" && has_outcome(line))
    {
        return stream(line, own);
    }
    if let Some(line) = own.iter().rev().find(|line| line.component == "call") {
        return call(line, own);
    }
    "the log holds no end of the request: the daemon was stopped, or the lines are elsewhere".into()
}

fn has_outcome(line: &LogLine<'_>) -> bool {
    line.field("outcome").is_some()
}

fn refusal(line: &LogLine<'_>, own: &[&LogLine<'_>]) -> String {
    let version = line.field("config").unwrap_or("?");
    let failures = failures(own);
    match line.field("outcome") {
        Some("no_route") => format!("no route of configuration {version} matches"),
        Some("unknown_key") => format!("configuration {version} does not hold the key"),
        Some("no_config") => "the daemon had not seen a configuration".into(),
        Some("not_run") => format!("no upstream took the request ({failures})"),
        Some("timed_out") => format!("no answer came in time ({failures})"),
        Some("outcome_unknown") => format!("no upstream gave a valid answer ({failures})"),
        Some(outcome) => format!("the request itself: {outcome}"),
        None => "not stated".into(),
    }
}

fn stream(line: &LogLine<'_>, own: &[&LogLine<'_>]) -> String {
    let failures = failures(own);
    let waited = own.iter().filter_map(|line| line.field("reason")).next_back();
    let waited = waited.map(|reason| format!("; it waited: {reason}")).unwrap_or_default();
    match line.field("outcome") {
        Some("whole") if line.number("longest_pause_ms") > Some(LATE_PAUSE_MS) => {
            format!("whole, late by a pause between two events ({failures}{waited})")
        }
        Some("whole") if line.number("first_ms") > Some(LATE_FIRST_MS) => {
            format!("whole, late by its first event ({failures}{waited})")
        }
        Some("whole") => "whole and in time".into(),
        Some("caller_gone") => format!("the caller left first ({failures}{waited})"),
        Some("deadline") => {
            format!("the time of the caller or the route was over ({failures}{waited})")
        }
        _ => format!("no attempt was left ({failures}{waited})"),
    }
}

fn call(line: &LogLine<'_>, own: &[&LogLine<'_>]) -> String {
    let status = line.field("status").unwrap_or("?");
    let took_ms = line.number("took_ms").unwrap_or_default();
    if line.field("outcome") == Some("caller_gone") {
        return format!("the caller left after {took_ms} ms ({})", failures(own));
    }
    match status.starts_with('2') {
        true => format!("answered after {took_ms} ms ({})", failures(own)),
        false => format!("status {status} after {took_ms} ms ({})", failures(own)),
    }
}

/// Failed attempts, in order.
fn failures(own: &[&LogLine<'_>]) -> String {
    let failures: Vec<String> = own
        .iter()
        .filter(|line| line.component == "attempt")
        .filter_map(|line| {
            let instance = line.field("instance")?;
            let (_, rest) = line.text.split_once(instance)?;
            let what = rest.split(';').next().unwrap_or(rest).trim();
            let what = what
                .split_once(' ')
                .filter(|(word, _)| word.starts_with("domain="))
                .map_or(what, |(_, rest)| rest);
            let is_failure = ["failed", "cancelled", "answered", "gave"];
            is_failure
                .iter()
                .any(|word| what.starts_with(word))
                .then(|| format!("{instance} {what}"))
        })
        .collect();
    match failures.is_empty() {
        true => "no attempt failed".into(),
        false => failures.join(", "),
    }
}
