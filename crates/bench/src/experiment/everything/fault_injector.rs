//! Injects random faults into engines, entries, the platform, proxies and plain services, and ends them.

use crate::{bench_error::BenchError, cluster::Cluster};
use rand::{RngExt, rngs::SmallRng};
use stand::{EngineFault, PlatformFault, ProxyFault, ServiceFault, ServiceFaultKind};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
use tokio::{sync::watch, task::JoinHandle, time::Instant};

/// Time between two faults.
const FAULT_INTERVAL_MS: u64 = 400;

/// Time for which an engine or entry is frozen.
const FREEZE_MS: u64 = 1_500;

/// Duration of a fault of the platform. It is longer than a daemon waits for an answer of the platform.
const OUTAGE_MS: u64 = 2_000;

/// Delay of each answer of a slow platform.
const SLOW_DELAY_MS: u64 = 300;

/// Most engines that are frozen at the same time, by SIGSTOP or `EngineFault::Freeze`, so that capacity is left.
const MAX_FAULTY_ENGINES: usize = 4;

/// Faults that are injected into plain services.
const SERVICE_FAULTS: [ServiceFaultKind; 5] = [
    ServiceFaultKind::RunLate,
    ServiceFaultKind::AnswerLate,
    ServiceFaultKind::CloseBeforeRun,
    ServiceFaultKind::CloseAfterRun,
    ServiceFaultKind::DieAfterRun,
];

/// Action that ends a fault.
#[derive(Debug)]
enum FaultEnd {
    /// Resumes the process of an engine that was stopped with SIGSTOP.
    ThawEngine(usize),
    /// Ends `EngineFault::Freeze` of an engine whose process runs.
    WakeEngine(usize),
    /// Resumes the process of an entry that was stopped with SIGSTOP.
    ThawEntry(usize),
    /// Ends the fault of the platform.
    RestorePlatform,
}

/// Injects random faults into a cluster and ends them after a time.
#[derive(Debug)]
pub(super) struct FaultInjector {
    rng: SmallRng,
    /// Number of injected faults by kind.
    counts: BTreeMap<&'static str, u64>,
    /// Active faults that have to be ended, each with its end time.
    pending: Vec<(Instant, FaultEnd)>,
    /// Entry that is shutting down, with the task that waits for its exit.
    shutting_down: Option<(usize, JoinHandle<Result<bool, BenchError>>)>,
}

impl FaultInjector {
    /// Creates an injector without faults.
    pub fn new(rng: SmallRng) -> Self {
        Self { rng, counts: BTreeMap::new(), pending: Vec::new(), shutting_down: None }
    }

