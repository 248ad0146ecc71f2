//! Rules that decide which calls are idempotent.

use crate::idempotency::Idempotency;

/// Methods that are idempotent according to RFC 9110, section 9.2.2.
const IDEMPOTENT_METHODS: [&str; 6] = ["DELETE", "GET", "HEAD", "OPTIONS", "PUT", "TRACE"];

/// Idempotency rules of one service. Method names are case-sensitive.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdempotencyRules<'c> {
    /// Methods that the service declares idempotent in addition to those of RFC 9110.
    pub idempotent_methods: &'c [String],
    /// Methods that the service declares non-idempotent. This list takes precedence over `idempotent_methods` and the
    /// RFC.
    pub at_most_once_methods: &'c [String],
}

impl IdempotencyRules<'_> {
    /// Decides whether a request is idempotent. A request with an idempotency key always runs at most once.
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
