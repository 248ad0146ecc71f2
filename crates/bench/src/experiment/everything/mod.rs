//! Experiment `everything`: all faults at once under the load of both deployments.

mod faults;
mod watcher;
mod whole;

use crate::{
    bench_error::BenchError,
    caller::{AnswerEnd, CallOutcome},
    cluster::{Cluster, Layout},
    experiment::{
        at_most_once::{CallBreaks, Sent, call_until},
        entry_deaths::{Outcome, ask_until},
        operator_races::{Daemons, Report, Told, operate},
        options::ExperimentOptions,
    },
};
use faults::Faults;
use fleet::Document;
use rand::{SeedableRng, rngs::SmallRng};
use serde_json::json;
use stand::{PlatformFault, TokenChain};
use std::{collections::BTreeMap, path::Path, time::Duration};
use tokio::{sync::watch, task::JoinSet, time::Instant};
use watcher::watch_revisions;
use web::{Client, Method};
use whole::{WholeEnd, ask_whole_until};
use wire::platform::KvEntry;

/// Callers at a time that read streams.
const STREAM_CALLERS: usize = 16;

/// Callers at a time that wait for whole answers.
const WHOLE_CALLERS: u64 = 8;

/// Callers at a time of plain services.
const CALL_CALLERS: u64 = 12;

/// Operators at a time.
const OPERATORS: u64 = 4;

/// Time after the load in which late runs can still happen.
const SETTLE_MS: u64 = 4_000;

/// Largest share of streams that end with a typed error, in percent. Capacity is left at all times.
const MAX_ERROR_PCT: usize = 5;

/// Errors by code.
type Codes = BTreeMap<String, u64>;

pub(super) async fn run(program: &Path, options: &ExperimentOptions) -> Result<(), BenchError> {
    let layout = Layout {
        entries_per_domain: 2,
        engines_per_domain: 4,
        services: ["belfry-desk", "print-desk"].map(str::to_owned).to_vec(),
        service_instances: 3,
        seed: options.seed,
        preset: options.preset,
        has_engine_proxies: true,
        has_platform_proxy: true,
        ..Layout::default()
    };
    let mut cluster = Cluster::start(program, layout).await?;
    let end = Instant::now() + Duration::from_secs(options.duration_s);
    let (admin, addrs) = watch::channel(cluster.admin_addrs()?);
    let seed = |kind: u64, number: u64| options.seed * 1_000_000 + kind * 1_000 + number;
    let rng = |kind, number| SmallRng::seed_from_u64(seed(kind, number));
    let (mut streams, mut wholes) = (JoinSet::new(), JoinSet::new());
    let (mut calls, mut operators) = (JoinSet::new(), JoinSet::new());
    for number in 0..STREAM_CALLERS {
        streams.spawn(ask_until(cluster.entry_addrs(), number, end));
    }
    for number in 0..WHOLE_CALLERS {
        wholes.spawn(ask_whole_until(cluster.entry_addrs(), number, rng(1, number), end));
    }
    for number in 0..CALL_CALLERS {
        calls.spawn(call_until(cluster.entry_addrs(), number, rng(2, number), end));
    }
    for number in 0..OPERATORS {
        let daemons = Daemons { addrs: addrs.clone(), may_die: true };
        operators.spawn(operate(daemons, number, rng(3, number), end));
    }
    let revisions = tokio::spawn(watch_revisions(addrs.clone(), end));
    let mut faults = Faults::new(rng(4, 0));
    faults.inject(&mut cluster, &admin, end).await?;
    let streams: Vec<Outcome> = streams.join_all().await.into_iter().flatten().collect();
    let wholes: Vec<WholeEnd> = wholes.join_all().await.into_iter().flatten().collect();
    let sent: Vec<Sent> = calls.join_all().await.into_iter().flatten().collect();
    let mut told: Vec<Told> = Vec::new();
    for plans in operators.join_all().await {
        told.extend(plans?);
    }
    let (revision_reads, reverts) = revisions.await.unwrap_or((0, 1));
    cluster.platform_fault(PlatformFault::Restore).await?;
    tokio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
    let breaks = CallBreaks::of(&sent, &cluster.runs()?);
    let platform = Client::new(cluster.platform_addr()?, SETTLE_MS);
    let entry: KvEntry = platform.send(Method::GET, "/kv/config/current").await?.json()?;
    let document = Document::decode(&entry.value)?;
    let plans = Report::of(&told, &document);
    let (stream_errors, broken_streams) = stream_errors(&streams);
    let (whole_errors, broken_wholes) = whole_errors(&wholes);
    let is_plan_broken = !plans.is_success(&document);
    let error_count: u64 = stream_errors.values().sum();
    let too_many_errors = error_count as usize * 100 > streams.len() * MAX_ERROR_PCT;
    let broken = broken_streams
        + broken_wholes
        + breaks.double_runs
        + breaks.not_run_but_ran
        + breaks.wrong_answers
        + reverts
        + usize::from(is_plan_broken)
        + usize::from(too_many_errors);
    let report = json!({
        "streams": streams.len(),
        "whole_streams": streams.iter().filter(|outcome| outcome.is_whole).count(),
        "reconnects": streams.iter().map(|outcome| outcome.reconnects).sum::<u64>(),
        "stream_errors": stream_errors,
        "stream_errors_max_pct": MAX_ERROR_PCT,
        "whole_answers": wholes.iter().filter(|end| **end == WholeEnd::Whole).count(),
        "whole_errors": whole_errors,
        "calls": sent.len(),
        "call_ends": call_ends(&sent),
        "plans": told.len(),
        "confirmed": plans.confirmed,
        "revision_reads": revision_reads,
        "faults": faults.counts(),
        "broken": {
            "streams": broken_streams,
            "whole_answers": broken_wholes,
            "double_runs": breaks.double_runs,
            "not_run_but_ran": breaks.not_run_but_ran,
            "wrong_answers": breaks.wrong_answers,
            "reverts": reverts,
            "plans_unresolved": plans.unresolved,
            "plans_lost": plans.lost,
            "plans_both_won": plans.both_won,
            "plans_refused_but_applied": plans.refused_but_applied,
            "plans": usize::from(is_plan_broken),
            "too_many_errors": usize::from(too_many_errors),
        },
    });
    println!("{report}");
    let is_idle = streams.is_empty() || sent.is_empty() || revision_reads == 0;
    if broken == 0 && !is_idle {
        Ok(())
    } else {
        Err(BenchError::Failed(format!("{broken} guarantees were broken")))
    }
}

