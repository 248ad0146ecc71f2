//! Rules that decide which calls may be repeated.

use crate::repeat::Repeat;

/// Methods that are idempotent by RFC 9110, section 9.2.2.
const IDEMPOTENT_METHODS: [&str; 6] = ["DELETE", "GET", "HEAD", "OPTIONS", "PUT", "TRACE"];

/// Rules of one service. Method names are case-sensitive.
#[derive(Clone, Copy, Debug, Default)]
pub struct RepeatRules<'c> {
    /// Methods that the service declares idempotent in addition to the standard ones.
    pub idempotent: &'c [String],
    /// Methods that the service declares non-idempotent. This list takes precedence.
    pub at_most_once: &'c [String],
}

impl RepeatRules<'_> {
    /// Decides for a request. An idempotency key always demands at most one run.
    pub fn decide(&self, method: &str, has_key: bool) -> Repeat {
        let is_listed = |list: &[String]| list.iter().any(|listed| listed == method);
        if has_key || is_listed(self.at_most_once) {
            return Repeat::AtMostOnce;
        }
        if IDEMPOTENT_METHODS.contains(&method) || is_listed(self.idempotent) {
            Repeat::Idempotent
        } else {
            Repeat::AtMostOnce
        }
    }
}
