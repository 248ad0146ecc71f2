//! Measurements of all services in a form that daemons exchange and merge.

use crate::service_digest::ServiceDigest;
use serde::{Deserialize, Serialize};

/// Measurements of all services at one daemon, or merged from several daemons.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct BurnDigest {
    /// Measurements of each service, sorted by name.
    pub services: Vec<ServiceDigest>,
}

impl BurnDigest {
    /// Merges the measurements of another daemon into this digest.
    pub fn merge(&mut self, other: &Self) {
        for digest in &other.services {
            match self.services.binary_search_by(|own| own.service.cmp(&digest.service)) {
                Ok(position) => self.services[position].merge(digest),
                Err(position) => self.services.insert(position, digest.clone()),
            }
        }
    }
}
