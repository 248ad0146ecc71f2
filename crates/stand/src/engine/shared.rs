//! State that the request handler and the scheduler task of an engine share.

use crate::{
    engine::{
        fault::EngineFault, scheduler::Scheduler, settings::EngineSettings, versions::Versions,
    },
    net::ConnectionFaults,
};
use base::lock;
use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::{
    sync::{Notify, watch},
    time::Instant,
};
use wire::engine::{EngineRole, EngineState};

/// State of an engine. If both locks are needed, `ordered` is locked before `scheduler`.
#[derive(Debug)]
pub(super) struct Shared {
    pub settings: EngineSettings,
    pub connection_faults: Arc<ConnectionFaults>,
    /// Notified when a sequence is queued, so that the scheduler task continues.
    pub work_available: Notify,
    start: Instant,
    scheduler: Mutex<Scheduler>,
    ordered: Mutex<OrderedState>,
    is_frozen: watch::Sender<bool>,
}

/// Model versions, role and fencing token, which orders change.
#[derive(Debug)]
pub(super) struct OrderedState {
    pub versions: Versions,
    pub role: EngineRole,
    pub last_fencing_token: u64,
}

impl Shared {
    pub fn new(settings: EngineSettings) -> Self {
        let scheduler = Mutex::new(Scheduler::new(&settings));
        let ordered = Mutex::new(OrderedState {
            versions: Versions::new(settings.loaded.clone()),
            role: settings.role,
            last_fencing_token: 0,
        });
        Self {
            settings,
            connection_faults: Arc::default(),
            work_available: Notify::new(),
            start: Instant::now(),
            scheduler,
            ordered,
            is_frozen: watch::Sender::new(false),
        }
    }

    pub fn now_us(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    pub fn scheduler(&self) -> MutexGuard<'_, Scheduler> {
        lock(&self.scheduler)
    }

    pub fn ordered_state(&self) -> MutexGuard<'_, OrderedState> {
        lock(&self.ordered)
    }

    /// Waits until the engine is not frozen.
    pub async fn wait_until_awake(&self) {
        let _ = self.is_frozen.subscribe().wait_for(|is_frozen| !is_frozen).await;
    }

    /// Activates a fault.
    pub fn inject_fault(&self, fault: EngineFault) {
        match fault {
            EngineFault::Reset => self.connection_faults.reset_existing(),
            EngineFault::Refuse => self.connection_faults.refuse(),
            EngineFault::SilenceExisting => self.connection_faults.silence_existing(),
            EngineFault::Silence => self.connection_faults.silence_all(),
            EngineFault::Freeze => {
                self.is_frozen.send_replace(true);
            }
            EngineFault::Wake => {
                self.is_frozen.send_replace(false);
            }
            EngineFault::Malformed { .. }
            | EngineFault::Duplicate { .. }
            | EngineFault::Skip { .. }
            | EngineFault::Cross { .. } => self.scheduler().event_faults.add(fault),
            EngineFault::Leave => self.scheduler().is_leaving = true,
            EngineFault::Restore => {
                self.connection_faults.restore();
                let mut scheduler = self.scheduler();
                scheduler.event_faults.add(fault);
                scheduler.is_leaving = false;
            }
        }
    }

    /// Returns the current versions, role, load and counters.
    pub fn state(&self) -> EngineState {
        let (load, active, counters) = {
            let scheduler = self.scheduler();
            (scheduler.load(), scheduler.active(), scheduler.counters)
        };
        let ordered = self.ordered_state();
        EngineState {
            loaded: ordered.versions.loaded.clone(),
            loading: ordered.versions.loading.clone(),
            role: ordered.role,
            last_fencing_token: ordered.last_fencing_token,
            load,
            active,
            counters,
        }
    }

    /// Runs the steps of the scheduler whenever a sequence is queued or running; never completes.
    pub async fn run_steps(&self) {
        let gap = Duration::from_millis(self.settings.token_gap_ms.max(1));
        let mut next_step = Instant::now();
        loop {
            if *self.is_frozen.borrow() {
                self.wait_until_awake().await;
                let now_us = self.now_us();
                self.scheduler().reset_step_time(now_us);
            }
            if self.scheduler().is_idle() {
                self.work_available.notified().await;
                continue;
            }
            tokio::time::sleep_until(next_step).await;
            let now_us = self.now_us();
            self.scheduler().step(now_us);
            // If this step was late by more than one gap, the next one is due now. Missed steps are skipped, since
            // making up for them would generate tokens in a burst.
            next_step = Instant::now().max(next_step + gap);
        }
    }
}
