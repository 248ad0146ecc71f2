//! Experiment `everything`: faults of all components at once, under the load of generation services and plain services.

mod fault_injector;
mod non_streaming;
mod revision_watcher;

use crate::{
    bench_error::BenchError,
    caller::{AnswerEnd, CallOutcome},
    cluster::{Cluster, Layout},
    experiment::{
        at_most_once::{CallRecord, GuaranteeViolations, call_until},
        entry_deaths::{StreamOutcome, ask_until},
        operator_races::{Daemons, PlanRecord, PlanReport, run_operator},
        options::ExperimentOptions,
    },
};
use fault_injector::FaultInjector;
use fleet::Document;
use non_streaming::{NonStreamingOutcome, ask_non_streaming_until};
use rand::{SeedableRng, rngs::SmallRng};
use revision_watcher::watch_revisions;
use serde_json::json;
use stand::{PlatformFault, TokenChain};
use std::{collections::BTreeMap, path::Path, time::Duration};
use tokio::{sync::watch, task::JoinSet, time::Instant};
use web::{Client, Method};
use wire::platform::KvEntry;

/// Number of concurrent callers that read streams.
const STREAM_CALLERS: usize = 16;

/// Number of concurrent callers that request generations without streaming.
const NON_STREAMING_CALLERS: u64 = 8;

/// Number of concurrent callers of plain services.
const SERVICE_CALLERS: u64 = 12;

/// Number of concurrent operators.
const OPERATORS: u64 = 4;

/// Time within which instances can still execute delayed requests after the end of the load. It also is the timeout of
/// requests to the platform.
const SETTLE_MS: u64 = 4_000;

/// Most streams that may end with a typed error, in percent. Some errors are expected, but the faults leave capacity at
/// all times.
const MAX_ERROR_PCT: usize = 5;

