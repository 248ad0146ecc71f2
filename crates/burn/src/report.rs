//! Burn rates of all services.

use crate::{
    alert_level::AlertLevel, duration_kind::DurationKind, fleet_digest::FleetDigest,
    request_counts::RequestCounts, service_digest::ServiceDigest, window::WINDOWS,
};
use base::{ServiceName, VmId};
use fleet::{Document, Objectives};
use serde::{Deserialize, Serialize};

/// Thousandths of a percent in the whole.
const WHOLE_MILLIPCT: u32 = 100_000;

/// Part of the requests that may be slower than a p95 target.
const SLOW_BUDGET: f64 = 0.05;

/// Kind of an objective.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectiveKind {
    /// Requests that do not fail.
    Availability,
    /// Requests whose first token or answer is in time.
    Latency,
}

impl ObjectiveKind {
    /// Requests that burn the budget.
    pub fn bad_requests(self, counts: &RequestCounts) -> u64 {
        match self {
            Self::Availability => counts.failed,
            Self::Latency => counts.slow,
        }
    }

    /// Name for people.
    pub fn name(self) -> &'static str {
        match self {
            Self::Availability => "availability",
            Self::Latency => "latency",
        }
    }
}

/// Burn in one window.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct WindowBurn {
    /// Length of the window.
    pub length_s: u64,
    /// Requests that ended.
    pub requests: u64,
    /// Requests that burn the budget.
    pub bad: u64,
    /// How many times faster than allowed the budget is spent.
    pub burn: f64,
}

/// Burn of one objective.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ObjectiveReport {
    /// Kind.
    pub kind: ObjectiveKind,
    /// Part of the requests that may burn the budget.
    pub budget: f64,
    /// Time to the first token or the answer; latency only.
    pub target_ms: Option<u32>,
    /// Burn in each window, the shortest first.
    pub windows: Vec<WindowBurn>,
    /// Alert level.
    pub level: AlertLevel,
}

/// Burn of one service.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServiceReport {
    /// Service.
    pub service: ServiceName,
    /// Objectives that have a target.
    pub objectives: Vec<ObjectiveReport>,
    /// Measure, number of values, and p50, p95 and p99 in milliseconds.
    pub durations: Vec<(DurationKind, u64, [u64; 3])>,
}

/// Burn of all services.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct BurnReport {
    /// Most urgent level.
    pub level: AlertLevel,
    /// Services in order of their names.
    pub services: Vec<ServiceReport>,
    /// Entries that did not answer.
    pub missing: Vec<VmId>,
    /// What was measured.
    pub fleet: FleetDigest,
}

impl BurnReport {
    /// Compares what was measured with the objectives of the configuration.
    pub fn new(document: &Document, fleet: FleetDigest) -> Self {
        let services: Vec<ServiceReport> = fleet
            .digest
            .services
            .iter()
            .filter_map(|digest| {
                let service = document.service(&digest.service)?;
                Some(service_report(digest, &service.objectives, fleet.unix_s))
            })
            .collect();
        let levels = services.iter().flat_map(|service| &service.objectives);
        let level = levels.map(|objective| objective.level).max().unwrap_or_default();
        Self { level, services, missing: fleet.missing.clone(), fleet }
    }
}

fn service_report(digest: &ServiceDigest, objectives: &Objectives, unix_s: u64) -> ServiceReport {
    let availability = objectives.availability_millipct.map(|millipct| {
        let budget = f64::from(WHOLE_MILLIPCT.saturating_sub(millipct)) / f64::from(WHOLE_MILLIPCT);
        objective(digest, ObjectiveKind::Availability, budget, None, unix_s)
    });
    let latency = objectives.latency_p95_ms.map(|target_ms| {
        objective(digest, ObjectiveKind::Latency, SLOW_BUDGET, Some(target_ms), unix_s)
    });
    let durations = digest.durations.iter().map(|(measure, distribution)| {
        let quantiles = [0.5, 0.95, 0.99];
        let values = quantiles.map(|at| distribution.quantile_ms(at).unwrap_or(0));
        (*measure, distribution.len(), values)
    });
    ServiceReport {
        service: digest.service.clone(),
        objectives: availability.into_iter().chain(latency).collect(),
        durations: durations.collect(),
    }
}

fn objective(
    digest: &ServiceDigest,
    kind: ObjectiveKind,
    budget: f64,
    target_ms: Option<u32>,
    unix_s: u64,
) -> ObjectiveReport {
    let windows: Vec<WindowBurn> = (0..WINDOWS.len())
        .map(|position| {
            let counts =
                digest.window_counts(position).map(|ring| ring.sum(unix_s)).unwrap_or_default();
            let bad = kind.bad_requests(&counts);
            WindowBurn {
                length_s: WINDOWS[position].length_s(),
                requests: counts.total,
                bad,
                burn: burn(counts.total, bad, budget),
            }
        })
        .collect();
    let pairs: Vec<(u64, f64)> =
        windows.iter().map(|window| (window.requests, window.burn)).collect();
    ObjectiveReport { kind, budget, target_ms, windows, level: AlertLevel::from_windows(&pairs) }
}

/// Burn rate; 0 without requests. A target of 100% has no budget and counts as a budget of a thousandth of a percent.
fn burn(requests: u64, bad: u64, budget: f64) -> f64 {
    if requests == 0 {
        return 0.0;
    }
    let part = bad as f64 / requests as f64;
    part / budget.max(1.0 / f64::from(WHOLE_MILLIPCT))
}
