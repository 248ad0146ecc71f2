//! Reads the metrics that a daemon exports under `/metrics`.

use crate::bench_error::BenchError;
use std::net::SocketAddr;
use web::{Client, Method};

/// Timeout of a request for the metrics of a daemon.
const METRICS_TIMEOUT_MS: u64 = 5_000;

/// Response of a daemon to `GET /metrics`, with one line `name value` for each metric without labels.
#[derive(Debug)]
pub(super) struct Metrics(String);

impl Metrics {
    /// Reads the metrics of the daemon at `addr`.
    pub async fn read(addr: SocketAddr) -> Result<Self, BenchError> {
        let reply = Client::new(addr, METRICS_TIMEOUT_MS).send(Method::GET, "/metrics").await?;
        Ok(Self(String::from_utf8_lossy(&reply.body).into_owned()))
    }

    /// Returns the value of a metric without labels; 0 if the daemon does not report it.
    pub fn value(&self, name: &str) -> f64 {
        let mut words = self.0.lines().filter_map(|line| line.split_once(' '));
        words.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse().ok()).unwrap_or(0.0)
    }
}
