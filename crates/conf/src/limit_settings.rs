//! Section `[limits]`.

use crate::section::{Section, Source};
use toml::de::DeTable;

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitSettings {
    /// Largest body of a request.
    pub body_bytes: u64,
    /// Largest number of tokens that a caller may ask for.
    pub max_tokens: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self { body_bytes: 4 * 1024 * 1024, max_tokens: 32_768 }
    }
}

impl LimitSettings {
    pub(crate) fn read(root: &mut DeTable<'_>, source: &mut Source<'_>) -> Self {
        let default = Self::default();
        let mut section = Section::open("limits", root, source);
        let body_bytes =
            section.integer("body_bytes", 1_024..=268_435_456, default.body_bytes, source);
        let max_tokens = section.integer("max_tokens", 1..=1_000_000, default.max_tokens, source);
        section.close(source);
        Self { body_bytes, max_tokens }
    }
}
