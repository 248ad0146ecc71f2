//! Recovery settings that the experiment compares, and the result of each.

use crate::experiment::fault_injection::FaultInjectionReport;
use fleet::Preset;
use serde::Serialize;

/// Recovery settings that one point of the plot shows.
#[derive(Clone, Copy, Debug)]
pub(super) struct PointSettings {
    pub name: &'static str,
    pub preset: Preset,
    /// Lines of the section `[recovery]`.
    pub recovery: &'static str,
    /// Whether the point is a baseline, which is not part of the curve.
    pub is_baseline: bool,
}

/// The two presets `latency` and `economy`, two settings between them on the curve, and two baselines.
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

/// Point of the plot: name of the recovery settings and what was measured with them.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Point {
    pub name: &'static str,
    pub is_baseline: bool,
    #[serde(flatten)]
    pub report: FaultInjectionReport,
}
