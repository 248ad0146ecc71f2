//! Experiment `frontier`: trade-off of recovery policies between resume latency and extra work of engines.

mod plot;
mod point;

use crate::{
    bench_error::BenchError,
    experiment::{
        fault_injection::{self, FailureKind, FaultInjectionSettings},
        frontier::point::{POINTS, Point},
        options::ExperimentOptions,
    },
};
use serde_json::json;
use std::path::Path;

/// Directory of the plot, relative to the current directory. Without this directory, no plot is written.
const PLOT_DIRECTORY: &str = "docs";

/// Measures one point of the plot after another, each with a new cluster for `options.duration_s`.
pub(super) async fn run(program: &Path, options: &ExperimentOptions) -> Result<(), BenchError> {
    let mut points = Vec::new();
    for settings in POINTS {
        let injection = FaultInjectionSettings {
            seed: options.seed,
            duration_s: options.duration_s,
            generations: options.generations,
            failures: options.failures,
            preset: settings.preset,
            recovery: settings.recovery.to_owned(),
            callers: 100,
            engines_per_domain: 8,
            tokens: 100,
            token_gap_ms: 41,
            kinds: vec![FailureKind::Kill, FailureKind::Freeze],
            failure_interval_ms: 250,
        };
        let report = fault_injection::run(program, &injection).await?;
        if !options.is_json {
            println!("{}: {}", settings.name, serde_json::to_string(&report)?);
        }
        let (name, is_baseline) = (settings.name, settings.is_baseline);
        points.push(Point { name, is_baseline, report });
    }
    let directory = Path::new(PLOT_DIRECTORY);
    if directory.is_dir() {
        plot::draw(&directory.join("recovery-frontier.svg"), &points)?;
    }
    println!("{}", json!({ "points": points }));
    match points.iter().find(|point| !point.report.is_success()) {
        None => Ok(()),
        Some(point) => {
            Err(BenchError::Failed(format!("{}: not every answer is complete", point.name)))
        }
    }
}
