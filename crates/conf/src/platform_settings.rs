//! Section `[platform]` of the settings file: access to the platform's HTTP interface.

use crate::section::{Section, Source};
use std::net::SocketAddr;
use toml::de::DeTable;

/// Default timeout for an answer of the platform.
const DEFAULT_TIMEOUT_MS: u64 = 1_000;

/// Default time between two reads of the VM list.
const DEFAULT_VM_LIST_INTERVAL_MS: u64 = 1_000;

/// Settings of the access to the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// Address of the platform's HTTP interface.
    pub addr: SocketAddr,
    /// Timeout for an answer of the platform.
    pub timeout_ms: u64,
    /// Time between two reads of the VM list.
    pub vm_list_interval_ms: u64,
}

impl PlatformSettings {
    /// Reads the section. Returns `None` if `addr` is missing or not valid.
    pub(crate) fn read(root: &mut DeTable<'_>, source: &mut Source<'_>) -> Option<Self> {
        let mut section = Section::open("platform", root, source);
        let addr = section.required("addr", "IP address and port", source);
        let timeout_ms = section.integer("timeout_ms", 10..=60_000, DEFAULT_TIMEOUT_MS, source);
        let vm_list_interval_ms = section.integer(
            "vm_list_interval_ms",
            100..=60_000,
            DEFAULT_VM_LIST_INTERVAL_MS,
            source,
        );
        section.close(source);
        Some(Self { addr: addr?, timeout_ms, vm_list_interval_ms })
    }
}
