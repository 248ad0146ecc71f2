//! Injects random faults into daemons, store, proxies and upstreams, and ends them.

use crate::{
    daemon_process::DaemonProcess, fault_class::FaultClass, soak_error::SoakError,
    test_environment::TestEnvironment,
};
use rand::{RngExt, rngs::SmallRng};
use rustix::process::Signal;
use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

/// Range of the pause between two faults in milliseconds.
const FAULT_PAUSE_MS: std::ops::Range<u64> = 150..900;

/// Upper bound in milliseconds of the time for which a daemon is paused, the store is down or the fault of a proxy
/// lasts.
const MAX_FAULT_MS: u64 = 2_500;

/// Length of an episode.
const EPISODE_TIME: Duration = Duration::from_secs(9);

/// Time without faults, before an episode and draws that are judged while nothing else fails, in which the daemons find each
/// other and the upstreams again.
const CONTACT_TIME: Duration = Duration::from_secs(6);

/// Injects one random fault after another. Faults with a duration overlap, because each of them ends at its own time.
pub(crate) struct FaultInjector {
    pub rng: SmallRng,
    /// Number of injected faults by class.
    pub counts: BTreeMap<FaultClass, u64>,
    /// Classes that have not occurred yet.
    first: VecDeque<FaultClass>,
    /// Positions of the paused daemons, each with the time at which it resumes.
    daemon_resumes: Vec<(usize, Instant)>,
    /// Time at which the store is up again; `None` if it is up.
    store_restore_at: Option<Instant>,
    /// End of the current episode; `None` if there is none.
    episode_end: Option<Instant>,
    /// Whether the daemons have been in contact with each other and with the upstreams since the last fault.
    is_calm: bool,
}

impl FaultInjector {
    /// Creates an injector that draws its faults from `rng`.
    pub fn new(rng: SmallRng) -> Self {
        Self {
            rng,
            counts: BTreeMap::new(),
            first: FaultClass::ALL.into(),
            daemon_resumes: Vec::new(),
            store_restore_at: None,
            episode_end: None,
            is_calm: false,
        }
    }

