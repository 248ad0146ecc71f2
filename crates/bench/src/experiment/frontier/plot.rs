//! Draws the resume latency of each point against its extra decoded tokens.

use crate::{bench_error::BenchError, experiment::frontier::point::Point};
use plotters::prelude::{
    BLUE, ChartBuilder, Circle, Color, IntoDrawingArea, LineSeries, RED, SVGBackend, Text, WHITE,
};
use std::path::Path;

/// Size of the plot in pixels.
const SIZE_PX: (u32, u32) = (800, 500);

/// Upper end of an axis as a multiple of the largest value on it.
const AXIS_HEADROOM: f64 = 1.25;

/// Writes the plot of `points` to `path` as SVG.
///
/// # Errors
///
/// The file cannot be written.
pub(super) fn draw(path: &Path, points: &[Point]) -> Result<(), BenchError> {
    try_draw(path, points).map_err(|err| BenchError::Plot(err.to_string()))
}

fn try_draw(path: &Path, points: &[Point]) -> Result<(), Box<dyn std::error::Error>> {
    let axis_end =
        |value: fn(&Point) -> f64| points.iter().map(value).fold(1.0, f64::max) * AXIS_HEADROOM;
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(20)
        .x_label_area_size(45)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..axis_end(extra_tokens_pct), 0.0..axis_end(resume_latency_ms))?;
    chart
        .configure_mesh()
        .x_desc("extra decoded tokens, percent")
        .y_desc("resume latency p95, ms")
        .draw()?;
    let curve = points.iter().filter(|point| !point.is_baseline).map(coordinates);
    chart.draw_series(LineSeries::new(curve, &BLUE))?;
    for point in points {
        let color = if point.is_baseline { RED } else { BLUE };
        let (x, y) = coordinates(point);
        chart.draw_series([Circle::new((x, y), 4, color.filled())])?;
        chart.draw_series([Text::new(point.name, (x, y), ("sans-serif", 14))])?;
    }
    area.present()?;
    Ok(())
}

fn extra_tokens_pct(point: &Point) -> f64 {
    point.report.extra_tokens_pct.max(0.0)
}

fn resume_latency_ms(point: &Point) -> f64 {
    point.report.resume_p95_ms as f64
}

fn coordinates(point: &Point) -> (f64, f64) {
    (extra_tokens_pct(point), resume_latency_ms(point))
}
