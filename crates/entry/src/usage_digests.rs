//! Exchange of the usage of client accounts with other entries.

use crate::{admission::Admission, digest_hook::DigestHook};
use base::VmId;
use limit::UsageDigest;
use std::sync::Arc;

/// Digest hook that encodes the usage of client accounts for heartbeats, and merges the usage that arrives in them.
#[derive(Debug)]
pub(crate) struct UsageDigests {
    pub admission: Arc<Admission>,
}

impl DigestHook for UsageDigests {
    fn digest(&self) -> Vec<u8> {
        self.admission.usage().encode()
    }

    fn receive(&self, from: &VmId, digest: &[u8]) {
        match UsageDigest::decode(digest) {
            Some(usage) => self.admission.merge_usage(&usage),
            None => log::warn!("limit: the account usage in a heartbeat from {from} is not valid"),
        }
    }
}
