//! Plots the burn rate over a window as SVG.

use crate::ctl_error::CtlError;
use burn::{ObjectiveKind, WindowCounts};
use plotters::{
    chart::ChartBuilder,
    prelude::{
        BLUE, Color, DrawingAreaErrorKind, IntoDrawingArea, PathElement, RED, Rectangle,
        SVGBackend, TRANSPARENT, WHITE,
    },
};
use std::io::Error as IoError;

/// Width and height of a plot in pixels.
const SIZE_PX: (u32, u32) = (560, 220);

/// Font size of the labels in pixels.
const LABEL_PX: u32 = 14;

/// Burn rate at which the budget is spent exactly at the end of the budget's period.
const EXACT_BURN_RATE: f64 = 1.0;

/// Returns the unit of the time axis in seconds and its label: minutes for windows of up to 1 h, otherwise hours.
fn time_unit(counts: &WindowCounts) -> (f64, &'static str) {
    if counts.window.length_s() <= 3_600 {
        (60.0, "minutes before the report")
    } else {
        (3_600.0, "hours before the report")
    }
}

/// Draws the burn rate of each slot as a bar, and a line at `EXACT_BURN_RATE`. Returns the SVG text. `unix_s` is the
/// time of the report in seconds since the Unix epoch, at which the plot ends.
///
/// # Errors
///
/// `Plot` if the plot cannot be drawn.
pub(crate) fn plot(
    counts: &WindowCounts,
    kind: ObjectiveKind,
    budget: f64,
    unix_s: u64,
) -> Result<String, CtlError> {
    let mut svg = String::new();
    draw(&mut svg, counts, kind, budget, unix_s)?;
    Ok(svg)
}

fn draw(
    svg: &mut String,
    counts: &WindowCounts,
    kind: ObjectiveKind,
    budget: f64,
    unix_s: u64,
) -> Result<(), DrawingAreaErrorKind<IoError>> {
    let (unit_s, unit) = time_unit(counts);
    let newest = counts.window.slot_number(unix_s);
    let slot_length = counts.window.slot_s as f64 / unit_s;
    // Start of each slot in units before the report, and its burn rate.
    let bars: Vec<(f64, f64)> = counts
        .slots
        .iter()
        .filter(|slot| slot.counts.total > 0 && slot.number <= newest)
        .map(|slot| {
            let bad_ratio = kind.bad_requests(&slot.counts) as f64 / slot.counts.total as f64;
            (-((newest - slot.number) as f64) * slot_length, bad_ratio / budget.max(1e-5))
        })
        .collect();
    let max_burn_rate = bars.iter().map(|bar| bar.1).fold(2.0 * EXACT_BURN_RATE, f64::max);
    let start = -(counts.window.slots as f64) * slot_length;
    let area = SVGBackend::with_string(svg, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(8)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(start..slot_length, 0.0..max_burn_rate * 1.1)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .light_line_style(TRANSPARENT)
        .label_style(("sans-serif", LABEL_PX))
        .x_label_formatter(&|at| format!("{at:.0}"))
        .x_desc(unit)
        .y_desc("burn rate")
        .draw()?;
    chart.draw_series(bars.iter().map(|&(at, burn_rate)| {
        let color = if burn_rate > EXACT_BURN_RATE { RED } else { BLUE };
        Rectangle::new([(at, 0.0), (at + slot_length * 0.9, burn_rate)], color.filled())
    }))?;
    let exact_line =
        PathElement::new(vec![(start, EXACT_BURN_RATE), (slot_length, EXACT_BURN_RATE)], RED);
    chart.draw_series(std::iter::once(exact_line))?;
    area.present()
}
