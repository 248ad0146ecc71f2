//! Faults of all kinds.

use crate::{bench_error::BenchError, cluster::Cluster};
use rand::{RngExt, rngs::SmallRng};
use stand::{EngineFault, PlatformFault, ProxyFault, ServiceFault, ServiceFaultKind};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
use tokio::{sync::watch, task::JoinHandle, time::Instant};

/// Time between two faults.
const INTERVAL_MS: u64 = 400;

/// Time for which a process is frozen.
const FREEZE_MS: u64 = 1_500;

/// Length of an outage or of slowness of the platform, longer than a daemon waits for an answer.
const OUTAGE_MS: u64 = 2_000;

/// Delay of a slow platform.
const SLOW_MS: u64 = 300;

/// Engines that may be disturbed at a time, so that capacity is left.
const MAX_ENGINES: usize = 4;

/// Faults of plain services.
const SERVICE_FAULTS: [ServiceFaultKind; 5] = [
    ServiceFaultKind::RunLate,
    ServiceFaultKind::AnswerLate,
    ServiceFaultKind::CloseBeforeRun,
    ServiceFaultKind::CloseAfterRun,
    ServiceFaultKind::DieAfterRun,
];

/// End of a fault.
#[derive(Debug)]
enum Undo {
    ThawEngine(usize),
    WakeEngine(usize),
    ThawEntry(usize),
    RestorePlatform,
}

/// Source of faults.
#[derive(Debug)]
pub(super) struct Faults {
    rng: SmallRng,
    counts: BTreeMap<&'static str, u64>,
    pending: Vec<(Instant, Undo)>,
    stopping: Option<(usize, JoinHandle<Result<bool, BenchError>>)>,
}

impl Faults {
    pub fn new(rng: SmallRng) -> Self {
        Self { rng, counts: BTreeMap::new(), pending: Vec::new(), stopping: None }
    }

