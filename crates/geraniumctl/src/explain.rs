//! Explains the outcome of one request from the logs of the daemons.

use crate::{log_line::LogLine, statements::Statements};
use std::fmt::Write;

/// Maximum time in milliseconds between a failed attempt and a line on a failure domain, the platform or the daemon
/// that is shown as the attempt's context.
const CONTEXT_RANGE_MS: u64 = 1_500;

/// Pause between two events, in milliseconds, above which an answer counts as late. The log does not state the target
/// of the route.
pub(crate) const LATE_PAUSE_MS: i64 = 700;

/// Wait for the first event, in milliseconds, above which an answer counts as late. The log does not state the target
/// of the route.
pub(crate) const LATE_FIRST_MS: i64 = 4_500;

/// Explains what happened to the request `id`: its log lines in order, lines of the same daemon on failure domains and
/// the platform around its failures, and the cause of the outcome. Returns `None` if no line has the identifier in its
/// field `id`.
///
/// The logs may contain lines of daemons of older versions.
pub fn explain(id: &str, logs: &str) -> Option<String> {
    let lines: Vec<LogLine<'_>> = logs.lines().filter_map(LogLine::parse).collect();
    let mut request_lines: Vec<&LogLine<'_>> =
        lines.iter().filter(|line| line.field("id") == Some(id)).collect();
    // A stable sort keeps the order of lines of the same millisecond.
    request_lines.sort_by_key(|line| line.time_ms);
    let first_ms = request_lines.first()?.time_ms;
    let mut explanation = String::new();
    for line in &request_lines {
        let _ = writeln!(
            explanation,
            "{:>7} ms  {}  {}: {}",
            line.time_ms - first_ms,
            line.vm,
            line.component,
            line.text
        );
    }
    let context = context_lines(&request_lines, &lines);
    if !context.is_empty() {
        explanation.push_str("at that time, at the same daemon:\n");
        for line in context {
            let at_ms = line.time_ms as i64 - first_ms as i64;
            let _ = writeln!(explanation, "{at_ms:>7} ms  {}: {}", line.component, line.text);
        }
    }
    let statements = Statements::new(&lines);
    let _ = write!(explanation, "cause: {}", cause(&request_lines, &statements));
    if let Some(leaving) = leaving_instances(&request_lines, &statements) {
        let _ = write!(explanation, "; before that, {leaving} had stated that it leaves");
    }
    Some(explanation)
}

/// Says what the logs tell about a request that none of their lines names: which daemons started or stopped, so that
/// they may have lost the request without a line.
pub fn explain_missing(id: &str, logs: &str) -> String {
    let lines: Vec<LogLine<'_>> = logs.lines().filter_map(LogLine::parse).collect();
    let Some(first_ms) = lines.iter().map(|line| line.time_ms).min() else {
        return format!("no line names the request {id}: the logs hold no line of a daemon");
    };
    let mut text = format!(
        "no line names the request {id}\n\
         A daemon logs a call only if it failed or was late, and a stream when it is sent to an engine.\n"
    );
    let is_restart = |line: &&LogLine<'_>| {
        line.component == "daemon"
            && (line.text.starts_with("started") || line.text.starts_with("shut"))
    };
    let mut restarts: Vec<&LogLine<'_>> = lines.iter().filter(is_restart).collect();
    restarts.sort_by_key(|line| line.time_ms);
    text.push_str("daemons that started or stopped, and how long each had been silent before:\n");
    for line in restarts {
        let before = lines.iter().filter(|other| other.vm == line.vm);
        let last_ms = before.map(|other| other.time_ms).filter(|&ms| ms < line.time_ms).max();
        let silent = last_ms.map_or("no line before".to_owned(), |last_ms| {
            format!("{} ms of silence", line.time_ms - last_ms)
        });
        let (word, _) = line.text.split_once(" vm=").unwrap_or((line.text, ""));
        let at_ms = line.time_ms - first_ms;
        let _ = writeln!(text, "{at_ms:>7} ms  {}  {word}, {silent}", line.vm);
    }
    text.push_str(
        "cause: unknown; a request that was sent to one of these daemons while it was silent may have run",
    );
    text
}

