//! Assignment of roles to the engines of a service.

use base::{HashMap, ServiceName, VmId};
use fleet::{Document, EngineRole as ConfiguredRole};
use wire::engine::EngineRole;

/// Maps a role of the configuration to a role of the engine API. Decoding is the work of long generations, prefill that
/// of short requests.
fn engine_role(role: ConfiguredRole) -> EngineRole {
    match role {
        ConfiguredRole::Decode => EngineRole::Long,
        ConfiguredRole::Mixed => EngineRole::General,
        ConfiguredRole::Prefill => EngineRole::Short,
    }
}

/// Returns the desired role of each engine, or an empty map if the configuration leaves the roles to the engines.
///
/// Engines that already have a configured role keep it up to the configured count. The remaining roles are assigned in
/// the order of the engine identifiers, and all other engines get the general role.
pub(crate) fn wanted_roles(
    document: &Document,
    service: &ServiceName,
    engines: &[(VmId, EngineRole)],
) -> HashMap<VmId, EngineRole> {
    let mut wanted = HashMap::default();
    let models = document.models.iter().filter(|model| model.service == *service);
    let counts: Vec<_> = models.flat_map(|model| &model.roles).collect();
    if counts.is_empty() {
        return wanted;
    }
    let mut unassigned = engines.to_vec();
    unassigned.sort_by(|a, b| a.0.cmp(&b.0));
    for count in counts {
        let role = engine_role(count.role);
        for _ in 0..count.engines {
            let current = unassigned.iter().position(|(_, has)| *has == role);
            if unassigned.is_empty() {
                break;
            }
            let (engine, _) = unassigned.remove(current.unwrap_or(0));
            wanted.insert(engine, role);
        }
    }
    wanted.extend(unassigned.into_iter().map(|(engine, _)| (engine, EngineRole::General)));
    wanted
}
