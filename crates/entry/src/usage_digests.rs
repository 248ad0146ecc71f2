//! Exchange of the usage of client accounts in heartbeats.

use crate::{admission::Admission, digest_hook::DigestHook};
use base::VmId;
use limit::UsageDigest;
use std::sync::Arc;

/// Sends and receives the usage of client accounts in the digests of heartbeats.
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
            None => log::warn!("limit: the usage from {from} is not valid"),
        }
    }
}
