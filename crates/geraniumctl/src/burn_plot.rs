//! Plot of the burn rate over a window as SVG.

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

/// Size of a plot in pixels.
const SIZE_PX: (u32, u32) = (560, 220);

/// Size of the labels in pixels.
const LABEL_PX: u32 = 14;

/// Burn rate that spends the budget exactly by its end.
const EVEN_BURN: f64 = 1.0;

/// Seconds in the unit of the time axis: minutes for windows of up to an hour, else hours.
fn unit_s(ring: &WindowCounts) -> (f64, &'static str) {
    if ring.window.length_s() <= 3_600 {
        (60.0, "minutes before the report")
    } else {
        (3_600.0, "hours before the report")
    }
}

/// Burn rate of each slot of `ring` as bars, with a line at the rate that spends the budget exactly.
///
/// # Errors
///
/// `Plot` if the drawing failed.
pub(crate) fn plot(
    ring: &WindowCounts,
    kind: ObjectiveKind,
    budget: f64,
    unix_s: u64,
) -> Result<String, CtlError> {
    let mut svg = String::new();
    draw(&mut svg, ring, kind, budget, unix_s)?;
    Ok(svg)
}

fn draw(
    svg: &mut String,
    ring: &WindowCounts,
    kind: ObjectiveKind,
    budget: f64,
    unix_s: u64,
) -> Result<(), DrawingAreaErrorKind<IoError>> {
    let (unit_s, unit) = unit_s(ring);
    let newest = ring.window.slot_number(unix_s);
    let slot_length = ring.window.slot_s as f64 / unit_s;
    let bars: Vec<(f64, f64)> = ring
        .slots
        .iter()
        .filter(|slot| slot.counts.total > 0 && slot.number <= newest)
        .map(|slot| {
            let part = kind.bad_requests(&slot.counts) as f64 / slot.counts.total as f64;
            (-((newest - slot.number) as f64) * slot_length, part / budget.max(1e-5))
        })
        .collect();
    let highest = bars.iter().map(|bar| bar.1).fold(2.0 * EVEN_BURN, f64::max);
    let start = -(ring.window.slots as f64) * slot_length;
    let area = SVGBackend::with_string(svg, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(8)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(start..slot_length, 0.0..highest * 1.1)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .light_line_style(TRANSPARENT)
        .label_style(("sans-serif", LABEL_PX))
        .x_label_formatter(&|at| format!("{at:.0}"))
        .x_desc(unit)
        .y_desc("burn rate")
        .draw()?;
    chart.draw_series(bars.iter().map(|&(at, burn)| {
        let color = if burn > EVEN_BURN { RED } else { BLUE };
        Rectangle::new([(at, 0.0), (at + slot_length * 0.9, burn)], color.filled())
    }))?;
    let even = PathElement::new(vec![(start, EVEN_BURN), (slot_length, EVEN_BURN)], RED);
    chart.draw_series(std::iter::once(even))?;
    area.present()
}
