//! Burn report: burn rates and alert levels of all services.

use crate::{
    alert_level::AlertLevel, duration_kind::DurationKind, fleet_digest::FleetDigest,
    request_counts::RequestCounts, service_digest::ServiceDigest, window::WINDOWS,
};
use base::{ServiceName, VmId};
use fleet::{Document, Objectives};
use serde::{Deserialize, Serialize};

/// 100% in thousandths of a percent.
const FULL_MILLIPCT: u32 = 100_000;

/// Fraction of the requests that may be slower than a p95 target.
const LATENCY_BUDGET: f64 = 0.05;

/// Kind of a service-level objective.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectiveKind {
    /// Fraction of the requests that do not fail.
    Availability,
    /// Fraction of the requests whose first token or response arrives within the target.
    Latency,
}

impl ObjectiveKind {
    /// Returns the number of counted requests that miss an objective of this kind and spend its budget.
    pub fn bad_requests(self, counts: &RequestCounts) -> u64 {
        match self {
            Self::Availability => counts.failed,
            Self::Latency => counts.slow,
        }
    }

    /// Returns the name as it is printed in reports for operators.
    pub fn name(self) -> &'static str {
        match self {
            Self::Availability => "availability",
            Self::Latency => "latency",
        }
    }
}

/// Burn rate of one objective in one window.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct WindowBurn {
    /// Length of the window in seconds.
    pub length_s: u64,
    /// Number of requests that finished in the window.
    pub requests: u64,
    /// Number of these requests that miss the objective and spend its budget.
    pub bad: u64,
    /// Burn rate: how many times faster than allowed the budget is spent.
    pub burn: f64,
}

/// Burn rates of one objective.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ObjectiveReport {
    /// Whether the objective is on availability or latency.
    pub kind: ObjectiveKind,
    /// Error budget: fraction of the requests that may miss the objective.
    pub budget: f64,
    /// Target time to the first token or the response, in milliseconds; `None` for availability.
    pub target_ms: Option<u32>,
    /// Burn rate in each window, the shortest window first.
    pub windows: Vec<WindowBurn>,
    /// Alert level that follows from the burn rates in `windows`.
    pub level: AlertLevel,
}

/// Burn rates and durations of one service.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServiceReport {
    /// Name of the service.
    pub service: ServiceName,
    /// Objectives that the configuration sets for the service.
    pub objectives: Vec<ObjectiveReport>,
    /// For each kind of duration: the number of values, and p50, p95 and p99 in milliseconds.
    pub durations: Vec<(DurationKind, u64, [u64; 3])>,
}

/// Burn rates of all services.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct BurnReport {
    /// Most urgent alert level of all objectives.
    pub level: AlertLevel,
    /// Report of each service, sorted by name.
    pub services: Vec<ServiceReport>,
    /// Entries whose measurements are missing, as in `FleetDigest::missing`.
    pub missing: Vec<VmId>,
    /// Measurements that the report is based on.
    pub fleet: FleetDigest,
}

impl BurnReport {
    /// Compares the measurements with the objectives in the configuration. Services that the configuration does not
    /// contain are left out.
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
        let budget = f64::from(FULL_MILLIPCT.saturating_sub(millipct)) / f64::from(FULL_MILLIPCT);
        objective_report(digest, ObjectiveKind::Availability, budget, None, unix_s)
    });
    let latency = objectives.latency_p95_ms.map(|target_ms| {
        objective_report(digest, ObjectiveKind::Latency, LATENCY_BUDGET, Some(target_ms), unix_s)
    });
    let durations = digest.durations.iter().map(|(kind, distribution)| {
        let quantiles = [0.5, 0.95, 0.99];
        let values = quantiles.map(|quantile| distribution.quantile_ms(quantile).unwrap_or(0));
        (*kind, distribution.len(), values)
    });
    ServiceReport {
        service: digest.service.clone(),
        objectives: availability.into_iter().chain(latency).collect(),
        durations: durations.collect(),
    }
}

fn objective_report(
    digest: &ServiceDigest,
    kind: ObjectiveKind,
    budget: f64,
    target_ms: Option<u32>,
    unix_s: u64,
) -> ObjectiveReport {
    let windows: Vec<WindowBurn> = (0..WINDOWS.len())
        .map(|position| {
            let counts =
                digest.window_counts(position).map(|window| window.sum(unix_s)).unwrap_or_default();
            let bad = kind.bad_requests(&counts);
            WindowBurn {
                length_s: WINDOWS[position].length_s(),
                requests: counts.total,
                bad,
                burn: burn_rate(counts.total, bad, budget),
            }
        })
        .collect();
    let burn_rates: Vec<(u64, f64)> =
        windows.iter().map(|window| (window.requests, window.burn)).collect();
    ObjectiveReport {
        kind,
        budget,
        target_ms,
        windows,
        level: AlertLevel::from_windows(&burn_rates),
    }
}

/// Returns the burn rate, which is 0 without requests. A target of 100% leaves no budget and is treated as a budget of
/// a thousandth of a percent.
fn burn_rate(requests: u64, bad: u64, budget: f64) -> f64 {
    if requests == 0 {
        return 0.0;
    }
    let bad_ratio = bad as f64 / requests as f64;
    bad_ratio / budget.max(1.0 / f64::from(FULL_MILLIPCT))
}
