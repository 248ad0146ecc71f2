//! Evidence that daemons exchange.

use crate::{crash::Crash, survival::Survival};
use serde::{Deserialize, Serialize};

/// Crashes and survivals that one daemon tells another. Merging the same evidence twice has no effect.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evidence {
    pub crashes: Vec<Crash>,
    pub survivals: Vec<Survival>,
}

impl Evidence {
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.survivals.is_empty()
    }
}
