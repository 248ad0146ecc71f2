//! Roles of the engines of a service.

use base::{HashMap, ServiceName, VmId};
use fleet::{Document, EngineRole as WantedRole};
use wire::engine::EngineRole;

/// Role that the engines' interface has for a role of the configuration: decoding is the work of long generations,
/// processing of prompts that of short requests.
fn engine_role(role: WantedRole) -> EngineRole {
    match role {
        WantedRole::Decode => EngineRole::Long,
        WantedRole::Mixed => EngineRole::General,
        WantedRole::Prefill => EngineRole::Short,
    }
}

/// Wanted role of each engine; empty if the configuration leaves roles to the engines. Engines that have a role keep it
/// as long as the count allows; others follow in order of their identifiers.
pub(crate) fn wanted_roles(
    document: &Document,
    service: &ServiceName,
    present: &[(VmId, EngineRole)],
) -> HashMap<VmId, EngineRole> {
    let mut wanted = HashMap::default();
    let models = document.models.iter().filter(|model| model.service == *service);
    let counts: Vec<_> = models.flat_map(|model| &model.roles).collect();
    if counts.is_empty() {
        return wanted;
    }
    let mut free = present.to_vec();
    free.sort_by(|a, b| a.0.cmp(&b.0));
    for count in counts {
        let role = engine_role(count.role);
        for _ in 0..count.engines {
            let keeper = free.iter().position(|(_, has)| *has == role);
            if free.is_empty() {
                break;
            }
            let (engine, _) = free.remove(keeper.unwrap_or(0));
            wanted.insert(engine, role);
        }
    }
    wanted.extend(free.into_iter().map(|(engine, _)| (engine, EngineRole::General)));
    wanted
}
