//! Parser of a fencing policy on the command line.

use crate::engine::FencingPolicy;

/// Parses the name of a fencing policy. The error text lists the valid names.
pub(super) fn parse(text: &str) -> Result<FencingPolicy, String> {
    match text {
        "reject" => Ok(FencingPolicy::Reject),
        "ignore" => Ok(FencingPolicy::Ignore),
        _ => Err(format!("{text:?} is not reject or ignore")),
    }
}
