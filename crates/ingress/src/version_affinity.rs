//! Software versions at which the streams of this service's callers began.

use crate::{core::Core, inbound::Inbound, instance::Instance};
use affinity::{Origin, SoftwareVersion};
use base::{HashMap, lock};
use std::sync::Mutex;

/// Software versions at which streams began, by the identifier of the caller's attempt that brought the first event.
#[derive(Debug, Default)]
pub(crate) struct VersionAffinity {
    begun: Mutex<HashMap<Box<str>, SoftwareVersion>>,
}

impl VersionAffinity {
    /// Records that `instance` has sent the first event of a new stream. Call it before the event is released.
    pub fn record_begun(&self, inbound: &Inbound, instance: &Instance) {
        let id = inbound.id_text().into();
        lock(&self.begun).insert(id, instance.entry.software_version.clone());
    }

    /// Finds out at which version the stream began that `inbound` takes up.
    pub async fn origin(&self, _core: &Core, inbound: &Inbound) -> Origin {
        let Some(first_id) = &inbound.resumes else { return Origin::Unknown };
        lock(&self.begun).get(&**first_id).cloned().map_or(Origin::Unknown, Origin::Known)
    }

    /// Whether new streams may begin at the version of `instance`. Until then, other instances are preferred.
    pub fn may_begin_at(&self, _instance: &Instance) -> bool {
        true
    }
}