/// Returns the lines on failure domains, the platform and the daemon that are close to a failure of the request at the
/// same daemon.
fn context_lines<'l, 'a>(
    request_lines: &[&LogLine<'a>],
    lines: &'l [LogLine<'a>],
) -> Vec<&'l LogLine<'a>> {
    let failures: Vec<&&LogLine<'_>> = request_lines
        .iter()
        .filter(|line| line.text.contains("failed") || line.text.contains("cancelled"))
        .collect();
    let is_near = |line: &LogLine<'_>| {
        failures.iter().any(|failure| {
            failure.vm == line.vm && failure.time_ms.abs_diff(line.time_ms) <= CONTEXT_RANGE_MS
        })
    };
    let is_context = |line: &LogLine<'_>| {
        matches!(line.component, "daemon" | "platform" | "web")
            || line.component == "instances" && line.text.contains("seems to have failed")
    };
    let mut context: Vec<&LogLine<'_>> =
        lines.iter().filter(|line| is_context(line) && is_near(line)).collect();
    context.sort_by_key(|line| line.time_ms);
    context.dedup();
    context
}

/// Lists the instances of failed attempts that had stated to the daemon that they leave; `None` if there is none.
fn leaving_instances(
    request_lines: &[&LogLine<'_>],
    statements: &Statements<'_>,
) -> Option<String> {
    let attempts = request_lines.iter().filter(|line| line.component == "attempt");
    let mut leaving: Vec<&str> = attempts
        .filter(|line| {
            ["failed", "cancelled", "answered", "gave"].iter().any(|word| line.text.contains(word))
        })
        .filter_map(|line| {
            let id = line.field("instance")?;
            statements.is_leaving(line.vm, id, line.time_ms).then_some(id)
        })
        .collect();
    leaving.dedup();
    (!leaving.is_empty()).then(|| leaving.join(", "))
}

/// Describes the cause of the request's outcome in one phrase.
fn cause(request_lines: &[&LogLine<'_>], statements: &Statements<'_>) -> String {
    if let Some(line) = request_lines.iter().find(|line| line.field("reason") == Some("shutdown")) {
        let field = |name| line.field(name).unwrap_or("?");
        return format!(
            "the daemon was shutting down: the request needed {} ms, and {} ms were left",
            field("needed_ms"),
            field("left_ms"),
        );
    }
    if let Some(line) = request_lines.iter().find(|line| line.field("reason") == Some("quarantine"))
    {
        let field = |name| line.field(name).unwrap_or("?");
        let blamed = match line.field("request") {
            Some(_) => "the request itself".to_owned(),
            None => format!("the part {} of its prompt", field("parts")),
        };
        return format!(
            "{blamed} crashed the engines {} ({})",
            field("engines"),
            failed_attempts(request_lines),
        );
    }
    if let Some(line) = request_lines.iter().find(|line| line.field("reason") == Some("rollout")) {
        let version = line.field("version").unwrap_or("?");
        return format!(
            "a rollout excluded the version {version}, and no other instance took the request ({})",
            failed_attempts(request_lines)
        );
    }
    if let Some(line) = request_lines
        .iter()
        .find(|line| line.field("reason") == Some("limit") && line.text.contains("refused"))
    {
        let retry_after_ms = line.field("retry_after_ms").unwrap_or("?");
        let failures = failed_attempts(request_lines);
        let pausing = statements.pausing(line.vm, line.time_ms);
        return match pausing.is_empty() {
            true => format!(
                "the upstreams' limits left no request for {retry_after_ms} ms ({failures})"
            ),
            false => format!(
                "{} wanted no requests, and no other upstream took one for {retry_after_ms} ms ({failures})",
                pausing.join(", ")
            ),
        };
    }
    if let Some(line) = request_lines.iter().find(|line| line.field("reason") == Some("late")) {
        let field = |name| line.field(name).unwrap_or("?");
        let (late_ms, waited_ms) = (field("late_ms"), field("waited_ms"));
        return format!(
            "its first event would have been {late_ms} ms late at any engine; it had waited {waited_ms} ms"
        );
    }
    if let Some(cause) = request_lines.iter().find_map(|line| version_cause(line)) {
        return format!("{cause} ({})", failed_attempts(request_lines));
    }
    if let Some(line) = request_lines.iter().find(|line| line.component == "request") {
        return refusal_cause(line, request_lines);
    }
    if let Some(line) =
        request_lines.iter().rev().find(|line| line.component == "stream" && has_outcome(line))
    {
        return stream_cause(line, request_lines);
    }
    if let Some(line) = request_lines.iter().rev().find(|line| line.component == "call") {
        return call_cause(line, request_lines);
    }
    "the log holds no end of the request: the daemon was stopped, or the lines are elsewhere".into()
}

/// Describes why no instance could send the next events of a stream, from the log line that says so; `None` for another
/// line.
fn version_cause(line: &LogLine<'_>) -> Option<String> {
    let field = |name| line.field(name).unwrap_or("?");
    match line.field("reason") {
        Some("version_gone") => {
            let version = field("version");
            Some(format!("no instance had the version {version}, at which the stream began"))
        }
        Some("rolled_back") => {
            let version = field("version");
            Some(format!("the version {version}, at which the stream began, was rolled back"))
        }
        Some("version_unknown") => {
            let first_id = field("resumes");
            Some(format!(
                "the version at which the stream of the attempt {first_id} began was not known"
            ))
        }
        _ => None,
    }
}

/// Returns whether the line reports the end of its stream.
fn has_outcome(line: &LogLine<'_>) -> bool {
    line.field("outcome").is_some()
}

/// Describes why the daemon answered a request with an error of its own, from the log line of the component `request`.
/// The log may also have a line for the stream, or for the call to a plain service; the `request` line is used first.
fn refusal_cause(line: &LogLine<'_>, request_lines: &[&LogLine<'_>]) -> String {
    let version = line.field("config").unwrap_or("?");
    let failures = failed_attempts(request_lines);
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

/// Describes the outcome of a streamed answer, and whether the answer was late.
fn stream_cause(line: &LogLine<'_>, request_lines: &[&LogLine<'_>]) -> String {
    let failures = failed_attempts(request_lines);
    let waited = request_lines.iter().filter_map(|line| line.field("reason")).next_back();
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

/// Describes the outcome of a call whose answer is not streamed.
fn call_cause(line: &LogLine<'_>, request_lines: &[&LogLine<'_>]) -> String {
    let status = line.field("status").unwrap_or("?");
    let took_ms = line.number("took_ms").unwrap_or_default();
    if line.field("outcome") == Some("caller_gone") {
        return format!("the caller left after {took_ms} ms ({})", failed_attempts(request_lines));
    }
    match status.starts_with('2') {
        true => format!("answered after {took_ms} ms ({})", failed_attempts(request_lines)),
        false => format!("status {status} after {took_ms} ms ({})", failed_attempts(request_lines)),
    }
}

/// Lists the attempts whose log line states a result (failed, cancelled, is silent, answered or gave), in order, each
/// with its instance and this result. Returns `no attempt failed` if there is none.
fn failed_attempts(request_lines: &[&LogLine<'_>]) -> String {
    let failures: Vec<String> = request_lines
        .iter()
        .filter(|line| line.component == "attempt")
        .filter_map(|line| {
            let instance = line.field("instance")?;
            let (_, rest) = line.text.split_once(instance)?;
            let result = rest.split(';').next().unwrap_or(rest).trim();
            let result = result
                .split_once(' ')
                .filter(|(word, _)| word.starts_with("domain="))
                .map_or(result, |(_, rest)| rest);
            let failure_words = ["failed", "cancelled", "is silent", "answered", "gave"];
            failure_words
                .iter()
                .any(|word| result.starts_with(word))
                .then(|| format!("{instance} {result}"))
        })
        .collect();
    match failures.is_empty() {
        true => "no attempt failed".into(),
        false => failures.join(", "),
    }
}
