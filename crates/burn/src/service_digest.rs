//! Measurements of one service in a form that can be merged.

use crate::{
    distribution::Distribution, duration_kind::DurationKind, window::WINDOWS,
    window_counts::WindowCounts,
};
use base::ServiceName;
use serde::{Deserialize, Serialize};

/// Measurements of one service.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServiceDigest {
    /// Service.
    pub service: ServiceName,
    /// Counts, one ring for each window.
    pub rings: Vec<WindowCounts>,
    /// Durations of the last half to whole hour.
    pub durations: Vec<(DurationKind, Distribution)>,
}

impl ServiceDigest {
    /// Adds the measurements of another daemon. Rings of windows that this version does not know are left out.
    pub fn merge(&mut self, other: &Self) {
        for ring in &mut self.rings {
            let window = ring.window;
            for added in other.rings.iter().filter(|added| added.window == window) {
                ring.merge(added);
            }
        }
        for (measure, distribution) in &mut self.durations {
            for (_, added) in other.durations.iter().filter(|(added, _)| added == measure) {
                distribution.merge(added);
            }
        }
    }

    /// Ring of the window at this position of `WINDOWS`.
    pub fn window_counts(&self, position: usize) -> Option<&WindowCounts> {
        self.rings.iter().find(|ring| ring.window == WINDOWS[position])
    }
}