    /// Injects one fault, waits for a random pause, ends the faults that are due, and restarts daemons whose process
    /// has ended.
    pub async fn inject_next(
        &mut self,
        environment: &mut TestEnvironment,
        daemons: &mut [DaemonProcess],
    ) -> Result<(), SoakError> {
        let daemon = self.rng.random_range(0..daemons.len());
        // The daemons of an episode are in contact with each other and with the upstreams all the time.
        let class = match self.episode_end {
            Some(_) => FaultClass::draw_in_episode(&mut self.rng),
            None => match self.first.pop_front() {
                Some(class) => class,
                None => FaultClass::draw(&mut self.rng),
            },
        };
        *self.counts.entry(class).or_default() += 1;
        match class {
            FaultClass::DaemonKill => daemons[daemon].kill(),
            FaultClass::DaemonStop => daemons[daemon].signal(Signal::TERM),
            FaultClass::DaemonPause => {
                daemons[daemon].signal(Signal::STOP);
                let resume_at = self.random_end();
                self.daemon_resumes.push((daemon, resume_at));
            }
            FaultClass::Reload => daemons[daemon].signal(Signal::HUP),
            FaultClass::StoreOutage => {
                environment.store.set_down(true);
                self.store_restore_at = Some(self.random_end());
            }
            FaultClass::Compaction => environment.store.compact(),
            FaultClass::ConfigChange => environment.change_config(),
            FaultClass::DomainCrash => environment.crash_domain(&mut self.rng).await?,
            FaultClass::Drain => environment.drain_upstream(&mut self.rng).await?,
            FaultClass::ProxyFault => {
                let end = self.random_end();
                environment.inject_proxy_fault(&mut self.rng, end);
            }
            FaultClass::Episode => {
                self.wait_for_contact(environment, daemons).await?;
                environment.begin_episode(&mut self.rng);
                self.episode_end = Some(Instant::now() + EPISODE_TIME);
            }
            FaultClass::Restoration => environment.restore_store().await,
            FaultClass::Release => environment.release_version(&mut self.rng).await?,
            FaultClass::MassKill => daemons.iter_mut().for_each(DaemonProcess::kill),
            FaultClass::UpstreamFaults => environment.inject_upstream_faults(&mut self.rng),
            FaultClass::EndlessResponses => environment.send_endlessly(&mut self.rng),
            FaultClass::ForeignEntries => environment.write_foreign_entries(&mut self.rng),
            FaultClass::LapsedEntry => {
                self.wait_for_contact(environment, daemons).await?;
                environment.lapse_entry(&mut self.rng).await;
            }
            FaultClass::WaitingInstance => {
                self.wait_for_contact(environment, daemons).await?;
                environment.refuse_for_some_time(daemons, &mut self.rng).await;
            }
            FaultClass::WithdrawnKey => {
                self.wait_for_contact(environment, daemons).await?;
                environment.withdraw_key(daemons).await;
            }
            FaultClass::BadVersion | FaultClass::GoodVersion => {
                self.wait_for_contact(environment, daemons).await?;
                environment.roll_out(class == FaultClass::GoodVersion).await?;
            }
            FaultClass::SilentCallers => {
                self.wait_for_contact(environment, daemons).await?;
                environment.crowd_daemon(&daemons[daemon]).await;
            }
        }
        self.is_calm = class.is_calm();
        environment.copy_store();
        environment.update_registry();
        environment.check_memory(daemons);
        let pause_ms = self.rng.random_range(FAULT_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        self.end_due_faults(environment, daemons)
    }

    /// Ends all faults and waits until the daemons have found each other and the upstreams again.
    async fn wait_for_contact(
        &mut self,
        environment: &mut TestEnvironment,
        daemons: &mut [DaemonProcess],
    ) -> Result<(), SoakError> {
        if self.is_calm {
            return Ok(());
        }
        self.end_all(environment, daemons)?;
        tokio::time::sleep(CONTACT_TIME).await;
        self.end_due_faults(environment, daemons)
    }

    /// Ends all faults of the store, the proxies and paused daemons, and restarts daemons whose process has ended.
    pub fn end_all(
        &mut self,
        environment: &mut TestEnvironment,
        daemons: &mut [DaemonProcess],
    ) -> Result<(), SoakError> {
        self.store_restore_at = Some(Instant::now());
        self.episode_end = self.episode_end.map(|_| Instant::now());
        environment.end_proxy_faults();
        for (_, at) in &mut self.daemon_resumes {
            *at = Instant::now();
        }
        self.end_due_faults(environment, daemons)
    }

    /// Returns a random end time for a fault that starts now.
    fn random_end(&mut self) -> Instant {
        Instant::now() + Duration::from_millis(self.rng.random_range(100..MAX_FAULT_MS))
    }

    /// Ends the faults that are due and restarts daemons whose process has ended.
    fn end_due_faults(
        &mut self,
        environment: &mut TestEnvironment,
        daemons: &mut [DaemonProcess],
    ) -> Result<(), SoakError> {
        let now = Instant::now();
        if self.episode_end.is_some_and(|at| at <= now) {
            self.episode_end = None;
            environment.end_episode();
        }
        environment.update_registry();
        environment.end_due_proxy_faults(now);
        if self.store_restore_at.is_some_and(|at| at <= now) {
            self.store_restore_at = None;
            environment.store.set_down(false);
        }
        self.daemon_resumes.retain(|&(daemon, at)| {
            let is_due = at <= now;
            if is_due {
                daemons[daemon].signal(Signal::CONT);
            }
            !is_due
        });
        for daemon in daemons.iter_mut() {
            if daemon.has_ended() {
                environment.violations.extend(daemon.unexpected_end());
                daemon.kill();
                daemon.restart()?;
            }
        }
        Ok(())
    }
}
