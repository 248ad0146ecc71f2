//! Starts, signals and kills the daemons of a soak.

use crate::{
    loopback_net::LoopbackNet,
    rollout_draws::{EXPOSURE_SHARE, EXPOSURE_SLACK, ROLLBACK},
    soak_error::SoakError,
};
use rustix::process::{Pid, Signal, kill_process};
use std::{
    fs::File,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

/// Port for client requests. All daemons use it, since each has its own loopback address.
pub(crate) const ENTRY_PORT: u16 = 18_740;

/// Port of the readiness probe.
pub(crate) const READY_PORT: u16 = 18_749;

/// First port of the range that the daemons use for internal connections.
const FIRST_INTERNAL_PORT: u16 = 17_200;

/// Memory of the VM that the settings of each daemon state.
pub(crate) const MEMORY_MB: u64 = 128;

/// Time after the start of a process in which a reload may end it, because it installs its handlers of signals last.
const START_TIME: Duration = Duration::from_secs(5);

/// Grace period of the daemon's shutdown in seconds, from SIGTERM to SIGKILL.
pub(crate) const GRACE_S: u64 = 8;

/// Daemon that runs as a separate process on its own loopback address.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Address for client requests.
    pub entry_addr: SocketAddr,
    /// Address of the readiness probe.
    pub ready_addr: SocketAddr,
    program: PathBuf,
    settings_path: PathBuf,
    /// File to which standard output and standard error of each process are appended.
    log_path: PathBuf,
    /// Process of the daemon; `None` after `kill`.
    child: Option<Child>,
    /// When the process was started.
    started: Instant,
    /// Whether the process was told to stop, or to reload while it started.
    may_end: bool,
}

impl DaemonProcess {
    /// Writes the settings of the daemon `number` and starts the daemon at its address in `net`. `store` is the address
    /// of the store or of a proxy to it.
    pub fn start(
        program: &Path,
        dir: &Path,
        net: &LoopbackNet,
        number: u8,
        domain: &str,
        store: SocketAddr,
    ) -> Result<Self, SoakError> {
        let ip = net.ip(number);
        let entry_addr = SocketAddr::from((ip, ENTRY_PORT));
        let ready_addr = SocketAddr::from((ip, READY_PORT));
        let settings_path = dir.join(format!("daemon-{number}.json"));
        let text = format!(
            r#"{{"node_name":"daemon-{number}","zone":"{domain}",
            "listen":{{"front":"{entry_addr}","ready":"{ready_addr}"}},
            "internal_port_range":[{FIRST_INTERNAL_PORT},{}],
            "limits":{{"memory_mb":{MEMORY_MB}}},
            "bounds":{{"grace_s":{GRACE_S},"retry_budget_ratio":0.8,"retry_budget_slack":150,"budget_window_s":10,
            "exposure_share":{EXPOSURE_SHARE},"exposure_slack":{EXPOSURE_SLACK},"rollback_ms":{}}},
            "platform":{{"address":"{store}"}}}}"#,
            FIRST_INTERNAL_PORT + 15,
            ROLLBACK.as_millis()
        );
        std::fs::write(&settings_path, text)?;
        let log_path = dir.join(format!("daemon-{number}.log"));
        let program = program.to_owned();
        let mut daemon = Self {
            entry_addr,
            ready_addr,
            program,
            settings_path,
            log_path,
            child: None,
            started: Instant::now(),
            may_end: false,
        };
        daemon.restart()?;
        Ok(daemon)
    }

    /// Starts a process with the existing settings. The previous process must have ended.
    pub fn restart(&mut self) -> Result<(), SoakError> {
        let log = File::options().create(true).append(true).open(&self.log_path)?;
        let child = Command::new(&self.program)
            .arg("serve")
            .arg("--settings")
            .arg(&self.settings_path)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        self.started = Instant::now();
        self.may_end = false;
        Ok(())
    }

    /// Sends a signal to the process if it has been started.
    pub fn signal(&mut self, signal: Signal) {
        let is_starting = self.started.elapsed() < START_TIME;
        self.may_end |= signal == Signal::TERM || signal == Signal::HUP && is_starting;
        let Some(child) = &self.child else { return };
        if let Some(pid) = i32::try_from(child.id()).ok().and_then(Pid::from_raw) {
            // If the process has ended, its pid has not been reused, because nothing has waited for the process yet.
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns whether the process has ended or was killed.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => !matches!(child.try_wait(), Ok(None)),
            None => true,
        }
    }

    /// Describes the end of a process that has ended by itself; `None` if it lives, or was killed or told to stop.
    pub fn unexpected_end(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok().flatten()?;
        let name = self.settings_path.file_stem()?.to_string_lossy().into_owned();
        (!self.may_end).then(|| format!("{name} has ended by itself: {status}"))
    }

    /// Largest resident memory of the process since its start, in bytes; `None` if it has ended.
    pub fn peak_memory_bytes(&self) -> Option<u64> {
        let pid = self.child.as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        Some(line.split_whitespace().next()?.parse::<u64>().ok()? * 1_024)
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
