//! Rollouts of good and bad software versions of the plain service, judged while nothing else fails.

use crate::test_environment::{DOMAINS, ProxiedUpstream, TestEnvironment};
use platform_stand::Behaviour;
use std::{
    io::Result as IoResult,
    time::{Duration, Instant},
};

/// Key of the orders of the service.
pub(crate) const ORDER: &str = "op/rollout/desk";

/// Key of the statuses of the service.
const STATUS: &str = "status/rollout/desk";

/// Time limit of an order, in seconds. In half of it, some 50 calls/s yield enough answers of a good version also after a
/// time with failures; 14 s did not.
const DURATION_S: u64 = 30;

/// Time after the limit of an order in which a daemon must have written the status, on a busy machine.
const STATUS_TIME: Duration = Duration::from_secs(5);

/// Share of the requests that a bad version may get, as the daemons' settings state it.
pub(crate) const EXPOSURE_SHARE: f64 = 0.1;

/// Requests that a bad version may get in addition, as the daemons' settings state it.
pub(crate) const EXPOSURE_SLACK: usize = 50;

/// Time after a verdict from which no request may reach a bad version, as the daemons' settings state it.
pub(crate) const ROLLBACK: Duration = Duration::from_secs(5);

/// Time after `ROLLBACK` in which requests to a bad version are counted.
const AFTER_ROLLBACK: Duration = Duration::from_secs(2);

impl TestEnvironment {
    /// Starts instances of another version of the desk, and orders its rollout. Checks the share of the requests that reach a
    /// bad version, that none reaches it some time after the verdict, and the status of the order.
    pub async fn roll_out(&mut self, is_good: bool) -> IoResult<()> {
        self.rollouts += 1;
        let target = format!("desk-{}", self.rollouts);
        let began = Instant::now();
        self.store.put(
            ORDER,
            &format!(r#"{{"service":"desk","target":"{target}","duration_s":{DURATION_S}}}"#),
        );
        let behaviours: &[Behaviour] =
            if is_good { &[] } else { &[Behaviour::ServerError; 10_000] };
        for domain in DOMAINS {
            self.add_upstream_of("desk", domain, &target, behaviours).await?;
        }
        let expected = if is_good { "completed" } else { "rolled_back" };
        let end = began + Duration::from_secs(DURATION_S) + STATUS_TIME;
        while !self.has_status(&target, expected) && Instant::now() < end {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        if !self.has_status(&target, expected) {
            let status = self.store.value(STATUS).unwrap_or_default();
            self.violations.push(format!("{target} is not {expected}, its status is {status:?}"));
        }
        if is_good {
            self.desk_version = target.clone();
        } else {
            self.check_rollback(&target, began).await;
        }
        self.store.remove(ORDER);
        self.retire_desks(|upstream| (upstream.upstream.version() == target) != is_good);
        Ok(())
    }

    /// Checks how many requests have reached a bad version since its order at `began`, and that no more reach it.
    async fn check_rollback(&mut self, target: &str, began: Instant) {
        let verdict = Instant::now();
        tokio::time::sleep(ROLLBACK + AFTER_ROLLBACK).await;
        let (mut bad, mut all, mut late) = (0, 0, 0);
        for upstream in self.upstreams.iter().filter(|upstream| upstream.service == "desk") {
            let requests = upstream.requests_after(began);
            all += requests;
            if upstream.upstream.version() == target {
                bad += requests;
                late += upstream.requests_after(verdict + ROLLBACK);
            }
        }
        if bad as f64 > EXPOSURE_SHARE * all as f64 + EXPOSURE_SLACK as f64 {
            self.violations
                .push(format!("{bad} of {all} requests reached the bad version {target}"));
        }
        if late > 0 {
            self.violations.push(format!("{late} requests reached {target} after its verdict"));
        }
    }

    fn has_status(&self, target: &str, state: &str) -> bool {
        let status = self.store.value(STATUS).unwrap_or_default();
        [target, state].iter().all(|text| status.contains(&format!("\"{text}\"")))
    }

    /// Ends the instances of the desk for which `is_retired` holds, and removes their entries.
    fn retire_desks(&mut self, is_retired: impl Fn(&ProxiedUpstream) -> bool) {
        let is_retired =
            |upstream: &mut ProxiedUpstream| upstream.service == "desk" && is_retired(upstream);
        let retired: Vec<_> = self.upstreams.extract_if(.., is_retired).collect();
        for upstream in retired {
            self.store.remove(&upstream.key());
            self.removed_upstreams.push(upstream);
        }
    }
}