    /// Faults by kind.
    pub fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }

    /// Injects faults until `end`, ends them all, and names the present administration servers to `admin`.
    pub async fn inject(
        &mut self,
        cluster: &mut Cluster,
        admin: &watch::Sender<Vec<SocketAddr>>,
        end: Instant,
    ) -> Result<(), BenchError> {
        while Instant::now() < end {
            tokio::time::sleep(Duration::from_millis(INTERVAL_MS)).await;
            self.undo(cluster, Instant::now()).await?;
            self.restart_stopped(cluster).await?;
            self.fault(cluster).await?;
            admin.send_replace(cluster.admin_addrs()?);
        }
        let last = Instant::now() + Duration::from_millis(FREEZE_MS + OUTAGE_MS);
        self.undo(cluster, last).await?;
        while self.stopping.is_some() {
            tokio::time::sleep(Duration::from_millis(INTERVAL_MS)).await;
            self.restart_stopped(cluster).await?;
        }
        admin.send_replace(cluster.admin_addrs()?);
        Ok(())
    }

    async fn undo(&mut self, cluster: &Cluster, now: Instant) -> Result<(), BenchError> {
        let (due, rest) = self.pending.drain(..).partition(|(at, _)| *at <= now);
        self.pending = rest;
        for (_, undo) in due {
            match undo {
                Undo::ThawEngine(position) => cluster.thaw_engine(position),
                Undo::WakeEngine(position) => {
                    cluster.engine_fault(position, EngineFault::Wake).await?;
                }
                Undo::ThawEntry(position) => {
                    if let Some(process) = cluster.entry(position) {
                        process.thaw();
                    }
                }
                Undo::RestorePlatform => cluster.platform_fault(PlatformFault::Restore).await?,
            }
        }
        Ok(())
    }

    async fn restart_stopped(&mut self, cluster: &mut Cluster) -> Result<(), BenchError> {
        if self.stopping.as_ref().is_some_and(|(_, waiting)| waiting.is_finished())
            && let Some((position, waiting)) = self.stopping.take()
        {
            let is_clean = waiting.await.is_ok_and(|ended| ended.unwrap_or(false));
            if !is_clean {
                return Err(BenchError::Failed("a graceful shutdown failed".to_owned()));
            }
            cluster.restart_entry(position)?;
        }
        Ok(())
    }

    fn count(&mut self, kind: &'static str) {
        *self.counts.entry(kind).or_default() += 1;
    }

    fn undo_after(&mut self, wait_ms: u64, undo: Undo) {
        self.pending.push((Instant::now() + Duration::from_millis(wait_ms), undo));
    }

    fn free_engine(&mut self, cluster: &Cluster) -> Option<usize> {
        let busy: Vec<usize> = self
            .pending
            .iter()
            .filter_map(|(_, undo)| match undo {
                Undo::ThawEngine(position) | Undo::WakeEngine(position) => Some(*position),
                _ => None,
            })
            .collect();
        let position = self.rng.random_range(0..cluster.engine_count());
        (busy.len() < MAX_ENGINES && !busy.contains(&position)).then_some(position)
    }

    /// One entry is disturbed at a time, since the loss of an entry and its holder together is not tolerated.
    fn free_entry(&mut self, cluster: &Cluster) -> Option<usize> {
        let is_frozen = self.pending.iter().any(|(_, undo)| matches!(undo, Undo::ThawEntry(_)));
        let position = self.rng.random_range(0..cluster.entry_count());
        (!is_frozen && self.stopping.is_none()).then_some(position)
    }

    async fn fault(&mut self, cluster: &mut Cluster) -> Result<(), BenchError> {
        match self.rng.random_range(0..20) {
            0..=9 => self.engine_fault(cluster).await,
            10..=13 => self.entry_fault(cluster),
            14..=16 => self.platform_fault(cluster).await,
            _ => self.service_fault(cluster).await,
        }
    }

    async fn engine_fault(&mut self, cluster: &mut Cluster) -> Result<(), BenchError> {
        let Some(position) = self.free_engine(cluster) else { return Ok(()) };
        let events = self.rng.random_range(1..5);
        let (kind, fault) = match self.rng.random_range(0..10) {
            0 => {
                self.count("engine_kill");
                cluster.kill_engine(position);
                return cluster.restart_engine(position);
            }
            1 => {
                self.count("engine_freeze");
                cluster.freeze_engine(position);
                self.undo_after(FREEZE_MS, Undo::ThawEngine(position));
                return Ok(());
            }
            2 => {
                self.count("engine_proxy_silence");
                return cluster.engine_proxy_fault(position, ProxyFault::SilenceExisting).await;
            }
            3 => {
                self.count("engine_proxy_cut");
                return cluster.engine_proxy_fault(position, ProxyFault::Cut).await;
            }
            4 => ("engine_reset", EngineFault::Reset),
            5 => ("engine_malformed", EngineFault::Malformed { events }),
            6 => ("engine_duplicate", EngineFault::Duplicate { events }),
            7 => ("engine_skip", EngineFault::Skip { events }),
            8 => ("engine_cross", EngineFault::Cross { events }),
            _ => {
                self.undo_after(FREEZE_MS, Undo::WakeEngine(position));
                ("engine_stop", EngineFault::Freeze)
            }
        };
        self.count(kind);
        cluster.engine_fault(position, fault).await
    }

    fn entry_fault(&mut self, cluster: &mut Cluster) -> Result<(), BenchError> {
        let Some(position) = self.free_entry(cluster) else { return Ok(()) };
        match self.rng.random_range(0..3) {
            0 => {
                self.count("entry_kill");
                cluster.kill_entry(position);
                cluster.restart_entry(position)
            }
            1 => {
                self.count("entry_freeze");
                if let Some(process) = cluster.entry(position) {
                    process.freeze();
                }
                self.undo_after(FREEZE_MS, Undo::ThawEntry(position));
                Ok(())
            }
            _ => {
                self.count("entry_shutdown");
                if let Some(process) = cluster.terminate_entry(position) {
                    let waiting = tokio::task::spawn_blocking(move || process.wait());
                    self.stopping = Some((position, waiting));
                }
                Ok(())
            }
        }
    }

    async fn platform_fault(&mut self, cluster: &Cluster) -> Result<(), BenchError> {
        let (kind, fault) = match self.rng.random_range(0..5) {
            0 => ("platform_down", PlatformFault::Down),
            1 => ("platform_slow", PlatformFault::Slow { delay_ms: SLOW_MS }),
            2 => {
                let writes = self.rng.random_range(1..5);
                ("platform_lost_answers", PlatformFault::LoseNextAnswers { writes })
            }
            3 => {
                self.count("platform_proxy_silence");
                return cluster.platform_proxy_fault(ProxyFault::SilenceExisting).await;
            }
            _ => {
                self.count("platform_proxy_cut");
                return cluster.platform_proxy_fault(ProxyFault::Cut).await;
            }
        };
        self.count(kind);
        self.undo_after(OUTAGE_MS, Undo::RestorePlatform);
        cluster.platform_fault(fault).await
    }

    async fn service_fault(&mut self, cluster: &mut Cluster) -> Result<(), BenchError> {
        self.count("service");
        let position = self.rng.random_range(0..cluster.service_count());
        let kind = SERVICE_FAULTS[self.rng.random_range(0..SERVICE_FAULTS.len())];
        let wait_ms = self.rng.random_range(100..4_000);
        let fault = ServiceFault { kind, count: self.rng.random_range(1..4), wait_ms };
        // An instance that died by the fault before is started again.
        if cluster.service_fault(position, fault).await.is_err() {
            cluster.restart_service(position, false)?;
        }
        Ok(())
    }
}
