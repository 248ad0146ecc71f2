//! Evidence that daemons exchange.

use crate::{crash::Crash, survival::Survival};
use serde::{Deserialize, Serialize};

/// Crashes and survivals that one daemon tells another. Merging the same evidence twice has no effect.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evidence {
    pub crashes: Vec<Crash>,
    pub survivals: Vec<Survival>,
    /// Time since an engine last survived any request; `None` if that is not known.
    pub any_survival_age_ms: Option<u64>,
}

impl Evidence {
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.survivals.is_empty()
    }
}
