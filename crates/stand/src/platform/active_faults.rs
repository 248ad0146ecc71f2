//! Decides how the active faults of the platform affect each call.

use crate::platform::fault::PlatformFault;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

/// Delay of calls and loss of responses that are active now.
#[derive(Debug, Default)]
pub(super) struct ActiveFaults {
    /// Delay in milliseconds before each call takes effect.
    pub delay_ms: u64,
    /// Number of next writes whose responses are lost, from `LoseNextAnswers`.
    lost_writes: u32,
    /// Probability from `LoseAnswers` with its random generator; `None` if that fault is not active.
    loss: Option<(f64, SmallRng)>,
}

impl ActiveFaults {
    /// Applies a fault. `Down` and `Silence` are ignored, because `ConnectionFaults` implements them.
    pub fn apply(&mut self, fault: PlatformFault) {
        match fault {
            PlatformFault::Slow { delay_ms } => self.delay_ms = delay_ms,
            PlatformFault::LoseNextAnswers { writes } => self.lost_writes += writes,
            PlatformFault::LoseAnswers { probability, seed } => {
                let probability = probability.clamp(0.0, 1.0);
                self.loss = Some((probability, SmallRng::seed_from_u64(seed)));
            }
            PlatformFault::Restore => *self = Self::default(),
            PlatformFault::Down | PlatformFault::Silence => {}
        }
    }

    /// Returns whether the response to a write that has just taken effect must be lost, and counts down the number of
    /// responses to lose.
    pub fn loses_answer(&mut self) -> bool {
        if self.lost_writes > 0 {
            self.lost_writes -= 1;
            return true;
        }
        self.loss.as_mut().is_some_and(|(probability, rng)| rng.random_bool(*probability))
    }
}
