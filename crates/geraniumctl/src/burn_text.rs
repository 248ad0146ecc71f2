//! Renders a burn report as plain text.

use burn::{BurnReport, ObjectiveReport, WINDOWS};

/// Renders a burn report as text: the most urgent level, the warnings, then each service.
pub(crate) fn text(report: &BurnReport) -> String {
    let mut lines = vec![format!(
        "{} burn, {} entries answered",
        report.level.name(),
        report.fleet.entries.len()
    )];
    lines.extend(warnings(report).into_iter().map(|warning| format!("warning: {warning}")));
    for service in &report.services {
        lines.push(format!("service {}", service.service));
        if service.objectives.is_empty() {
            lines.push("  no objectives".to_owned());
        }
        lines.extend(service.objectives.iter().map(objective_line));
        for (kind, count, [p50, p95, p99]) in &service.durations {
            if *count > 0 {
                let name = kind.name();
                lines.push(format!(
                    "  {name}: p50 {p50} ms, p95 {p95} ms, p99 {p99} ms ({count} values)"
                ));
            }
        }
    }
    if report.services.is_empty() {
        lines.push("no requests were measured".to_owned());
    }
    lines.join("\n")
}

/// Returns the reasons why the report may be incomplete.
pub(crate) fn warnings(report: &BurnReport) -> Vec<String> {
    let mut warnings = Vec::new();
    if !report.missing.is_empty() {
        let missing: Vec<&str> = report.missing.iter().map(|id| id.as_str()).collect();
        warnings.push(format!("not included, no answer: {}", missing.join(", ")));
    }
    if !report.fleet.is_list_known {
        warnings.push("the list of entries could not be read; more may be missing".to_owned());
    }
    warnings
}

/// Describes the target of an objective, for example `latency 1700 ms for 95%`.
pub(crate) fn target(objective: &ObjectiveReport) -> String {
    let name = objective.kind.name();
    let pct = 100.0 * (1.0 - objective.budget);
    match objective.target_ms {
        Some(target_ms) => format!("{name} {target_ms} ms for {pct}%"),
        None => format!("{name} {}%", (pct * 1_000.0).round() / 1_000.0),
    }
}

/// Renders the level of an objective and its burn rate in each window.
fn objective_line(objective: &ObjectiveReport) -> String {
    let windows = objective.windows.iter().zip(WINDOWS).map(|(burn, window)| {
        format!("{} {:.1} ({}/{})", window.name(), burn.burn, burn.bad, burn.requests)
    });
    let windows: Vec<String> = windows.collect();
    format!("  {} {}: burn {}", objective.level.name(), target(objective), windows.join(", "))
}
