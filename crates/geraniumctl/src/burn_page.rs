//! Renders a burn report as an HTML page that needs no other file.

use crate::{
    burn_plot::plot,
    burn_text::{target, warnings},
    ctl_error::CtlError,
};
use burn::{BurnReport, ObjectiveReport, ServiceReport, WINDOWS, WindowCounts};

/// Positions in `WINDOWS` of the windows that are plotted: 1 hour and 3 days.
const PLOTTED_WINDOWS: [usize; 2] = [1, 3];

/// Style sheet of the page.
const STYLE: &str = "body{font:15px sans-serif;margin:2em;max-width:75em}table{border-collapse:collapse}\
    td,th{border:1px solid #bbb;padding:.3em .7em;text-align:right}td:first-child,th:first-child{text-align:left}\
    .page{background:#c62828;color:#fff}.ticket{background:#f9a825}.ok{background:#2e7d32;color:#fff}\
    .level{padding:.1em .6em}.warning{color:#c62828;font-weight:bold}svg{max-width:100%}figure{margin:.5em 0}figcaption{font-weight:bold}";

/// Renders a burn report as an HTML page: warnings, a table of all objectives, and the durations and plots of each
/// service.
///
/// # Errors
///
/// `Plot` if a plot cannot be drawn.
pub(crate) fn page(report: &BurnReport) -> Result<String, CtlError> {
    let mut body = format!(
        "<h1>Service-level burn {}</h1>\n<p>{} entries answered; {} s since 1970-01-01 UTC.</p>\n",
        level_badge(report.level.name()),
        report.fleet.entries.len(),
        report.fleet.unix_s
    );
    for warning in warnings(report) {
        body.push_str(&format!("<p class=\"warning\">{}</p>\n", escape_html(&warning)));
    }
    body.push_str(
        "<p>A burn rate of 1 spends the budget of an objective exactly by the end of its window. <b>page</b>: act now; \
         <b>ticket</b>: work on it in the next days. In the plots a \
         red bar is a slot that burned faster than 1, and the red line is 1.</p>\n",
    );
    body.push_str(&overview(report));
    for service in &report.services {
        body.push_str(&service_section(report, service)?);
    }
    Ok(format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title>\
         <style>{STYLE}</style></head>\n<body>\n{body}</body></html>\n"
    ))
}

/// Renders the table of all objectives.
fn overview(report: &BurnReport) -> String {
    let names: Vec<String> =
        WINDOWS.iter().map(|window| format!("<th>{}</th>", window.name())).collect();
    let mut table = format!(
        "<table><tr><th>service</th><th>objective</th><th>level</th>{}</tr>\n",
        names.concat()
    );
    for service in &report.services {
        for objective in &service.objectives {
            let name = escape_html(service.service.as_str());
            let level = level_badge(objective.level.name());
            let cells = burn_rate_cells(objective);
            let target = escape_html(&target(objective));
            table.push_str(&format!(
                "<tr><td>{name}</td><td>{target}</td><td>{level}</td>{cells}</tr>\n"
            ));
        }
    }
    table + "</table>\n"
}

/// Renders the table cells with the burn rate in each window.
fn burn_rate_cells(objective: &ObjectiveReport) -> String {
    let cell = |window: &burn::WindowBurn| {
        format!(
            "<td>{:.1}<br><small>{} of {}</small></td>",
            window.burn, window.bad, window.requests
        )
    };
    objective.windows.iter().map(cell).collect()
}

/// Renders the durations of a service and the plots of its objectives.
fn service_section(report: &BurnReport, service: &ServiceReport) -> Result<String, CtlError> {
    let mut text = format!("<h2>{}</h2>\n", escape_html(service.service.as_str()));
    text.push_str(
        "<table><tr><th>last hour</th><th>p50</th><th>p95</th><th>p99</th><th>values</th></tr>\n",
    );
    for (kind, count, [p50, p95, p99]) in &service.durations {
        if *count == 0 {
            continue;
        }
        let name = kind.name();
        text.push_str(&format!(
            "<tr><td>{name}</td><td>{p50} ms</td><td>{p95} ms</td><td>{p99} ms</td><td>{count}</td></tr>\n"
        ));
    }
    text.push_str("</table>\n");
    for objective in &service.objectives {
        text.push_str(&format!("<h3>{}</h3>\n", escape_html(&target(objective))));
        for position in PLOTTED_WINDOWS {
            let digests = report.fleet.digest.services.iter();
            let mut digests = digests.filter(|digest| digest.service == service.service);
            let counts = digests.next().and_then(|digest| digest.window_counts(position)).cloned();
            let counts = counts.unwrap_or_else(|| WindowCounts::new(WINDOWS[position]));
            let svg = plot(&counts, objective.kind, objective.budget, report.fleet.unix_s)?;
            let name = WINDOWS[position].name();
            text.push_str(&format!(
                "<figure><figcaption>last {name}</figcaption>\n{svg}</figure>\n"
            ));
        }
    }
    Ok(text)
}

/// Renders the name of an alert level in the color that `STYLE` gives to the level.
fn level_badge(level: &str) -> String {
    format!("<span class=\"level {level}\">{level}</span>")
}

/// Escapes text for HTML.
fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
