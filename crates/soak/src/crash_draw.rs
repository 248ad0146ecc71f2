//! Drawn way in which upstreams crash during an episode.

use platform_stand::CrashStyle;
use rand::{Rng, RngExt};

/// How upstreams crash during an episode.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrashDraw {
    /// What an engine sends before it crashes.
    pub style: CrashStyle,
    /// Time for which a process answers on new connections after it has cut the others.
    pub answers_ms: u64,
    /// Time for which an upstream is down.
    pub down_ms: u64,
}

impl CrashDraw {
    /// Draws a way to crash.
    pub fn draw(rng: &mut impl Rng) -> Self {
        Self {
            style: CrashStyle::ALL[rng.random_range(0..CrashStyle::ALL.len())],
            answers_ms: [0, 20, 150][rng.random_range(0..3)],
            down_ms: rng.random_range(700..3_000),
        }
    }
}
