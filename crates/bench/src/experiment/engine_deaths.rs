//! Experiment `engine-deaths`: every streamed answer stays complete while engines fail.

use crate::{
    bench_error::BenchError,
    experiment::{
        fault_injection::{self, FaultInjectionSettings},
        options::ExperimentOptions,
    },
};
use std::path::Path;

pub(super) async fn run(program: &Path, options: &ExperimentOptions) -> Result<(), BenchError> {
    let settings = FaultInjectionSettings {
        seed: options.seed,
        duration_s: options.duration_s,
        generations: options.generations,
        failures: options.failures,
        preset: options.preset,
        recovery: format!("policy = \"{}\"\n", options.policy),
        callers: 300,
        engines_per_domain: 12,
        tokens: 60,
        token_gap_ms: 41,
        kinds: options.kinds.clone(),
        failure_interval_ms: 40,
    };
    let report = fault_injection::run(program, &settings).await?;
    println!("{}", serde_json::to_string(&report)?);
    if report.is_success() {
        return Ok(());
    }
    let (whole, generations) = (report.whole, report.generations);
    Err(BenchError::Failed(format!("{whole} of {generations} answers are complete")))
}
