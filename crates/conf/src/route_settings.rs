//! Section `[route]`.

use crate::section::{Section, Source};
use route::Policy;
use toml::de::DeTable;

/// Choice of upstreams.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RouteSettings {
    /// Policy of the choice.
    pub policy: Policy,
}

impl RouteSettings {
    pub(crate) fn read(root: &mut DeTable<'_>, source: &mut Source<'_>) -> Self {
        let mut section = Section::open("route", root, source);
        let allowed = "round_robin, least_reported, two_choices, scored";
        let policy = section.parsed("policy", allowed, Policy::default(), source);
        section.close(source);
        Self { policy }
    }
}
