//! Times of the exchange between daemons and judges.

/// Range of `rollback_ms` that has an effect. Daemons exchange messages at steps of 50 ms, which are too long for shorter
/// times, and longer times need no rarer messages.
const ROLLBACK_MS: (u64, u64) = (500, 5_000);

/// Parts of `rollback_ms`, in percent. Within the time after which a daemon counts as uninformed, it sends four reports to
/// each judge, of which all or all replies must be lost.
const REPORT_PERCENT: u64 = 15;
const ADVICE_PERCENT: u64 = 30;
const SILENT_PERCENT: u64 = 50;
const UNINFORMED_PERCENT: u64 = 60;

/// Longest time between two reports, which plans of shares need.
const MAX_REPORT_MS: u64 = 500;

/// Times of the exchange between daemons and judges, which follow from the time after the fiftieth bad answer within which
/// a version must get no request any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Timing {
    /// Time between two reports to the judges if there is nothing urgent, and between two messages with a verdict.
    pub report_ms: u64,
    /// Time for which the shares that a judge advises hold. Without advice, a daemon keeps to the share of the settings.
    pub advice_ms: u64,
    /// Age of a report from which its daemon counts as silent.
    pub silent_ms: u64,
    /// Time after which a daemon that hears of no judge, or a judge that hears of too few daemons, sends nothing to the
    /// target version. It is shorter than `rollback_ms`, so that a daemon that cannot be told the verdict keeps to it.
    pub uninformed_ms: u64,
}

impl Timing {
    /// Times for the limit `rollback_ms` of the settings.
    pub fn new(rollback_ms: u64) -> Self {
        let (shortest_ms, longest_ms) = ROLLBACK_MS;
        let rollback_ms = rollback_ms.clamp(shortest_ms, longest_ms);
        let part = |percent| rollback_ms * percent / 100;
        Self {
            report_ms: part(REPORT_PERCENT).min(MAX_REPORT_MS),
            advice_ms: part(ADVICE_PERCENT),
            silent_ms: part(SILENT_PERCENT),
            uninformed_ms: part(UNINFORMED_PERCENT),
        }
    }
}
