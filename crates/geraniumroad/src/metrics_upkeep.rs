//! Periodic upkeep of the metrics recorder.

use metrics_exporter_prometheus::PrometheusHandle;
use std::time::Duration;

/// Interval between two upkeeps of a daemon.
pub(crate) const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Summarizes the recorded values of histograms every `interval`. The recorder keeps each value until then, and
/// summarizes by itself only when the metrics are rendered.
pub async fn maintain_metrics(metrics: PrometheusHandle, interval: Duration) {
    loop {
        tokio::time::sleep(interval).await;
        metrics.run_upkeep();
    }
}
