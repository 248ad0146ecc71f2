//! Renders responses of the administration server as text for operators.

use admin::{AdminErrorBody, Confirmed, DiffReport, History, PlanCreated, Status};
use fleet::{ConfirmedPlan, Plan};
use std::fmt::Display;

/// Renders a new plan with its generated keys and the command that confirms it.
pub(crate) fn created(created: &PlanCreated) -> String {
    let mut lines = vec![plan(&created.plan)];
    for new_key in &created.new_keys {
        lines.push(format!("key of {}, shown only now: {}", new_key.owner, new_key.key));
    }
    lines.push(format!("to apply it: geraniumctl confirm {}", created.plan.id));
    lines.join("\n")
}

/// Renders a plan with its diff, cost and warnings.
pub(crate) fn plan(plan: &Plan) -> String {
    let mut lines = vec![
        format!("plan {} of {} on revision {}", plan.id, plan.operator, plan.base_revision),
        indented(&plan.lines),
        format!("cost: {}", plan.cost),
    ];
    lines.extend(plan.warnings.iter().map(|warning| format!("warning: {warning}")));
    lines.join("\n")
}

/// Renders the response to a confirmation.
pub(crate) fn confirmed(confirmed: &Confirmed) -> String {
    let Confirmed { plan_id, sequence, revision, was_confirmed_before } = confirmed;
    if *was_confirmed_before {
        return format!("plan {plan_id} was already applied as change {sequence}");
    }
    format!("plan {plan_id} is applied as change {sequence}, revision {revision}")
}

/// Renders the diff between two revisions.
pub(crate) fn diff(report: &DiffReport) -> String {
    let note = if report.is_complete { "" } else { "\nthe history does not hold every line" };
    format!("{}{note}", indented(&report.lines))
}

/// Renders a history of confirmed plans.
pub(crate) fn history(history: &History) -> String {
    let mut lines = vec![format!("revision {}, {} changes", history.revision, history.sequence)];
    lines.extend(history.plans.iter().map(change));
    lines.join("\n")
}

/// Renders the status of a daemon.
pub(crate) fn status(status: &Status) -> String {
    let mut lines =
        vec![format!("revision {} in force, {} changes", status.revision, status.sequence)];
    for vm in &status.upstreams {
        let service = vm.service.as_ref().map_or("-", |service| service.as_str());
        lines.push(format!("upstream {} {service} {} {:?}", vm.id, vm.domain, vm.state));
    }
    match &status.members {
        Some(members) => lines.extend(
            members.iter().map(|vm| format!("member {} {} {:?}", vm.id, vm.domain, vm.state)),
        ),
        None => lines.push("members unknown: the platform does not answer".to_owned()),
    }
    lines.join("\n")
}

/// Renders a refused request with the changes that made a plan stale.
pub(crate) fn refusal(status: u16, body: &AdminErrorBody) -> String {
    let mut lines = vec![format!("refused ({status}): {}", body.error.message)];
    lines.extend(body.changes.iter().map(change));
    lines.join("\n")
}

/// Renders a confirmed plan with its diff, which may lack lines that the history omitted.
fn change(plan: &ConfirmedPlan) -> String {
    let ConfirmedPlan { plan_id, operator, base_revision, sequence, lines, .. } = plan;
    let head = format!("change {sequence} by {operator}: {plan_id} on revision {base_revision}");
    let omitted = match plan.omitted_lines {
        0 => String::new(),
        count => format!("\n  {count} more lines"),
    };
    format!("{head}\n{}{omitted}", indented(lines))
}

fn indented(lines: &[impl Display]) -> String {
    lines.iter().map(|line| format!("  {line}")).collect::<Vec<_>>().join("\n")
}
