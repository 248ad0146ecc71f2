//! Sums up a soak, and compares what clients were told with what upstreams executed.

use crate::fault_class::FaultClass;
use base::HashMap;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time after a client has closed its connection from which its request may reach no upstream. A daemon that is suspended
/// does not notice it, and a connection that is stalled delivers late, for up to 2.5 s each.
const ABANDON_TIME: Duration = Duration::from_secs(8);

/// Counts of the responses that clients received, and the violated guarantees.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Number of streams that arrived completely.
    pub whole_streams: u64,
    /// Number of complete streams that were taken up.
    pub resumed_streams: u64,
    /// Number of attempts that took up a stream.
    pub take_ups: u64,
    /// Number of these attempts that were refused because of the software version of the stream.
    pub refused_take_ups: u64,
    /// Number of calls that succeeded.
    pub answered_calls: u64,
    /// Number of requests that got the status 503, by which the daemon promises that no upstream executed them.
    pub refused: u64,
    /// Number of requests that clients gave up before the answer was complete.
    pub abandoned: u64,
    /// Number of calls and streams that failed in another way, for example because of a cut connection.
    pub failed: u64,
    /// Largest resident memory of a daemon, in bytes, as far as it was read before the daemon was killed.
    pub peak_memory_bytes: u64,
    /// Number of injected faults by class.
    pub faults: BTreeMap<FaultClass, u64>,
    /// Descriptions of the violated guarantees.
    pub violations: Vec<String>,
}

/// Request ids that are compared with the executions at the upstreams when the soak ends.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingChecks {
    /// Requests that were refused with the status 503, and so must not have been executed.
    pub refused: Vec<String>,
    /// Requests that may be executed at most once.
    pub at_most_once: Vec<String>,
    /// Requests that their clients gave up, and when they did.
    pub abandoned: Vec<(String, Instant)>,
    /// Those of `at_most_once` that were answered, and so must have been executed exactly once.
    pub answered_once: Vec<String>,
}

impl SoakReport {
    /// Compares the requests that were given up with the time at which each request last reached an upstream, and appends a
    /// description of each that was sent on afterwards.
    pub(crate) fn check_abandoned(
        &mut self,
        checks: &PendingChecks,
        arrivals: &HashMap<String, Instant>,
    ) {
        for (id, given_up) in &checks.abandoned {
            if arrivals.get(id).is_some_and(|at| *at > *given_up + ABANDON_TIME) {
                self.violations.push(format!("{id} reached an upstream after its client had gone"));
            }
        }
    }

    /// Compares `checks` with the number of executions of each request id at the upstreams, and appends a description
    /// of each violation.
    pub(crate) fn check_executions(
        &mut self,
        checks: &PendingChecks,
        executions: &HashMap<String, usize>,
    ) {
        let count = |id: &String| executions.get(id).copied().unwrap_or(0);
        for id in checks.refused.iter().filter(|id| count(id) > 0) {
            self.violations.push(format!("{id} was refused as not run, and ran"));
        }
        for id in checks.at_most_once.iter().filter(|id| count(id) > 1) {
            self.violations.push(format!("{id} ran {} times", count(id)));
        }
        for id in checks.answered_once.iter().filter(|id| count(id) == 0) {
            self.violations.push(format!("{id} was answered, and did not run"));
        }
    }

    /// Returns one line with all counts as `name=value`; `broken` is the number of violations.
    pub fn summary(&self) -> String {
        format!(
            "whole_streams={} resumed_streams={} take_ups={} refused_take_ups={} answered_calls={} refused={} \
             abandoned={} failed={} peak_memory_mb={} faults={} broken={}",
            self.whole_streams,
            self.resumed_streams,
            self.take_ups,
            self.refused_take_ups,
            self.answered_calls,
            self.refused,
            self.abandoned,
            self.failed,
            self.peak_memory_bytes / 1024 / 1024,
            self.faults.values().sum::<u64>(),
            self.violations.len()
        )
    }
}
