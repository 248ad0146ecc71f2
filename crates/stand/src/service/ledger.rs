//! Counts the executed requests of a service, and records them in a file.

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

/// Counts of executed requests, in total, by idempotency key and by request id; sent as the response to
/// `GET /control/runs`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunReport {
    /// Number of executed requests.
    pub total: u64,
    /// Number of executions for each idempotency key, under `service/key`. Requests without a key are not included.
    pub by_key: BTreeMap<String, u64>,
    /// Number of executions for each request id; the empty id stands for requests without one.
    pub by_request_id: BTreeMap<String, u64>,
    /// Number of executed requests with [`Run::is_late`].
    pub late: u64,
}

impl RunReport {
    /// Counts the executions in a ledger file, to which all instances of a service append.
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

    /// Counts an execution and appends it to the file, if there is one. Each line is a single write in append mode, so
    /// that the lines of several instances do not interleave.
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
