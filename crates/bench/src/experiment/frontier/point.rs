//! Point of the trade-off between resume latency and extra resource use.

use crate::experiment::storm::StormReport;
use fleet::Preset;
use serde::Serialize;

/// Policy that is measured.
#[derive(Clone, Copy, Debug)]
pub(super) struct PointSettings {
    pub name: &'static str,
    pub preset: Preset,
    /// Lines of the section `[recovery]`.
    pub recovery: &'static str,
    /// Whether the point is a baseline and no point of the curve.
    pub is_baseline: bool,
}

/// Presets, the curve between them, and the baselines.
pub(super) const POINTS: [PointSettings; 6] = [
    PointSettings { name: "latency", preset: Preset::Latency, recovery: "", is_baseline: false },
    PointSettings {
        name: "floor 600 ms, factor 12",
        preset: Preset::Latency,
        recovery: "silence_floor_ms = 600\nsilence_factor = 12\n",
        is_baseline: false,
    },
    PointSettings {
        name: "floor 900 ms, factor 18",
        preset: Preset::Latency,
        recovery: "silence_floor_ms = 900\nsilence_factor = 18\n",
        is_baseline: false,
    },
    PointSettings { name: "economy", preset: Preset::Economy, recovery: "", is_baseline: false },
    PointSettings {
        name: "resume after fixed timeout",
        preset: Preset::Economy,
        recovery: "policy = \"fixed-timeout\"\n",
        is_baseline: true,
    },
    PointSettings {
        name: "restart from nothing",
        preset: Preset::Economy,
        recovery: "policy = \"restart\"\n",
        is_baseline: true,
    },
];

/// Measured point.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Point {
    pub name: &'static str,
    pub is_baseline: bool,
    #[serde(flatten)]
    pub report: StormReport,
}
