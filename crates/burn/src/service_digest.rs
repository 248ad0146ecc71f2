//! Measurements of one service in a form that daemons exchange and merge.

use crate::{
    distribution::Distribution, duration_kind::DurationKind, window::WINDOWS,
    window_counts::WindowCounts,
};
use base::ServiceName;
use serde::{Deserialize, Serialize};

/// Measurements of one service at one daemon, or merged from several daemons.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServiceDigest {
    /// Name of the service.
    pub service: ServiceName,
    /// Request counts of each window.
    pub rings: Vec<WindowCounts>,
    /// Durations of each kind in the last 30 to 60 minutes.
    pub durations: Vec<(DurationKind, Distribution)>,
}

impl ServiceDigest {
    /// Merges the measurements of another daemon into this digest. Windows and kinds of durations that only the other
    /// daemon has, because that daemon runs another version, are left out.
    pub fn merge(&mut self, other: &Self) {
        for own in &mut self.rings {
            let window = own.window;
            for added in other.rings.iter().filter(|added| added.window == window) {
                own.merge(added);
            }
        }
        for (kind, own) in &mut self.durations {
            for (_, added) in other.durations.iter().filter(|(added, _)| added == kind) {
                own.merge(added);
            }
        }
    }

    /// Returns the counts of the window at a position in `WINDOWS`, or `None` if this digest lacks the window, because
    /// it comes from a daemon of another version.
    pub fn window_counts(&self, position: usize) -> Option<&WindowCounts> {
        self.rings.iter().find(|counts| counts.window == WINDOWS[position])
    }
}
