//! Runs `geraniumctl`, the operators' program, against a daemon of a cluster.

use crate::bench_error::BenchError;
use std::{
    net::SocketAddr,
    path::Path,
    process::{Command, Stdio},
};

/// Exit code and output of the operators' program.
#[derive(Clone, Debug)]
pub struct CtlOutcome {
    /// Exit code, or 255 if a signal ended the process.
    pub code: i32,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

impl CtlOutcome {
    /// Runs `program` in the role of the operators' program and waits until it has ended. `server` is the address of
    /// the administration server of a daemon, `key` the operator's key.
    ///
    /// # Errors
    ///
    /// The process cannot start.
    pub fn run(
        program: &Path,
        server: SocketAddr,
        key: &str,
        args: &[&str],
    ) -> Result<Self, BenchError> {
        let output = Command::new(program)
            .args(["role", "ctl"])
            .args(args)
            .env("GERANIUMCTL_SERVER", server.to_string())
            .env("GERANIUMCTL_KEY", key)
            .env_remove("GERANIUMCTL_ACCESS")
            .stdin(Stdio::null())
            .output()?;
        Ok(Self {
            code: output.status.code().unwrap_or(255),
            stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        })
    }
}
