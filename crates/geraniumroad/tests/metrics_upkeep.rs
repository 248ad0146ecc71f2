//! Tests of the memory that metrics take.

use geraniumroad::maintain_metrics;
use metrics_exporter_prometheus::PrometheusBuilder;
use std::time::Duration;

/// Largest ratio of the memory after a million calls to that after a hundred thousand.
const MAX_GROWTH: f64 = 1.1;

fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.split_whitespace().next().unwrap().parse().unwrap()
}

/// Guards against memory that grows with each call while nobody reads the metrics.
#[tokio::test]
async fn histograms_do_not_grow_without_a_reader() {
    let recorder = PrometheusBuilder::new().build_recorder();
    tokio::spawn(maintain_metrics(recorder.handle(), Duration::from_millis(1)));
    let mut after_first_kb = 0;
    for call in 0..1_000_000 {
        metrics::with_local_recorder(&recorder, || {
            metrics::histogram!("call_duration_ms").record(f64::from(call % 100));
        });
        if call % 1_000 == 0 {
            tokio::time::sleep(Duration::from_millis(3)).await;
        }
        if call == 100_000 {
            after_first_kb = resident_kb();
        }
    }
    let after_last_kb = resident_kb();
    println!("{after_first_kb} kB after 100,000 calls, {after_last_kb} kB after 1,000,000");
    assert!(after_last_kb as f64 <= after_first_kb as f64 * MAX_GROWTH);
}
