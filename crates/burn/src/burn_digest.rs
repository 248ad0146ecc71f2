//! Measurements of all services.

use crate::service_digest::ServiceDigest;
use serde::{Deserialize, Serialize};

/// Measurements of all services, of one daemon or merged.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct BurnDigest {
    /// Services in order of their names.
    pub services: Vec<ServiceDigest>,
}

impl BurnDigest {
    /// Adds the measurements of another daemon.
    pub fn merge(&mut self, other: &Self) {
        for added in &other.services {
            match self.services.binary_search_by(|known| known.service.cmp(&added.service)) {
                Ok(position) => self.services[position].merge(added),
                Err(position) => self.services.insert(position, added.clone()),
            }
        }
    }
}
