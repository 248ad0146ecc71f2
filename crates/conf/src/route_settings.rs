//! Section `[route]` of the settings file: load balancing over upstreams.

use crate::section::{Section, Source};
use route::Policy;
use toml::de::DeTable;

/// Settings of the load balancing over upstreams.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RouteSettings {
    /// Policy by which an upstream is chosen for each request.
    pub policy: Policy,
}

impl RouteSettings {
    /// Reads the section. Missing keys get their defaults.
    pub(crate) fn read(root: &mut DeTable<'_>, source: &mut Source<'_>) -> Self {
        let mut section = Section::open("route", root, source);
        let allowed = "round_robin, least_reported, two_choices, scored";
        let policy = section.parsed("policy", allowed, Policy::default(), source);
        section.close(source);
        Self { policy }
    }
}
