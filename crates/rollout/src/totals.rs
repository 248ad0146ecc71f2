//! Counts of all daemons, and what they show.

use crate::{
    counts::Counts,
    evidence::{baseline, excludes_bad, log_evidence},
    fault::Fault,
    finding::Finding,
    instance_set::InstanceSet,
    report::RolloutReport,
    route_counts::RouteCounts,
    route_key::RouteKey,
};
use base::HashMap;

/// Smallest number of bad answers by which a version is found bad.
const MIN_BAD: u32 = 4;

/// Smallest number of bad answers by which it is found bad if they come from one instance although others are used. The
/// others may have been used for a moment only, and the limit on what a bad version gets counts from its fiftieth bad answer.
const MIN_BAD_OF_ONE: u32 = 25;

/// Evidence from which a version is bad, as a natural logarithm: odds of 2,000.
const LOG_BAD: f64 = 7.6;

/// Additional evidence that a period needs which is not the whole time since the order, as a natural logarithm.
const LOG_PERIOD: f64 = 1.1;

/// Odds against a bad version by which a route, or all routes in the last seconds, count as good.
const GOOD_ODDS: f64 = 100.0;

/// Odds against a bad version below which a version that was found good counts as bad again. A version with errors of 0.31 on
/// a route gives the 12 answers without one that suffice for *good* in 1 of 100 rollouts. With odds of 10, 9 of 200 good
/// versions were rolled back by it in simulation, with 2 only 1.
const RELAPSE_ODDS: f64 = 2.0;

/// Smallest number of answers for that, so that a route whose first request comes late does not count.
const RELAPSE_ANSWERS: u32 = 12;

/// Part of the traffic below which a route is judged together with the others only, because it cannot yield enough answers
/// in the time of an order.
const MIN_TRAFFIC_PART: f64 = 0.02;

/// Smallest number of answers since the order by which the old version is compared in the same period alone.
const MIN_SAME_PERIOD: u32 = 30;

/// Counts of all daemons since the order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Totals {
    /// Counts of each route.
    pub routes: HashMap<RouteKey, RouteCounts>,
    /// Instances of the target version that have answered.
    pub used: InstanceSet,
    /// Instances of the target version that have given bad answers.
    pub bad: InstanceSet,
    /// Number of requests that run at other versions than the target.
    pub old_running: u32,
}

/// Bad answers of the target version, with the number that is usual.
struct Sample {
    bad: u32,
    answers: u32,
    usual: f64,
}

impl Totals {
    /// Adds the report of a daemon.
    pub fn add(&mut self, report: &RolloutReport) {
        for (key, counts) in &report.routes {
            self.routes.entry(*key).or_default().add(counts);
        }
        self.used.merge(report.used);
        self.bad.merge(report.bad);
        self.old_running += report.old_running;
    }

    /// Number of requests since the order.
    pub fn requests(&self) -> u32 {
        self.routes.values().map(|counts| counts.requests).sum()
    }

    /// Number of sends to the target version.
    pub fn sends(&self) -> u32 {
        self.routes.values().map(|counts| counts.sends).sum()
    }

    /// Number of answers of the target version.
    pub fn answers(&self) -> u32 {
        self.routes.values().map(|counts| counts.target.answers).sum()
    }

