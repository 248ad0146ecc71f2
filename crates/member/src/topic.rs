//! Texts that every daemon has a copy of.

use serde::{Deserialize, Serialize};

/// Texts that every daemon has a copy of.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Topic {
    /// Configuration document.
    Config,
    /// List of VMs.
    Vms,
}

impl Topic {
    /// All topics.
    pub const ALL: [Self; 2] = [Self::Config, Self::Vms];
}
