//! Runs a storm.

use crate::{
    bench_error::BenchError,
    cluster::{Cluster, Layout},
    experiment::storm::{
        failure::{Failure, FailureKind},
        load::{Checked, ask_until},
        load_counts::LoadCounts,
        report::StormReport,
        settings::StormSettings,
        work_count::WorkCount,
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

/// Time that an engine stays frozen or silent. It begins below the silence timeout of `latency`, so that engines also
/// wake before they are suspected and while a hedged attempt runs.
const STALL_MS: Range<u64> = 300..1_800;

/// Share of the engines that may be frozen or silent at a time, so that capacity is left.
const STALLED_SHARE: usize = 3;

struct Storm {
    cluster: Cluster,
    rng: SmallRng,
    /// Engines that deliver nothing, until when, and why.
    stalled: HashMap<usize, (Instant, FailureKind)>,
    failures: Vec<Failure>,
    work: WorkCount,
}

/// Runs a storm with `program` as the executable of its processes.
///
/// # Errors
///
/// A process could not start or did not answer.
pub async fn run(program: &Path, settings: &StormSettings) -> Result<StormReport, BenchError> {
    let layout = Layout {
        engines_per_domain: settings.engines_per_domain,
        token_gap_ms: settings.token_gap_ms,
        preset: settings.preset,
        recovery: settings.recovery.clone(),
        seed: settings.seed,
        ..Layout::default()
    };
    let mut storm = Storm {
        cluster: Cluster::start(program, layout).await?,
        rng: SmallRng::seed_from_u64(settings.seed),
        stalled: HashMap::default(),
        failures: Vec::new(),
        work: WorkCount::default(),
    };
    let end = Instant::now() + Duration::from_secs(settings.duration_s);
    let counts = Arc::new(LoadCounts::default());
    let mut callers = JoinSet::new();
    for number in 0..settings.callers {
        let addrs = storm.cluster.entry_addrs();
        callers.spawn(ask_until(addrs, number, end, Arc::clone(&counts), settings.clone()));
    }
    let mut answers: Vec<Checked> = Vec::new();
    let mut ticks = tokio::time::interval(Duration::from_millis(settings.failure_interval_ms));
    loop {
        tokio::select! {
            finished = callers.join_next() => match finished {
                Some(outcome) => answers.extend(outcome.unwrap_or_default()),
                None => break,
            },
            _ = ticks.tick() => {
                storm.restore_due(Instant::now()).await?;
                let has_failures_left =
                    settings.failures == 0 || (storm.failures.len() as u64) < settings.failures;
                if Instant::now() < end && has_failures_left {
                    storm.fail(&settings.kinds).await?;
                    counts.failures.store(storm.failures.len() as u64, Ordering::Relaxed);
                }
            }
        }
    }
    storm.close(&answers, settings).await
}

impl Storm {
    /// Lets an engine that is not frozen or silent fail, by the kinds in turn.
    async fn fail(&mut self, kinds: &[FailureKind]) -> Result<(), BenchError> {
        let position = self.rng.random_range(0..self.cluster.engine_count());
        let has_capacity = self.stalled.len() * STALLED_SHARE < self.cluster.engine_count();
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
            self.cluster.engine_fault(position, fault).await?;
        }
        if matches!(kind, FailureKind::Freeze | FailureKind::Silent) {
            let wait_ms = self.rng.random_range(STALL_MS);
            self.stalled.insert(position, (at + Duration::from_millis(wait_ms), kind));
        }
        self.failures.push(Failure { kind, at, generation_ids });
        Ok(())
    }

    /// Wakes the engines that are to be frozen or silent until `now` at the latest.
    async fn restore_due(&mut self, now: Instant) -> Result<(), BenchError> {
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
                _ => self.cluster.engine_fault(position, EngineFault::Restore).await?,
            }
        }
        Ok(())
    }

    async fn close(
        mut self,
        answers: &[Checked],
        settings: &StormSettings,
    ) -> Result<StormReport, BenchError> {
        let last = self.stalled.values().map(|&(until, _)| until).max();
        self.restore_due(last.unwrap_or(Instant::now())).await?;
        for position in 0..self.cluster.engine_count() {
            let state = self.cluster.engine_state(position).await?;
            self.work += &state;
        }
        let in_flight = Duration::from_millis(settings.token_gap_ms / 2);
        Ok(StormReport::new(answers, &self.failures, self.work, in_flight))
    }
}
