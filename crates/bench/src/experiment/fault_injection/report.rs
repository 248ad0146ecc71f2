//! Computes resume latencies and extra work from the answers, the failures and the work of the engines.

use crate::{
    experiment::fault_injection::{
        engine_work::EngineWork,
        failure::{Failure, FailureKind},
        kind_report::KindReport,
        load::CheckedAnswer,
    },
    percentile::percentile,
};
use base::HashMap;
use serde::Serialize;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Results of a load with engine failures. A resume latency is the time from a failure to the next token of a stream
/// that the failed engine was running. Percentiles are 0 without samples.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FaultInjectionReport {
    /// Number of requested answers.
    pub generations: usize,
    /// Number of answers that contained exactly the tokens of their own request.
    pub whole: usize,
    /// Number of engine failures of all kinds.
    pub deaths: usize,
    /// Number of failures of the kind `kill`.
    pub kills: usize,
    /// Number of failures of the kind `freeze`.
    pub freezes: usize,
    /// Number of streams that a failure interrupted and that were resumed.
    pub resumes: usize,
    /// Median of the resume latency after failures that affect a whole engine.
    pub resume_p50_ms: u64,
    /// 95th percentile of the resume latency after failures that affect a whole engine.
    pub resume_p95_ms: u64,
    /// Longest resume latency after failures that affect a whole engine.
    pub resume_max_ms: u64,
    /// 95th percentile of the resume latency after a kill.
    pub kill_p95_ms: u64,
    /// 95th percentile of the resume latency after a freeze.
    pub freeze_p95_ms: u64,
    /// Reports by kind of failure, for the kinds that occurred.
    pub kinds: BTreeMap<FailureKind, KindReport>,
    /// Decoded tokens that were not delivered, in percent of the delivered ones.
    pub extra_tokens_pct: f64,
    /// Prefills beyond one for each answer, divided by the number of interrupted streams.
    pub extra_prefills_per_resume: f64,
}

impl FaultInjectionReport {
    /// Returns whether every answer was complete, and there was at least one answer and one failure.
    pub fn is_success(&self) -> bool {
        self.whole == self.generations && self.generations > 0 && self.deaths > 0
    }

    /// Evaluates the answers and failures. Tokens that arrive within `in_flight` after a failure are regarded as sent
    /// before that failure.
    pub(super) fn new(
        answers: &[CheckedAnswer],
        failures: &[Failure],
        work: EngineWork,
        in_flight: Duration,
    ) -> Self {
        let mut resumes = Vec::new();
        let mut kinds = BTreeMap::new();
        let mut interrupted = 0;
        for kind in FailureKind::ALL {
            let count = failures.iter().filter(|failure| failure.kind == kind).count();
            if count == 0 {
                continue;
            }
            let mut latencies = resume_latencies(answers, failures, kind, in_flight);
            let report = kind_report(count, &mut latencies);
            // A failure of one event interrupts one of the engine's streams. The latencies of the other streams only
            // show that the failure does not affect them, so they are left out of the totals.
            interrupted += if kind.affects_one_event() { count } else { report.streams };
            if !kind.affects_one_event() {
                resumes.append(&mut latencies);
            }
            kinds.insert(kind, report);
        }
        let delivered: usize = answers.iter().map(|checked| checked.answer.token_times.len()).sum();
        let extra_tokens = work.decoded_tokens as f64 - delivered as f64;
        let extra_prefills = work.prefills as f64 - answers.len() as f64;
        let report_of = |kind| kinds.get(&kind).cloned().unwrap_or_default();
        let (kills, freezes) = (report_of(FailureKind::Kill), report_of(FailureKind::Freeze));
        Self {
            generations: answers.len(),
            whole: answers.iter().filter(|checked| checked.is_whole).count(),
            deaths: failures.len(),
            kills: kills.failures,
            freezes: freezes.failures,
            resumes: interrupted,
            resume_p50_ms: percentile(&mut resumes, 50),
            resume_p95_ms: percentile(&mut resumes, 95),
            resume_max_ms: percentile(&mut resumes, 100),
            kill_p95_ms: kills.p95_ms,
            freeze_p95_ms: freezes.p95_ms,
            kinds,
            extra_tokens_pct: 100.0 * extra_tokens / delivered.max(1) as f64,
            extra_prefills_per_resume: extra_prefills / interrupted.max(1) as f64,
        }
    }
}

/// Returns the report of `failures` failures of one kind with these resume latencies in milliseconds.
fn kind_report(failures: usize, latencies: &mut [u64]) -> KindReport {
    KindReport {
        failures,
        streams: latencies.len(),
        p50_ms: percentile(latencies, 50),
        p95_ms: percentile(latencies, 95),
        p99_ms: percentile(latencies, 99),
        max_ms: percentile(latencies, 100),
    }
}

/// Returns the resume latencies in milliseconds of all streams after failures of `kind`. Tokens that arrive within
/// `in_flight` after a failure are skipped, since the engine had sent them before.
fn resume_latencies(
    answers: &[CheckedAnswer],
    failures: &[Failure],
    kind: FailureKind,
    in_flight: Duration,
) -> Vec<u64> {
    let token_times: HashMap<&str, &[Instant]> = answers
        .iter()
        .filter_map(|checked| {
            Some((checked.answer.generation_id()?, checked.answer.token_times.as_slice()))
        })
        .collect();
    let mut latencies = Vec::new();
    for failure in failures.iter().filter(|failure| failure.kind == kind) {
        for id in &failure.generation_ids {
            let Some(times) = token_times.get(id.as_str()) else { continue };
            let next = times.iter().find(|&&time| time > failure.at + in_flight);
            if let Some(next) = next {
                latencies.push(next.duration_since(failure.at).as_millis() as u64);
            }
        }
    }
    latencies
}
