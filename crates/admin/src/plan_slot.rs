//! Keys of the platform's key-value store under which plans wait for their confirmation.

use base::{NameError, PlanId};
use rand::{Rng, RngExt};

/// Number of slots, which bounds the number of plans that the platform stores at the same time. A counter of plans is
/// not used for this bound, because it would be another key that must be kept consistent with the plans.
pub(crate) const PLAN_SLOTS: u8 = 64;

/// Number of a key that holds at most one plan. The number is below `PLAN_SLOTS`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct PlanSlot(u8);

impl PlanSlot {
    /// Returns a random slot.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self(rng.random_range(0..PLAN_SLOTS))
    }

    /// Returns the following slot; the first slot follows the last one.
    pub fn next(self) -> Self {
        Self((self.0 + 1) % PLAN_SLOTS)
    }

    /// Returns the slot in a plan's identifier, or `None` if the identifier is malformed or its slot does not exist.
    pub fn from_id(id: &PlanId) -> Option<Self> {
        let (slot, _) = id.as_str().strip_prefix('p')?.split_once('-')?;
        slot.parse().ok().filter(|&slot| slot < PLAN_SLOTS).map(Self)
    }

    /// Creates an identifier for a new plan in this slot. A random part distinguishes it from other plans in this slot.
    ///
    /// # Errors
    ///
    /// Never fails, because the identifier contains only allowed characters.
    pub fn new_id(self, rng: &mut impl Rng) -> Result<PlanId, NameError> {
        PlanId::try_from(format!("p{:02}-{:016x}", self.0, rng.random::<u64>()))
    }

    /// Returns the slot's key on the platform.
    pub fn key(self) -> String {
        format!("plans/p{:02}", self.0)
    }
}
