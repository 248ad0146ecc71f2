//! Classes of faults and of other events that a soak draws.

use rand::{Rng, RngExt};

/// Share of the draws, after each class has occurred once, that are judged while nothing else fails. Each of them takes
/// about ten to twenty seconds, and other faults less than one.
const CALM_SHARE: f64 = 0.04;

/// Class of faults or other events.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum FaultClass {
    /// A daemon is killed.
    DaemonKill,
    /// A daemon is told to stop.
    DaemonStop,
    /// A daemon is suspended for a time.
    DaemonPause,
    /// A daemon is told to read its settings again.
    Reload,
    /// The store is down for a time.
    StoreOutage,
    /// The store forgets its history.
    Compaction,
    /// The operator writes a configuration.
    ConfigChange,
    /// The engines of a failure domain crash.
    DomainCrash,
    /// An upstream drains.
    Drain,
    /// A connection to the store or to an upstream is cut, silent, slow or stalled for a time.
    ProxyFault,
    /// Upstreams respond with errors, wrong bytes or not at all.
    UpstreamFaults,
    /// Upstreams send responses without an end.
    EndlessResponses,
    /// Requests crash upstreams, and an upstream names a limit.
    Episode,
    /// The store is restored from an older copy.
    Restoration,
    /// Engines get another software version.
    Release,
    /// All daemons are killed.
    MassKill,
    /// Another writer leaves entries in the store that name no instance.
    ForeignEntries,
    /// The entry of an instance that lives lapses and comes back.
    LapsedEntry,
    /// An instance refuses requests and states for how long it wants none.
    WaitingInstance,
    /// A key is withdrawn while the connections to the store are silent.
    WithdrawnKey,
    /// A rollout of a bad version of the plain service is ordered.
    BadVersion,
    /// A rollout of a good version of the plain service is ordered.
    GoodVersion,
    /// Callers pipeline requests or announce large bodies, and read nothing.
    SilentCallers,
}

impl FaultClass {
    /// All classes in the order of their first occurrence. Those that are judged while nothing else fails follow one
    /// another, so that they share the time in which daemons find each other again.
    pub const ALL: [Self; 23] = [
        Self::Release,
        Self::MassKill,
        Self::Episode,
        Self::LapsedEntry,
        Self::WaitingInstance,
        Self::WithdrawnKey,
        Self::SilentCallers,
        Self::BadVersion,
        Self::GoodVersion,
        Self::ForeignEntries,
        Self::UpstreamFaults,
        Self::EndlessResponses,
        Self::DomainCrash,
        Self::DaemonPause,
        Self::StoreOutage,
        Self::DaemonKill,
        Self::ProxyFault,
        Self::Restoration,
        Self::Drain,
        Self::ConfigChange,
        Self::Reload,
        Self::Compaction,
        Self::DaemonStop,
    ];

    /// Faults that are injected during an episode. They could be mistaken for crashes on a part of a prompt.
    const IN_EPISODE: [Self; 5] =
        [Self::Reload, Self::ConfigChange, Self::DomainCrash, Self::Drain, Self::Restoration];

    /// Draws a class.
    pub(crate) fn draw(rng: &mut impl Rng) -> Self {
        let is_calm = rng.random_bool(CALM_SHARE);
        let classes = Self::ALL.into_iter().filter(|class| class.is_calm() == is_calm);
        let classes: Vec<Self> = classes.collect();
        classes[rng.random_range(0..classes.len())]
    }

    /// Draws a class that may occur during an episode.
    pub(crate) fn draw_in_episode(rng: &mut impl Rng) -> Self {
        Self::IN_EPISODE[rng.random_range(0..Self::IN_EPISODE.len())]
    }

    /// Whether the class is judged while nothing else fails.
    pub(crate) fn is_calm(self) -> bool {
        matches!(
            self,
            Self::BadVersion
                | Self::GoodVersion
                | Self::LapsedEntry
                | Self::SilentCallers
                | Self::WaitingInstance
                | Self::WithdrawnKey
        )
    }
}
