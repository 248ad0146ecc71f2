//! Alert levels.

use serde::{Deserialize, Serialize};

/// Requests in the long window below which no alert is raised, because single failures of few requests say little.
const MIN_REQUESTS: u64 = 20;

/// Rule: both windows, given by their positions in `WINDOWS`, burn at least this fast. The long window shows that the
/// burn matters, the short one that it has not stopped.
struct Rule {
    long: usize,
    short: usize,
    burn: f64,
    level: AlertLevel,
}

/// Rules, the most urgent first. With a budget for 30 days, a burn rate of 14.4 spends 2% of it in 1 h, 6 spends 5% in
/// 6 h, and 1 spends 10% in 3 d.
const RULES: [Rule; 3] = [
    Rule { long: 1, short: 0, burn: 14.4, level: AlertLevel::Page },
    Rule { long: 2, short: 1, burn: 6.0, level: AlertLevel::Page },
    Rule { long: 3, short: 2, burn: 1.0, level: AlertLevel::Ticket },
];

/// How urgent a burn is.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AlertLevel {
    /// The budget lasts.
    #[default]
    Ok,
    /// The budget is spent before its end; work on it in the next days.
    Ticket,
    /// The budget is spent within hours or days; act now.
    Page,
}

impl AlertLevel {
    /// Level for the requests and burn rates of the windows, in the order of `WINDOWS`.
    pub fn from_windows(windows: &[(u64, f64)]) -> Self {
        let fires = |rule: &&Rule| match (windows.get(rule.long), windows.get(rule.short)) {
            (Some(long), Some(short)) => {
                long.0 >= MIN_REQUESTS && long.1 >= rule.burn && short.1 >= rule.burn
            }
            _ => false,
        };
        RULES.iter().find(fires).map_or(Self::Ok, |rule| rule.level)
    }

    /// Name for people.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ok => "ok",
            Self::Ticket => "ticket",
            Self::Page => "page",
        }
    }
}
