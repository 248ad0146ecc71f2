//! Choice of the daemons that read the platform.

use crate::member::Member;
use base::{DomainName, VmId};
use std::hash::{DefaultHasher, Hash, Hasher};

/// The `count` members of a failure domain that read the platform: those with the lowest hash of their identifier.
///
/// Daemons with different live sets may choose differently for a short time. This costs a few platform calls and breaks
/// nothing, so no lock is needed.
pub fn platform_readers<'m>(
    live: &'m [Member],
    domain: &DomainName,
    count: usize,
) -> Vec<&'m VmId> {
    let mut ids: Vec<&VmId> =
        live.iter().filter(|member| member.domain == *domain).map(|member| &member.id).collect();
    ids.sort_by_cached_key(|id| (rank(id), (*id).clone()));
    ids.truncate(count);
    ids
}

fn rank(id: &VmId) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
