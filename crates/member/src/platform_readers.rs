//! Selection of the daemons that read the platform.

use crate::member::Member;
use base::{DomainName, VmId, stable_hash};

/// Selects the members of a failure domain that read the platform: the `count` members with the lowest hash of their
/// identifier.
///
/// No lock is needed: daemons whose live sets differ may select different readers for a short time, which only costs a
/// few extra platform calls.
pub fn platform_readers<'m>(
    live: &'m [Member],
    domain: &DomainName,
    count: usize,
) -> Vec<&'m VmId> {
    let mut ids: Vec<&VmId> =
        live.iter().filter(|member| member.domain == *domain).map(|member| &member.id).collect();
    ids.sort_by_cached_key(|id| (id_hash(id), (*id).clone()));
    ids.truncate(count);
    ids
}

fn id_hash(id: &VmId) -> u64 {
    stable_hash(id)
}
