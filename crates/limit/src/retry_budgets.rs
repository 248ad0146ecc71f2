//! Retry budgets of all services.

use crate::retry_budget::{RetryBudget, RetryBudgetLimits, Urgency};
use base::{HashMap, ServiceName, lock};
use std::sync::Mutex;

/// Retry budgets of all services at one daemon. Names are of services in the configuration, so that their number is
/// bounded.
#[derive(Debug)]
pub struct RetryBudgets {
    rules: RetryBudgetLimits,
    budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
}

impl RetryBudgets {
    /// Budgets that have seen no request.
    pub fn new(rules: RetryBudgetLimits) -> Self {
        Self { rules, budgets: Mutex::default() }
    }

    /// Counts a request of a caller.
    pub fn deposit(&self, service: &ServiceName, now_ms: u64) {
        self.with(service, |budget| budget.deposit(now_ms));
    }

    /// Takes a repeat from the budget; whether there was one. `daemons` share the slack.
    pub fn try_withdraw(
        &self,
        service: &ServiceName,
        daemons: usize,
        urgency: Urgency,
        now_ms: u64,
    ) -> bool {
        self.with(service, |budget| budget.try_withdraw(daemons, urgency, now_ms))
    }

    /// Gives back a repeat that was not sent.
    pub fn refund(&self, service: &ServiceName, now_ms: u64) {
        self.with(service, |budget| budget.refund(now_ms));
    }

    fn with<T>(&self, service: &ServiceName, action: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = lock(&self.budgets);
        if let Some(budget) = budgets.get_mut(service) {
            return action(budget);
        }
        action(budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(self.rules)))
    }
}
