//! Item of the store that states in which era the registered versions are complete.

use crate::item_error::ItemError;
use serde::{Deserialize, Serialize};

/// Era of the store in which the registered versions are complete: each stream that can still be taken up began at one
/// of them, at a version of a listed instance, or has a record. The statement holds in no other era, because a
/// restoration of the store from an older copy loses registered versions.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CompleteEra {
    /// Number of times that the store has been restored from an older copy.
    pub era: u64,
}

impl CompleteEra {
    /// Value of the item.
    pub fn encode(self) -> String {
        serde_json::json!(self).to_string()
    }

    /// Reads the item.
    ///
    /// # Errors
    ///
    /// `Json` if the value cannot be read.
    pub fn decode(value: &[u8]) -> Result<Self, ItemError> {
        Ok(serde_json::from_slice(value)?)
    }
}
