//! Judgement of a version by the counts of all daemons.

use crate::{
    allocation::{allocate, next_share},
    bounds::RolloutBounds,
    finding::Finding,
    phase::Phase,
    share_plan::SharePlan,
    snapshots::Snapshots,
    totals::Totals,
};

/// Shortest age of an order whose target version can be found good.
const MIN_AGE_MS: u64 = 5_000;

/// Time before the end of the duration at which a rollout is completed or rolled back at the latest. It covers the write
/// of the status and the time from the write of the order to the first daemon that reads it.
const END_MARGIN_MS: u64 = 1_500;

/// Additional time in which a judge that hears of too few daemons leaves the verdict to the others. It exceeds the delay
/// after which the second judge writes the status.
const UNHEARD_MARGIN_MS: u64 = 1_200;

/// Time for which no request must be reported at old versions before the rollout is completed.
const QUIET_MS: u64 = 1_000;

/// Part of the listed daemons that must have reported a short time ago before a version is found good. A failure domain of
/// three may be lost.
const MIN_REPORTING: f64 = 0.6;

/// Time for which the next shares are planned: the age of reports and the time until the advice is followed.
const HORIZON_MS: u64 = 800;

/// Mean time that the answers before the order cover.
const BEFORE_MS: f64 = 30_000.0;

/// Evidence, as a natural logarithm, that is not needed once a version was found good: a bad one gets much more traffic
/// from then on, and completing it costs more than a rollback. The odds are 100.
const SHIFT_EVIDENCE: f64 = -3.0;

/// Judgement of a version by the counts of all daemons.
#[derive(Debug)]
pub(crate) struct Judge {
    duration_ms: u64,
    snapshots: Snapshots,
    is_heard: bool,
    /// When this judge last heard of enough daemons; `None` before the first time.
    pub heard_ms: Option<u64>,
    /// Whether the counts that this judge has got have shown, during the shift, that the version is good.
    has_seen_good: bool,
    /// Since when no request is reported at old versions.
    quiet_since_ms: Option<u64>,
}

impl Judge {
    /// Creates the judge of an order of the given duration.
    pub fn new(duration_ms: u64) -> Self {
        Self {
            duration_ms,
            snapshots: Snapshots::new(duration_ms),
            is_heard: false,
            heard_ms: None,
            has_seen_good: false,
            quiet_since_ms: None,
        }
    }

    /// Takes note of how many of the listed daemons have reported a short time ago.
    pub fn hear(&mut self, reporting: usize, daemons: usize, now_ms: u64) {
        self.is_heard = reporting as f64 >= MIN_REPORTING * daemons.max(1) as f64;
        if self.is_heard {
            self.heard_ms = Some(now_ms);
        }
    }

    /// What shows that the version is bad; `None` if nothing does. Keeps the totals for later.
    pub fn find_bad(&mut self, totals: &Totals, phase: Phase, now_ms: u64) -> Option<Finding> {
        let extra_evidence = if phase == Phase::Shifting { SHIFT_EVIDENCE } else { 0.0 };
        let finding = totals.finding(self.snapshots.tested(), extra_evidence);
        if phase == Phase::Shifting {
            self.has_seen_good |= totals.shows_good();
        }
        let relapse = || if self.has_seen_good { totals.relapse() } else { None };
        let finding = finding.or_else(relapse);
        if finding.is_none() {
            self.snapshots.push(totals, now_ms);
        }
        finding
    }

    /// Whether the version is good, at the given age of the order.
    pub fn is_good(&self, totals: &Totals, age_ms: u64, now_ms: u64) -> bool {
        self.is_heard
            && age_ms >= (self.duration_ms / 2).max(MIN_AGE_MS)
            && age_ms < self.end_ms()
            && totals.is_good(&self.snapshots.recent(totals, now_ms))
    }

    /// Whether there is no time left for more evidence.
    pub fn is_undecidable(&self, age_ms: u64) -> bool {
        let margin_ms = if self.is_heard { 0 } else { UNHEARD_MARGIN_MS };
        age_ms >= self.end_ms() + margin_ms
    }

    /// Plans the shares of the next moments, by what was sent so far. `part` is the age of the order as a part of its
    /// duration.
    pub fn plan(
        &self,
        bounds: &RolloutBounds,
        totals: &Totals,
        part: f64,
        now_ms: u64,
    ) -> SharePlan {
        let rate_per_s = self.snapshots.rate_per_s(totals, now_ms).unwrap_or_else(|| {
            let before = totals.routes.values().map(|counts| counts.before.answers);
            f64::from(before.sum::<u32>()) * 1_000.0 / BEFORE_MS
        });
        let share = next_share(bounds, totals, part, rate_per_s, HORIZON_MS);
        allocate(bounds, share, totals)
    }

    /// Takes note of whether requests run at old versions. `is_shifted` tells whether new ones go to the target version.
    pub fn note_old(&mut self, totals: &Totals, is_shifted: bool, now_ms: u64) {
        match totals.old_running == 0 && is_shifted && self.is_heard {
            true => _ = self.quiet_since_ms.get_or_insert(now_ms),
            false => self.quiet_since_ms = None,
        }
    }

    /// Whether all traffic has moved, or must be counted as moved because the time is over.
    pub fn is_moved(&self, age_ms: u64, now_ms: u64) -> bool {
        let is_quiet = self.quiet_since_ms.is_some_and(|at_ms| now_ms >= at_ms + QUIET_MS);
        is_quiet || age_ms >= self.end_ms()
    }

    /// Age at which the rollout is completed or rolled back at the latest.
    fn end_ms(&self) -> u64 {
        self.duration_ms.saturating_sub(END_MARGIN_MS)
    }
}
