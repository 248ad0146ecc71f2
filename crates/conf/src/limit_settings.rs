//! Section `[limits]` of the settings file: limits on the requests of callers.

use crate::section::{Section, Source};
use toml::de::DeTable;

/// Limits that apply to each request, whatever its client account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitSettings {
    /// Maximum size of a request body.
    pub body_bytes: u64,
    /// Number of file descriptors that the process may open.
    pub file_descriptors: u64,
    /// Memory of the VM, from which the limits on connections are derived.
    pub memory_mb: u64,
    /// Maximum number of tokens that a caller may request for one generation.
    pub max_tokens: u64,
    /// Maximum time that a request waits in the admission queue of its service.
    pub queue_wait_ms: u64,
    /// Maximum number of tokens that a generation may request and still count as short.
    pub short_max_tokens: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes: 4 * 1024 * 1024,
            file_descriptors: 4_096,
            memory_mb: 512,
            max_tokens: 32_768,
            queue_wait_ms: 2_000,
            short_max_tokens: 64,
        }
    }
}

impl LimitSettings {
    /// Reads the section. Missing keys get their defaults.
    pub(crate) fn read(root: &mut DeTable<'_>, source: &mut Source<'_>) -> Self {
        let default = Self::default();
        let mut section = Section::open("limits", root, source);
        let body_bytes =
            section.integer("body_bytes", 1_024..=268_435_456, default.body_bytes, source);
        let file_descriptors =
            section.integer("file_descriptors", 256..=1_048_576, default.file_descriptors, source);
        let memory_mb = section.integer("memory_mb", 32..=1_048_576, default.memory_mb, source);
        let max_tokens = section.integer("max_tokens", 1..=1_000_000, default.max_tokens, source);
        let queue_wait_ms =
            section.integer("queue_wait_ms", 0..=60_000, default.queue_wait_ms, source);
        let short_max_tokens =
            section.integer("short_max_tokens", 0..=1_000_000, default.short_max_tokens, source);
        section.close(source);
        Self {
            body_bytes,
            file_descriptors,
            memory_mb,
            max_tokens,
            queue_wait_ms,
            short_max_tokens,
        }
    }
}
