//! Software version of a service.

use crate::{item_error::ItemError, software_version::SoftwareVersion};
use base::{ServiceName, stable_hash};
use serde::{Deserialize, Serialize};

/// Software version of a service. Equal versions of two services are not related.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ServiceVersion {
    /// Service that the version belongs to.
    pub service: ServiceName,
    /// Version, as the instances of the service state it.
    pub version: SoftwareVersion,
}

impl ServiceVersion {
    /// Last part of the key under which the version is registered. It is the same at each daemon.
    pub fn key(&self) -> Box<str> {
        format!("{:016x}", stable_hash(&(self.service.as_str(), self.version.as_str()))).into()
    }

    /// Value of the item that registers the version.
    pub fn encode(&self) -> String {
        serde_json::json!({ "service": self.service, "version": self.version }).to_string()
    }

    /// Reads the item that registers a version.
    ///
    /// # Errors
    ///
    /// `Json` if the value cannot be read, `Key` if `key` belongs to another version.
    pub fn decode(key: &str, value: &[u8]) -> Result<Self, ItemError> {
        let software: Self = serde_json::from_slice(value)?;
        if *software.key() == *key { Ok(software) } else { Err(ItemError::Key) }
    }
}
