//! Rules that decide which calls may be repeated.

use crate::idempotency::Idempotency;

/// Methods that are idempotent by RFC 9110, section 9.2.2.
const IDEMPOTENT_METHODS: [&str; 6] = ["DELETE", "GET", "HEAD", "OPTIONS", "PUT", "TRACE"];

/// Rules of one service. Method names are case-sensitive.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdempotencyRules<'c> {
    /// Methods that the service declares idempotent in addition to the standard ones.
    pub idempotent_methods: &'c [String],
    /// Methods that the service declares non-idempotent. This list takes precedence.
    pub at_most_once_methods: &'c [String],
}

impl IdempotencyRules<'_> {
    /// Decides for a request. An idempotency key always demands at most one run.
    pub fn decide(&self, method: &str, has_key: bool) -> Idempotency {
        let is_listed = |list: &[String]| list.iter().any(|listed| listed == method);
        if has_key || is_listed(self.at_most_once_methods) {
            return Idempotency::AtMostOnce;
        }
        if IDEMPOTENT_METHODS.contains(&method) || is_listed(self.idempotent_methods) {
            Idempotency::Idempotent
        } else {
            Idempotency::AtMostOnce
        }
    }
}
