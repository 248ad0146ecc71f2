//! Injects random faults into daemons, store, proxies and upstreams, and ends them.

use crate::{
    daemon_process::DaemonProcess, soak_error::SoakError, test_environment::TestEnvironment,
};
use rand::{RngExt, rngs::SmallRng};
use rustix::process::Signal;
use std::time::{Duration, Instant};

/// Range of the pause between two faults in milliseconds.
const FAULT_PAUSE_MS: std::ops::Range<u64> = 150..900;

/// Upper bound in milliseconds of the time for which a daemon is paused, the store is down or the fault of a proxy
/// lasts.
const MAX_FAULT_MS: u64 = 2_500;

/// Fault that begins an episode: engines crash on one part of a prompt, and an upstream names a limit.
const EPISODE: u32 = 12;

/// Fault that restores the store from an older copy.
const RESTORATION: u32 = 13;

/// Fault that releases another software version of the engines.
const RELEASE: u32 = 14;

/// Fault that kills all daemons at once.
const MASS_KILL: u32 = 15;

/// Number of the fault that is always a release, so that each soak has one.
const FIRST_RELEASE: u64 = 2;

/// Number of the fault that always kills all daemons.
const FIRST_MASS_KILL: u64 = 3;

/// Number of the fault that is always an episode, so that each soak has one.
const FIRST_EPISODE: u64 = 4;

/// Length of an episode.
const EPISODE_TIME: Duration = Duration::from_secs(9);

/// Time without faults before an episode, in which the daemons find each other and the upstreams again.
const CONTACT_TIME: Duration = Duration::from_secs(6);

/// Faults that are injected during an episode: reloads, changes of the configuration, restorations of the store, drained
/// upstreams, and the loss of engines, which could be mistaken for crashes on a part.
const EPISODE_FAULTS: [u32; 5] = [3, 6, 7, 8, RESTORATION];

/// Injects one random fault after another. Faults with a duration overlap, because each of them ends at its own time.
pub(crate) struct FaultInjector {
    pub rng: SmallRng,
    /// Number of injected faults.
    pub count: u64,
    /// Positions of the paused daemons, each with the time at which it resumes.
    daemon_resumes: Vec<(usize, Instant)>,
    /// Time at which the store is up again; `None` if it is up.
    store_restore_at: Option<Instant>,
    /// End of the current episode; `None` if there is none.
    episode_end: Option<Instant>,
}

impl FaultInjector {
    /// Creates an injector that draws its faults from `rng`.
    pub fn new(rng: SmallRng) -> Self {
        Self {
            rng,
            count: 0,
            daemon_resumes: Vec::new(),
            store_restore_at: None,
            episode_end: None,
        }
    }

    /// Injects one fault, waits for a random pause, ends the faults that are due, and restarts daemons whose process
    /// has ended.
    pub async fn inject_next(
        &mut self,
        environment: &mut TestEnvironment,
        daemons: &mut [DaemonProcess],
    ) -> Result<(), SoakError> {
        self.count += 1;
        let daemon = self.rng.random_range(0..daemons.len());
        // The daemons of an episode are in contact with each other and with the upstreams all the time.
        let fault = match self.episode_end {
            Some(_) => EPISODE_FAULTS[self.rng.random_range(0..EPISODE_FAULTS.len())],
            None if self.count == FIRST_RELEASE => RELEASE,
            None if self.count == FIRST_MASS_KILL => MASS_KILL,
            None if self.count == FIRST_EPISODE => EPISODE,
            None => self.rng.random_range(0..=MASS_KILL),
        };
        match fault {
            0 => daemons[daemon].kill(),
            1 => daemons[daemon].signal(Signal::TERM),
            2 => {
                daemons[daemon].signal(Signal::STOP);
                let resume_at = self.random_end();
                self.daemon_resumes.push((daemon, resume_at));
            }
            3 => daemons[daemon].signal(Signal::HUP),
            4 => {
                environment.store.set_down(true);
                self.store_restore_at = Some(self.random_end());
            }
            5 => environment.store.compact(),
            6 => environment.change_config(),
            7 => environment.crash_domain(&mut self.rng).await?,
            8 => environment.drain_upstream(&mut self.rng).await?,
            9 | 10 => {
                let end = self.random_end();
                environment.inject_proxy_fault(&mut self.rng, end);
            }
            EPISODE => {
                self.end_all(environment, daemons)?;
                tokio::time::sleep(CONTACT_TIME).await;
                self.end_due_faults(environment, daemons)?;
                environment.begin_episode(&mut self.rng);
                self.episode_end = Some(Instant::now() + EPISODE_TIME);
            }
            RESTORATION => environment.restore_store().await,
            RELEASE => environment.release_version(&mut self.rng).await?,
            MASS_KILL => daemons.iter_mut().for_each(DaemonProcess::kill),
            _ => environment.inject_upstream_faults(&mut self.rng),
        }
        environment.copy_store();
        environment.update_registry();
        let pause_ms = self.rng.random_range(FAULT_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
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
                daemon.kill();
                daemon.restart()?;
            }
        }
        Ok(())
    }
}