/// Numbers of requests by error code or name of the outcome.
type CountsByCode = BTreeMap<String, u64>;

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
    let (admin_addrs, addrs) = watch::channel(cluster.admin_addrs()?);
    let seed = |kind: u64, number: u64| options.seed * 1_000_000 + kind * 1_000 + number;
    let rng = |kind, number| SmallRng::seed_from_u64(seed(kind, number));
    let (mut streams, mut non_streaming) = (JoinSet::new(), JoinSet::new());
    let (mut calls, mut operators) = (JoinSet::new(), JoinSet::new());
    for number in 0..STREAM_CALLERS {
        streams.spawn(ask_until(cluster.entry_addrs(), number, end));
    }
    for number in 0..NON_STREAMING_CALLERS {
        non_streaming.spawn(ask_non_streaming_until(
            cluster.entry_addrs(),
            number,
            rng(1, number),
            end,
        ));
    }
    for number in 0..SERVICE_CALLERS {
        calls.spawn(call_until(cluster.entry_addrs(), number, rng(2, number), end));
    }
    for number in 0..OPERATORS {
        let daemons = Daemons { addrs: addrs.clone(), may_be_killed: true };
        operators.spawn(run_operator(daemons, number, rng(3, number), end));
    }
    let revisions = tokio::spawn(watch_revisions(addrs.clone(), end));
    let mut injector = FaultInjector::new(rng(4, 0));
    injector.inject(&mut cluster, &admin_addrs, end).await?;
    let streams: Vec<StreamOutcome> = streams.join_all().await.into_iter().flatten().collect();
    let non_streaming: Vec<NonStreamingOutcome> =
        non_streaming.join_all().await.into_iter().flatten().collect();
    let call_records: Vec<CallRecord> = calls.join_all().await.into_iter().flatten().collect();
    let mut plan_records: Vec<PlanRecord> = Vec::new();
    for plans in operators.join_all().await {
        plan_records.extend(plans?);
    }
    let (revision_reads, reverts) = revisions.await.unwrap_or((0, 1));
    cluster.inject_platform_fault(PlatformFault::Restore).await?;
    tokio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
    let violations = GuaranteeViolations::of(&call_records, &cluster.runs()?);
    let platform = Client::new(cluster.platform_addr()?, SETTLE_MS);
    let entry: KvEntry = platform.send(Method::GET, "/kv/config/current").await?.json()?;
    let document = Document::decode(&entry.value)?;
    let plans = PlanReport::of(&plan_records, &document);
    let (stream_errors, broken_streams) = stream_errors(&streams);
    let (non_streaming_errors, broken_non_streaming) = non_streaming_errors(&non_streaming);
    let is_plan_broken = !plans.is_success(&document);
    let error_count: u64 = stream_errors.values().sum();
    let too_many_errors = error_count as usize * 100 > streams.len() * MAX_ERROR_PCT;
    let broken = broken_streams
        + broken_non_streaming
        + violations.double_runs
        + violations.not_run_but_ran
        + violations.wrong_answers
        + reverts
        + usize::from(is_plan_broken)
        + usize::from(too_many_errors);
    let report = json!({
        "streams": streams.len(),
        "whole_streams": streams.iter().filter(|outcome| outcome.is_whole).count(),
        "reconnects": streams.iter().map(|outcome| outcome.reconnects).sum::<u64>(),
        "stream_errors": stream_errors,
        "stream_errors_max_pct": MAX_ERROR_PCT,
        "whole_answers": non_streaming
            .iter()
            .filter(|end| **end == NonStreamingOutcome::Complete)
            .count(),
        "whole_errors": non_streaming_errors,
        "calls": call_records.len(),
        "call_ends": count_call_outcomes(&call_records),
        "plans": plan_records.len(),
        "confirmed": plans.confirmed,
        "revision_reads": revision_reads,
        "faults": injector.counts(),
        "broken": {
            "streams": broken_streams,
            "whole_answers": broken_non_streaming,
            "double_runs": violations.double_runs,
            "not_run_but_ran": violations.not_run_but_ran,
            "wrong_answers": violations.wrong_answers,
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
    let is_idle = streams.is_empty() || call_records.is_empty() || revision_reads == 0;
    if broken == 0 && !is_idle {
        Ok(())
    } else {
        Err(BenchError::Failed(format!("{broken} guarantees were broken")))
    }
}

/// Returns the numbers of streams that ended with a typed error, by code, and the number of broken streams. An
/// incomplete stream is broken unless its tokens are a correct prefix of the answer and it ended with a typed error.
fn stream_errors(streams: &[StreamOutcome]) -> (CountsByCode, usize) {
    let (mut codes, mut broken) = (CountsByCode::new(), 0);
    for StreamOutcome { answer, prompt, .. } in streams.iter().filter(|outcome| !outcome.is_whole) {
        let chain = TokenChain::new(Layout::MODEL, Layout::VERSION, "", prompt);
        let code = match &answer.end {
            AnswerEnd::Error(code) | AnswerEnd::Refused(_, code) => code.as_str(),
            AnswerEnd::Cut | AnswerEnd::Done | AnswerEnd::Silent => "",
        };
        if code.is_empty() || chain.verify(&answer.text).is_err() {
            eprintln!(
                "a stream is broken: its last event is {:?}, its end is {:?}",
                answer.last_event_id, answer.end
            );
            broken += 1;
        } else {
            *codes.entry(code.to_owned()).or_default() += 1;
        }
    }
    (codes, broken)
}

/// Returns the numbers of requests without streaming that got a typed error, by code, and the number of broken
/// responses.
fn non_streaming_errors(non_streaming: &[NonStreamingOutcome]) -> (CountsByCode, usize) {
    let mut codes = CountsByCode::new();
    for end in non_streaming {
        if let NonStreamingOutcome::Error(code) = end {
            *codes.entry(code.clone()).or_default() += 1;
        }
    }
    (codes, non_streaming.iter().filter(|end| **end == NonStreamingOutcome::Broken).count())
}

/// Counts calls to plain services by their outcome.
fn count_call_outcomes(call_records: &[CallRecord]) -> CountsByCode {
    let mut codes = CountsByCode::new();
    for CallRecord { outcome, .. } in call_records {
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