    /// What shows that the target version is bad, by its answers since the order and since each of the earlier totals;
    /// `None` if it does not seem to be. A negative `extra_evidence` counts for the answers since the order only.
    pub fn finding<'a>(
        &self,
        earlier: impl Iterator<Item = &'a Totals>,
        extra_evidence: f64,
    ) -> Option<Finding> {
        let start = Totals::default();
        let whole = self.finding_since(&start, LOG_BAD + extra_evidence);
        whole.or_else(|| {
            let mut earlier = earlier;
            earlier.find_map(|totals| {
                self.finding_since(totals, LOG_BAD + LOG_PERIOD + extra_evidence.max(0.0))
            })
        })
    }

    fn finding_since(&self, earlier: &Totals, needed: f64) -> Option<Finding> {
        [Fault::Failures, Fault::Slowness].into_iter().find_map(|fault| {
            let is_one = self.bad.len() < 2 && self.used.len() >= 2;
            let min_bad = if is_one { MIN_BAD_OF_ONE } else { MIN_BAD };
            let is_bad = |sample: &Sample| {
                sample.bad >= min_bad
                    && log_evidence(sample.bad, sample.answers, sample.usual) >= needed
            };
            let finding = |route, sample: Sample| Finding {
                route,
                fault,
                bad: sample.bad,
                answers: sample.answers,
                usual: sample.usual,
            };
            let mut routes = self.samples(earlier, fault);
            if let Some(at) = routes.iter().position(|(_, sample)| is_bad(sample)) {
                let (key, sample) = routes.swap_remove(at);
                return Some(finding(Some(key), sample));
            }
            let all = pooled(&routes);
            is_bad(&all).then(|| finding(None, all))
        })
    }

    /// Whether the answers show that the target version is good: on each route with traffic since the order, and on all
    /// routes together since `recent`.
    pub fn is_good(&self, recent: &Totals) -> bool {
        self.shows_good()
            && [Fault::Failures, Fault::Slowness].into_iter().all(|fault| {
                let sample = pooled(&self.samples(recent, fault));
                excludes_bad(sample.bad, sample.answers, sample.usual, GOOD_ODDS)
            })
    }

    /// Whether the answers since the order show that the target version is good.
    pub fn shows_good(&self) -> bool {
        self.doubt(GOOD_ODDS).is_none()
    }

    /// Bad answers by which the answers since the order do not show any more that the target version is good, once they did;
    /// `None` if there are none.
    pub fn relapse(&self) -> Option<Finding> {
        let doubt = self.doubt(RELAPSE_ODDS);
        doubt.filter(|finding| finding.bad > 0 && finding.answers >= RELAPSE_ANSWERS)
    }

    /// Answers since the order that exclude a bad version by lower odds than `odds`: those of one route with traffic, or of
    /// all routes together.
    fn doubt(&self, odds: f64) -> Option<Finding> {
        let all: u32 = self.routes.values().map(RouteCounts::traffic).sum();
        let is_small = |key: &RouteKey| {
            f64::from(self.routes[key].traffic()) < MIN_TRAFFIC_PART * f64::from(all)
        };
        let start = Totals::default();
        [Fault::Failures, Fault::Slowness].into_iter().find_map(|fault| {
            let routes = self.samples(&start, fault);
            let all = pooled(&routes);
            let routes = routes.into_iter().filter(|(key, _)| !is_small(key));
            let mut samples = routes.map(|(key, sample)| (Some(key), sample)).chain([(None, all)]);
            let (route, Sample { bad, answers, usual }) = samples.find(|(_, sample)| {
                !excludes_bad(sample.bad, sample.answers, sample.usual, odds)
            })?;
            Some(Finding { route, fault, bad, answers, usual })
        })
    }

    fn samples(&self, earlier: &Totals, fault: Fault) -> Vec<(RouteKey, Sample)> {
        let sample = |(key, counts): (&RouteKey, &RouteCounts)| {
            let before = earlier.routes.get(key).copied().unwrap_or_default();
            let (bad, answers) = tested(&counts.target.since(&before.target), fault);
            let mut usual = counts.old;
            usual.add(&counts.before);
            let (usual_bad, usual_answers) = tested(&usual, fault);
            let (now_bad, now_answers) = tested(&counts.old, fault);
            let mut usual = baseline(usual_bad, usual_answers);
            if now_answers >= MIN_SAME_PERIOD {
                usual = usual.max(baseline(now_bad, now_answers));
            }
            (*key, Sample { bad, answers, usual })
        };
        self.routes.iter().map(sample).collect()
    }
}

/// Number of bad answers, and the number of answers among which they are.
fn tested(counts: &Counts, fault: Fault) -> (u32, u32) {
    match fault {
        Fault::Failures => (counts.failures, counts.answers),
        Fault::Slowness => (counts.slow, counts.answers.saturating_sub(counts.failures)),
    }
}

/// Sample of all routes. The usual share is that of the target's own mix of routes, which differs from that of the old
/// version.
fn pooled(routes: &[(RouteKey, Sample)]) -> Sample {
    let bad = routes.iter().map(|(_, sample)| sample.bad).sum();
    let answers: u32 = routes.iter().map(|(_, sample)| sample.answers).sum();
    let expected: f64 =
        routes.iter().map(|(_, sample)| f64::from(sample.answers) * sample.usual).sum();
    let usual = if answers == 0 { 0.5 } else { expected / f64::from(answers) };
    Sample { bad, answers, usual }
}
