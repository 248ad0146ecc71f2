//! What a storm showed.

use crate::{
    experiment::storm::{
        failure::{Failure, FailureKind},
        load::Checked,
        work_count::WorkCount,
    },
    percentile::percentile,
};
use base::HashMap;
use serde::Serialize;
use std::time::{Duration, Instant};

/// What a storm showed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct StormReport {
    /// Answers asked for.
    pub generations: usize,
    /// Answers that were whole and unmixed.
    pub whole: usize,
    /// Failures of engines.
    pub deaths: usize,
    /// Failures by a kill.
    pub kills: usize,
    /// Failures by a freeze.
    pub freezes: usize,
    /// Streams that a failure interrupted and that went on.
    pub resumes: usize,
    /// Median of the resume latency.
    pub resume_p50_ms: u64,
    /// 95th percentile of the resume latency.
    pub resume_p95_ms: u64,
    /// Longest resume latency.
    pub resume_max_ms: u64,
    /// 95th percentile after a kill.
    pub kill_p95_ms: u64,
    /// 95th percentile after a freeze.
    pub freeze_p95_ms: u64,
    /// Tokens decoded beyond those delivered, in percent of those delivered.
    pub extra_tokens_pct: f64,
    /// Prompts processed beyond one for each answer, for each interrupted stream.
    pub extra_prefills_per_resume: f64,
}

impl StormReport {
    /// Whether every answer was whole, and there were answers and failures.
    pub fn holds(&self) -> bool {
        self.whole == self.generations && self.generations > 0 && self.deaths > 0
    }

    pub(super) fn new(
        answers: &[Checked],
        failures: &[Failure],
        work: WorkCount,
        in_flight: Duration,
    ) -> Self {
        let mut kills = resume_latencies(answers, failures, FailureKind::Kill, in_flight);
        let mut freezes = resume_latencies(answers, failures, FailureKind::Freeze, in_flight);
        let mut resumes = [kills.as_slice(), freezes.as_slice()].concat();
        let delivered: usize = answers.iter().map(|checked| checked.answer.token_times.len()).sum();
        let extra_tokens = work.decoded_tokens as f64 - delivered as f64;
        let extra_prefills = work.prefills as f64 - answers.len() as f64;
        let kill_count =
            failures.iter().filter(|failure| failure.kind == FailureKind::Kill).count();
        Self {
            generations: answers.len(),
            whole: answers.iter().filter(|checked| checked.is_whole).count(),
            deaths: failures.len(),
            kills: kill_count,
            freezes: failures.len() - kill_count,
            resumes: resumes.len(),
            resume_p50_ms: percentile(&mut resumes, 50),
            resume_p95_ms: percentile(&mut resumes, 95),
            resume_max_ms: percentile(&mut resumes, 100),
            kill_p95_ms: percentile(&mut kills, 95),
            freeze_p95_ms: percentile(&mut freezes, 95),
            extra_tokens_pct: 100.0 * extra_tokens / delivered.max(1) as f64,
            extra_prefills_per_resume: extra_prefills / resumes.len().max(1) as f64,
        }
    }
}

/// Time from each failure to the next token of each stream that it interrupted. Tokens within `in_flight` of the failure
/// had left the engine before it.
fn resume_latencies(
    answers: &[Checked],
    failures: &[Failure],
    kind: FailureKind,
    in_flight: Duration,
) -> Vec<u64> {
    let times: HashMap<&str, &[Instant]> = answers
        .iter()
        .filter_map(|checked| {
            Some((checked.answer.generation_id()?, checked.answer.token_times.as_slice()))
        })
        .collect();
    let mut latencies = Vec::new();
    for failure in failures.iter().filter(|failure| failure.kind == kind) {
        for id in &failure.generation_ids {
            let Some(times) = times.get(id.as_str()) else { continue };
            let next = times.iter().find(|&&time| time > failure.at + in_flight);
            if let Some(next) = next {
                latencies.push(next.duration_since(failure.at).as_millis() as u64);
            }
        }
    }
    latencies
}
