//! Place of a plan in the platform.

use base::{NameError, PlanId};
use rand::{Rng, RngExt};

/// Plans that the platform holds at a time. The number is bounded by the keys themselves, because a count of plans
/// would be a second key that has to be kept in step.
pub(crate) const PLAN_SLOTS: u8 = 64;

/// Place of a plan.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct PlanSlot(u8);

impl PlanSlot {
    /// A place at random.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self(rng.random_range(0..PLAN_SLOTS))
    }

    /// The place after this one.
    pub fn next(self) -> Self {
        Self((self.0 + 1) % PLAN_SLOTS)
    }

    /// Place that an identifier names, if it is well-formed.
    pub fn from_id(id: &PlanId) -> Option<Self> {
        let (slot, _) = id.as_str().strip_prefix('p')?.split_once('-')?;
        slot.parse().ok().filter(|&slot| slot < PLAN_SLOTS).map(Self)
    }

    /// Identifier of a new plan in this place; its random part is the plan's nonce.
    ///
    /// # Errors
    ///
    /// Does not happen: the identifier has allowed characters only.
    pub fn new_id(self, rng: &mut impl Rng) -> Result<PlanId, NameError> {
        PlanId::try_from(format!("p{:02}-{:016x}", self.0, rng.random::<u64>()))
    }

    /// Key of the platform.
    pub fn key(self) -> String {
        format!("plans/p{:02}", self.0)
    }
}
