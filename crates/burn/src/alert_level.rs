//! Determines alert levels from the burn rates in pairs of windows.

use serde::{Deserialize, Serialize};

/// Number of requests in the long window below which no alert is raised, because among few requests a single failure
/// already is a high burn rate.
const MIN_ALERT_REQUESTS: u64 = 20;

/// Rule that raises an alert if the burn rates in both windows are at least `burn_rate`. The long window shows that a
/// significant part of the budget is spent, the short window that the burn continues.
struct AlertRule {
    /// Position of the long window in `WINDOWS`.
    long: usize,
    /// Position of the short window in `WINDOWS`.
    short: usize,
    burn_rate: f64,
    level: AlertLevel,
}

/// Alert rules, the most urgent first. With a budget for 30 days, a burn rate of 14.4 spends 2% of it in 1 h, 6 spends
/// 5% in 6 h, and 1 spends 10% in 3 d.
const RULES: [AlertRule; 3] = [
    AlertRule { long: 1, short: 0, burn_rate: 14.4, level: AlertLevel::Page },
    AlertRule { long: 2, short: 1, burn_rate: 6.0, level: AlertLevel::Page },
    AlertRule { long: 3, short: 2, burn_rate: 1.0, level: AlertLevel::Ticket },
];

/// Urgency of an alert.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AlertLevel {
    /// No rule raises an alert.
    #[default]
    Ok,
    /// The budget runs out before the end of its period, so that someone must act in the next days.
    Ticket,
    /// The budget runs out within hours or days, so that someone must act now.
    Page,
}

impl AlertLevel {
    /// Returns the most urgent level whose rule matches. `windows` holds the number of requests and the burn rate of
    /// each window in the order of `WINDOWS`.
    pub fn from_windows(windows: &[(u64, f64)]) -> Self {
        let matches = |rule: &&AlertRule| match (windows.get(rule.long), windows.get(rule.short)) {
            (Some(long), Some(short)) => {
                long.0 >= MIN_ALERT_REQUESTS
                    && long.1 >= rule.burn_rate
                    && short.1 >= rule.burn_rate
            }
            _ => false,
        };
        RULES.iter().find(matches).map_or(Self::Ok, |rule| rule.level)
    }

    /// Returns the name as it is printed in reports for operators.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ok => "ok",
            Self::Ticket => "ticket",
            Self::Page => "page",
        }
    }
}
