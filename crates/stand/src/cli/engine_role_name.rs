//! Role of an engine on a command line.

use wire::engine::EngineRole;

/// Reads the name of a role.
pub(super) fn parse(text: &str) -> Result<EngineRole, String> {
    match text {
        "general" => Ok(EngineRole::General),
        "long" => Ok(EngineRole::Long),
        "short" => Ok(EngineRole::Short),
        _ => Err(format!("{text:?} is not general, long or short")),
    }
}
