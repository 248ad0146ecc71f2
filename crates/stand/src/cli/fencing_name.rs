//! Fencing policy on a command line.

use crate::engine::FencingPolicy;

/// Reads the name of a policy.
pub(super) fn parse(text: &str) -> Result<FencingPolicy, String> {
    match text {
        "reject" => Ok(FencingPolicy::Reject),
        "ignore" => Ok(FencingPolicy::Ignore),
        _ => Err(format!("{text:?} is not reject or ignore")),
    }
}