    /// Returns the numbers of injected faults by kind.
    pub fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }

    /// Injects faults until `end` and then ends them all. After each fault, sends the current addresses of the daemons'
    /// administration servers to `admin_addrs`, since they change when a daemon restarts.
    pub async fn inject(
        &mut self,
        cluster: &mut Cluster,
        admin_addrs: &watch::Sender<Vec<SocketAddr>>,
        end: Instant,
    ) -> Result<(), BenchError> {
        while Instant::now() < end {
            tokio::time::sleep(Duration::from_millis(FAULT_INTERVAL_MS)).await;
            self.end_due_faults(cluster, Instant::now()).await?;
            self.restart_stopped(cluster).await?;
            self.inject_one(cluster).await?;
            admin_addrs.send_replace(cluster.admin_addrs()?);
        }
        let last = Instant::now() + Duration::from_millis(FREEZE_MS + OUTAGE_MS);
        self.end_due_faults(cluster, last).await?;
        while self.shutting_down.is_some() {
            tokio::time::sleep(Duration::from_millis(FAULT_INTERVAL_MS)).await;
            self.restart_stopped(cluster).await?;
        }
        admin_addrs.send_replace(cluster.admin_addrs()?);
        Ok(())
    }

    /// Ends the faults whose end time has been reached at `now`.
    async fn end_due_faults(&mut self, cluster: &Cluster, now: Instant) -> Result<(), BenchError> {
        let (due, rest) = self.pending.drain(..).partition(|(at, _)| *at <= now);
        self.pending = rest;
        for (_, fault_end) in due {
            match fault_end {
                FaultEnd::ThawEngine(position) => cluster.thaw_engine(position),
                FaultEnd::WakeEngine(position) => {
                    cluster.inject_engine_fault(position, EngineFault::Wake).await?;
                }
                FaultEnd::ThawEntry(position) => {
                    if let Some(process) = cluster.entry(position) {
                        process.thaw();
                    }
                }
                FaultEnd::RestorePlatform => {
                    cluster.inject_platform_fault(PlatformFault::Restore).await?
                }
            }
        }
        Ok(())
    }

    /// Restarts the entry that was shutting down, once its process has ended.
    async fn restart_stopped(&mut self, cluster: &mut Cluster) -> Result<(), BenchError> {
        if self.shutting_down.as_ref().is_some_and(|(_, exit)| exit.is_finished())
            && let Some((position, exit)) = self.shutting_down.take()
        {
            let is_clean = exit.await.is_ok_and(|ended| ended.unwrap_or(false));
            if !is_clean {
                return Err(BenchError::Failed(
                    "an entry did not shut down with exit code 0".to_owned(),
                ));
            }
            cluster.restart_entry(position)?;
        }
        Ok(())
    }

    /// Adds 1 to the number of injected faults of a kind.
    fn count(&mut self, kind: &'static str) {
        *self.counts.entry(kind).or_default() += 1;
    }

    /// Schedules the end of a fault in `wait_ms`.
    fn schedule_end(&mut self, wait_ms: u64, fault_end: FaultEnd) {
        self.pending.push((Instant::now() + Duration::from_millis(wait_ms), fault_end));
    }

    /// Returns the position of a random engine. Returns `None` if that engine or `MAX_FAULTY_ENGINES` engines are
    /// frozen.
    fn pick_engine(&mut self, cluster: &Cluster) -> Option<usize> {
        let busy: Vec<usize> = self
            .pending
            .iter()
            .filter_map(|(_, fault_end)| match fault_end {
                FaultEnd::ThawEngine(position) | FaultEnd::WakeEngine(position) => Some(*position),
                _ => None,
            })
            .collect();
        let position = self.rng.random_range(0..cluster.engine_count());
        (busy.len() < MAX_FAULTY_ENGINES && !busy.contains(&position)).then_some(position)
    }

    /// Returns the position of a random entry, or `None` while any entry is frozen or shutting down. Only one entry has
    /// a fault at a time, since a stream does not survive the simultaneous loss of its entry and of the daemon that
    /// holds its journal replica.
    fn pick_entry(&mut self, cluster: &Cluster) -> Option<usize> {
        let is_frozen =
            self.pending.iter().any(|(_, fault_end)| matches!(fault_end, FaultEnd::ThawEntry(_)));
        let position = self.rng.random_range(0..cluster.entry_count());
        (!is_frozen && self.shutting_down.is_none()).then_some(position)
    }

    /// Injects one random fault.
    async fn inject_one(&mut self, cluster: &mut Cluster) -> Result<(), BenchError> {
        match self.rng.random_range(0..20) {
            0..=9 => self.engine_fault(cluster).await,
            10..=13 => self.entry_fault(cluster),
            14..=16 => self.platform_fault(cluster).await,
            _ => self.service_fault(cluster).await,
        }
    }

    async fn engine_fault(&mut self, cluster: &mut Cluster) -> Result<(), BenchError> {
        let Some(position) = self.pick_engine(cluster) else { return Ok(()) };
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
                self.schedule_end(FREEZE_MS, FaultEnd::ThawEngine(position));
                return Ok(());
            }
            2 => {
                self.count("engine_proxy_silence");
                return cluster
                    .inject_engine_proxy_fault(position, ProxyFault::SilenceExisting)
                    .await;
            }
            3 => {
                self.count("engine_proxy_cut");
                return cluster.inject_engine_proxy_fault(position, ProxyFault::Cut).await;
            }
            4 => ("engine_reset", EngineFault::Reset),
            5 => ("engine_malformed", EngineFault::Malformed { events }),
            6 => ("engine_duplicate", EngineFault::Duplicate { events }),
            7 => ("engine_skip", EngineFault::Skip { events }),
            8 => ("engine_cross", EngineFault::Cross { events }),
            _ => {
                self.schedule_end(FREEZE_MS, FaultEnd::WakeEngine(position));
                ("engine_stop", EngineFault::Freeze)
            }
        };
        self.count(kind);
        cluster.inject_engine_fault(position, fault).await
    }

    fn entry_fault(&mut self, cluster: &mut Cluster) -> Result<(), BenchError> {
        let Some(position) = self.pick_entry(cluster) else { return Ok(()) };
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
                self.schedule_end(FREEZE_MS, FaultEnd::ThawEntry(position));
                Ok(())
            }
            _ => {
                self.count("entry_shutdown");
                if let Some(process) = cluster.terminate_entry(position) {
                    let exit = tokio::task::spawn_blocking(move || process.wait());
                    self.shutting_down = Some((position, exit));
                }
                Ok(())
            }
        }
    }

    async fn platform_fault(&mut self, cluster: &Cluster) -> Result<(), BenchError> {
        let (kind, fault) = match self.rng.random_range(0..5) {
            0 => ("platform_down", PlatformFault::Down),
            1 => ("platform_slow", PlatformFault::Slow { delay_ms: SLOW_DELAY_MS }),
            2 => {
                let writes = self.rng.random_range(1..5);
                ("platform_lost_answers", PlatformFault::LoseNextAnswers { writes })
            }
            3 => {
                self.count("platform_proxy_silence");
                return cluster.inject_platform_proxy_fault(ProxyFault::SilenceExisting).await;
            }
            _ => {
                self.count("platform_proxy_cut");
                return cluster.inject_platform_proxy_fault(ProxyFault::Cut).await;
            }
        };
        self.count(kind);
        self.schedule_end(OUTAGE_MS, FaultEnd::RestorePlatform);
        cluster.inject_platform_fault(fault).await
    }

    async fn service_fault(&mut self, cluster: &mut Cluster) -> Result<(), BenchError> {
        self.count("service");
        let position = self.rng.random_range(0..cluster.service_count());
        let kind = SERVICE_FAULTS[self.rng.random_range(0..SERVICE_FAULTS.len())];
        let wait_ms = self.rng.random_range(100..4_000);
        let fault = ServiceFault { kind, count: self.rng.random_range(1..4), wait_ms };
        // An instance does not answer after an earlier fault has ended its process.
        if cluster.inject_service_fault(position, fault).await.is_err() {
            cluster.restart_service(position, false)?;
        }
        Ok(())
    }
}
