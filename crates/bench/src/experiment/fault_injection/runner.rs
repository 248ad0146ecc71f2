//! Starts the cluster and the callers, and injects failures into engines until the load ends.

use crate::{
    bench_error::BenchError,
    cluster::{Cluster, Layout},
    experiment::fault_injection::{
        engine_work::EngineWork,
        failure::{Failure, FailureKind},
        load::{CheckedAnswer, ask_until},
        load_progress::LoadProgress,
        report::FaultInjectionReport,
        settings::FaultInjectionSettings,
    },
};
use base::HashMap;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use stand::EngineFault;
use std::{
    ops::Range,
    path::Path,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};
use tokio::task::JoinSet;

/// Time for which an engine stays frozen or silent. The range begins below the silence timeout of the preset `latency`,
/// so that some engines resume before they are suspected and some while a hedged attempt runs.
const STALL_DURATION_MS: Range<u64> = 300..1_800;

/// Divisor of the number of engines: about that fraction of them may be frozen or silent at the same time, so that
/// capacity is left.
const ENGINES_PER_STALLED: usize = 3;

/// Cluster with the failures that have been injected into its engines.
struct FaultInjection {
    cluster: Cluster,
    rng: SmallRng,
    /// Frozen and silent engines by position, with the time at which they resume and the kind of their failure.
    stalled: HashMap<usize, (Instant, FailureKind)>,
    /// All failures so far.
    failures: Vec<Failure>,
    /// Work of killed engines; `finish` adds that of the running ones.
    work: EngineWork,
}

/// Runs a cluster, load and failures as `settings` describe, with `program` as the executable of the processes.
///
/// # Errors
///
/// A process could not start or did not answer.
pub async fn run(
    program: &Path,
    settings: &FaultInjectionSettings,
) -> Result<FaultInjectionReport, BenchError> {
    let layout = Layout {
        engines_per_domain: settings.engines_per_domain,
        token_gap_ms: settings.token_gap_ms,
        preset: settings.preset,
        recovery: settings.recovery.clone(),
        seed: settings.seed,
        ..Layout::default()
    };
    let mut injection = FaultInjection {
        cluster: Cluster::start(program, layout).await?,
        rng: SmallRng::seed_from_u64(settings.seed),
        stalled: HashMap::default(),
        failures: Vec::new(),
        work: EngineWork::default(),
    };
    let end = Instant::now() + Duration::from_secs(settings.duration_s);
    let progress = Arc::new(LoadProgress::default());
    let mut callers = JoinSet::new();
    for number in 0..settings.callers {
        let addrs = injection.cluster.entry_addrs();
        callers.spawn(ask_until(addrs, number, end, Arc::clone(&progress), settings.clone()));
    }
    let mut answers: Vec<CheckedAnswer> = Vec::new();
    let mut failure_timer =
        tokio::time::interval(Duration::from_millis(settings.failure_interval_ms));
    loop {
        tokio::select! {
            finished = callers.join_next() => match finished {
                Some(outcome) => answers.extend(outcome.unwrap_or_default()),
                None => break,
            },
            _ = failure_timer.tick() => {
                injection.resume_due(Instant::now()).await?;
                let has_failures_left =
                    settings.failures == 0 || (injection.failures.len() as u64) < settings.failures;
                if Instant::now() < end && has_failures_left {
                    injection.inject_failure(&settings.kinds).await?;
                    progress.failures.store(injection.failures.len() as u64, Ordering::Relaxed);
                }
            }
        }
    }
    injection.finish(&answers, settings).await
}

impl FaultInjection {
    /// Injects the next of `kinds` into a random engine. Does nothing if that engine is frozen or silent, or if too
    /// many engines are.
    async fn inject_failure(&mut self, kinds: &[FailureKind]) -> Result<(), BenchError> {
        let position = self.rng.random_range(0..self.cluster.engine_count());
        let has_capacity = self.stalled.len() * ENGINES_PER_STALLED < self.cluster.engine_count();
        if self.stalled.contains_key(&position) || !has_capacity {
            return Ok(());
        }
        let state = self.cluster.engine_state(position).await?;
        let generation_ids = state
            .active
            .iter()
            .filter_map(|request_id| request_id.split('/').next())
            .map(str::to_owned)
            .collect();
        let kind = kinds[self.failures.len() % kinds.len()];
        let at = Instant::now();
        match kind {
            FailureKind::Kill => {
                self.cluster.kill_engine(position);
                self.work += &state;
                self.cluster.restart_engine(position)?;
            }
            FailureKind::Freeze => self.cluster.freeze_engine(position),
            _ => {}
        }
        if let Some(fault) = kind.engine_fault() {
            self.cluster.inject_engine_fault(position, fault).await?;
        }
        if matches!(kind, FailureKind::Freeze | FailureKind::Silent) {
            let wait_ms = self.rng.random_range(STALL_DURATION_MS);
            self.stalled.insert(position, (at + Duration::from_millis(wait_ms), kind));
        }
        self.failures.push(Failure { kind, at, generation_ids });
        Ok(())
    }

    /// Resumes the frozen and silent engines that are due to resume at `now`.
    async fn resume_due(&mut self, now: Instant) -> Result<(), BenchError> {
        let due: Vec<(usize, FailureKind)> = self
            .stalled
            .iter()
            .filter(|&(_, &(until, _))| until <= now)
            .map(|(&position, &(_, kind))| (position, kind))
            .collect();
        for (position, kind) in due {
            self.stalled.remove(&position);
            match kind {
                FailureKind::Freeze => self.cluster.thaw_engine(position),
                _ => self.cluster.inject_engine_fault(position, EngineFault::Restore).await?,
            }
        }
        Ok(())
    }

    /// Resumes all engines, adds up their work and creates the report.
    async fn finish(
        mut self,
        answers: &[CheckedAnswer],
        settings: &FaultInjectionSettings,
    ) -> Result<FaultInjectionReport, BenchError> {
        let last_resume = self.stalled.values().map(|&(until, _)| until).max();
        self.resume_due(last_resume.unwrap_or(Instant::now())).await?;
        for position in 0..self.cluster.engine_count() {
            let state = self.cluster.engine_state(position).await?;
            self.work += &state;
        }
        let in_flight = Duration::from_millis(settings.token_gap_ms / 2);
        Ok(FaultInjectionReport::new(answers, &self.failures, self.work, in_flight))
    }
}
