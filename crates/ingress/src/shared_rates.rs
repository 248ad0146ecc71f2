//! Rates of an engine that one daemon tells another.

use route::EngineRates;
use serde::{Deserialize, Serialize};

/// Time by which a told rate counts as older than stated. It exceeds the time that a datagram takes, so that a rate that
/// comes back is not taken for a newer one.
const HOP_MS: u64 = 50;

/// Nanoseconds in a millisecond.
const NS_PER_MS: f64 = 1_000_000.0;

/// Rates of one process of an engine that a daemon has learned, or was told.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SharedRates {
    /// Identifier of the instance.
    pub instance: Box<str>,
    /// Unix time at which the process started, in milliseconds; `None` if its entry does not state it.
    pub started_unix_ms: Option<u64>,
    /// Time per prompt token until the first event; `None` if it is not known.
    pub prefill: Option<SharedTime>,
    /// Time per event after the first one; `None` if it is not known.
    pub event: Option<SharedTime>,
}

/// Learned time with its age.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SharedTime {
    /// Learned time.
    pub time_ns: u64,
    /// Time since its last sample.
    pub age_ms: u64,
}

impl SharedRates {
    /// States the rates of a process; `None` if none was learned.
    pub(crate) fn new(
        instance: &str,
        started_unix_ms: Option<u64>,
        rates: &EngineRates,
        now_ms: u64,
    ) -> Option<Self> {
        let shared = |(time_ms, at_ms): (f64, u64)| SharedTime {
            time_ns: (time_ms * NS_PER_MS) as u64,
            age_ms: now_ms.saturating_sub(at_ms),
        };
        let prefill = rates.learned_prefill().map(shared);
        let event = rates.learned_event().map(shared);
        let is_known = prefill.is_some() || event.is_some();
        is_known.then(|| Self { instance: instance.into(), started_unix_ms, prefill, event })
    }

    /// The rates as of `now_ms`. Those that are older than this daemon's clock are left out.
    pub(crate) fn rates(&self, now_ms: u64) -> EngineRates {
        let learned = |shared: SharedTime| {
            let at_ms = now_ms.checked_sub(shared.age_ms)?.checked_sub(HOP_MS)?;
            Some((shared.time_ns as f64 / NS_PER_MS, at_ms))
        };
        EngineRates::from_learned(self.prefill.and_then(learned), self.event.and_then(learned))
    }
}
