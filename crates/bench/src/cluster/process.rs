//! Starts, signals and kills a child process of a cluster.

use crate::bench_error::BenchError;
use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid};
use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::Path,
    process::{Child, Command, Stdio},
};

/// Child process. Dropping the value kills it, so that a failed test leaves no processes running.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// First line that the process printed: `ready`, followed by its addresses as `key=address`.
    ready_line: String,
}

impl Process {
    /// Starts `program role ARGS…` and waits until the process prints its first line, which must begin with `ready`.
    ///
    /// # Errors
    ///
    /// The process cannot start, ended before it printed a line, or printed another line first.
    pub fn start(program: &Path, args: &[&str]) -> Result<Self, BenchError> {
        let mut child = Command::new(program)
            .arg("role")
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut ready_line = String::new();
        if let Some(stdout) = child.stdout.take() {
            BufReader::new(stdout).read_line(&mut ready_line)?;
        }
        let process = Self { child, ready_line };
        if process.ready_line.starts_with("ready ") {
            Ok(process)
        } else {
            Err(BenchError::NotReady(args.join(" ")))
        }
    }

    /// Returns the address that the process printed as `key=address` in its first line. All roles print `addr`.
    ///
    /// # Errors
    ///
    /// The line contains no valid address with this key.
    pub fn addr(&self, key: &str) -> Result<SocketAddr, BenchError> {
        self.ready_line
            .split_whitespace()
            .filter_map(|word| word.split_once('='))
            .find_map(|(name, value)| (name == key).then(|| value.parse().ok())?)
            .ok_or_else(|| BenchError::NotReady(self.ready_line.clone()))
    }

    /// Returns the process ID.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Stops the process with SIGSTOP, like a paused VM, and waits until all its threads have stopped. Without the
    /// wait, a process on a busy machine would still answer requests for some time after the signal.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = waitid(WaitId::Pid(pid), WaitIdOptions::STOPPED);
        }
    }

    /// Resumes a frozen process with SIGCONT.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Requests a graceful shutdown with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits until the process has ended and returns whether its exit code was 0.
    ///
    /// # Errors
    ///
    /// The operating system refused to wait for the process.
    pub fn wait(mut self) -> Result<bool, BenchError> {
        Ok(self.child.wait()?.success())
    }

    /// Kills the process with SIGKILL.
    pub fn kill(self) {
        drop(self);
    }

    /// Kills the process with SIGKILL and waits until it has ended, so that its address can be bound again.
    pub fn kill_and_wait(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill_and_wait();
    }
}