/// Typed errors by code, and streams that are neither whole nor a right beginning with a typed error.
fn stream_errors(streams: &[Outcome]) -> (Codes, usize) {
    let (mut codes, mut broken) = (Codes::new(), 0);
    for Outcome { answer, prompt, .. } in streams.iter().filter(|outcome| !outcome.is_whole) {
        let chain = TokenChain::new(Layout::MODEL, Layout::VERSION, "", prompt);
        let code = match &answer.end {
            AnswerEnd::Error(code) | AnswerEnd::Refused(_, code) => code.as_str(),
            AnswerEnd::Cut | AnswerEnd::Done | AnswerEnd::Silent => "",
        };
        if code.is_empty() || chain.verify(&answer.text).is_err() {
            eprintln!("broken stream: {:?} {:?}", answer.last_event_id, answer.end);
            broken += 1;
        } else {
            *codes.entry(code.to_owned()).or_default() += 1;
        }
    }
    (codes, broken)
}

fn whole_errors(wholes: &[WholeEnd]) -> (Codes, usize) {
    let mut codes = Codes::new();
    for end in wholes {
        if let WholeEnd::Error(code) = end {
            *codes.entry(code.clone()).or_default() += 1;
        }
    }
    (codes, wholes.iter().filter(|end| **end == WholeEnd::Broken).count())
}

fn call_ends(sent: &[Sent]) -> Codes {
    let mut codes = Codes::new();
    for Sent { outcome, .. } in sent {
        let end = match outcome {
            CallOutcome::Answer(..) => "answered",
            CallOutcome::NotRun => "not_run",
            CallOutcome::Unknown => "unknown",
            CallOutcome::Refused(_, code) => code.as_str(),
            CallOutcome::NotConnected => "not_connected",
            CallOutcome::CutOff => "cut_off",
        };
        *codes.entry(end.to_owned()).or_default() += 1;
    }
    codes
}
