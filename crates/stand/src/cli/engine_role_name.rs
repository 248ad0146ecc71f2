//! Parser of an engine role on the command line.

use wire::engine::EngineRole;

/// Parses the name of an engine role. The error text lists the valid names.
pub(super) fn parse(text: &str) -> Result<EngineRole, String> {
    match text {
        "general" => Ok(EngineRole::General),
        "long" => Ok(EngineRole::Long),
        "short" => Ok(EngineRole::Short),
        _ => Err(format!("{text:?} is not general, long or short")),
    }
}
