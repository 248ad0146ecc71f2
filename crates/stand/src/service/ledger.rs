//! Ledger of all executed requests.

use crate::service::run::Run;
use base::lock;
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    fs::{File, OpenOptions},
    io::{Result as IoResult, Write},
    path::Path,
    sync::Mutex,
};

/// Numbers of executions, response to `GET /control/runs`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunReport {
    /// Total number of executions.
    pub total: u64,
    /// Executions per `service/idempotency key`.
    pub by_key: BTreeMap<String, u64>,
    /// Executions per request id.
    pub by_request_id: BTreeMap<String, u64>,
    /// Executions of requests that arrived more than 3 s after the instance started to leave.
    pub late: u64,
}

impl RunReport {
    /// Reads the ledger file, to which all instances of a service append.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or a line is not a JSON-encoded [`Run`].
    pub fn read(path: &Path) -> IoResult<Self> {
        let mut report = Self::default();
        for line in std::fs::read_to_string(path)?.lines() {
            report.add(&serde_json::from_str(line)?);
        }
        Ok(report)
    }

    fn add(&mut self, run: &Run) {
        self.total += 1;
        self.late += u64::from(run.is_late);
        if !run.key.is_empty() {
            *self.by_key.entry(format!("{}/{}", run.service, run.key)).or_default() += 1;
        }
        *self.by_request_id.entry(run.request_id.clone()).or_default() += 1;
    }
}

/// Ledger of the executions at one instance, optionally also appended to a file that survives the process.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    report: Mutex<RunReport>,
    file: Option<File>,
}

impl Ledger {
    pub fn open(path: Option<&Path>) -> IoResult<Self> {
        let file = match path {
            Some(path) => Some(OpenOptions::new().append(true).create(true).open(path)?),
            None => None,
        };
        Ok(Self { report: Mutex::default(), file })
    }

    /// Records an execution. Each line is a single write in append mode, so that the lines of several instances do not
    /// interleave.
    pub fn add(&self, run: &Run) -> IoResult<()> {
        if let Some(mut file) = self.file.as_ref() {
            let mut line = serde_json::to_vec(run)?;
            line.push(b'\n');
            file.write_all(&line)?;
        }
        lock(&self.report).add(run);
        Ok(())
    }

    pub fn report(&self) -> RunReport {
        lock(&self.report).clone()
    }
}
