//! Shared access to the retry budgets of the services.

use crate::retry_budget::{RetryBudget, RetryBudgetLimits, Urgency};
use base::{HashMap, ServiceName, lock};
use std::sync::Mutex;

/// Retry budgets of all services at one daemon. Only services of the configuration get a budget, so their number is
/// bounded.
#[derive(Debug)]
pub struct RetryBudgets {
    limits: RetryBudgetLimits,
    budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
}

impl RetryBudgets {
    /// Creates budgets without counted requests.
    pub fn new(limits: RetryBudgetLimits) -> Self {
        Self { limits, budgets: Mutex::default() }
    }

    /// Counts a request of a caller, which adds `RetryBudgetLimits::ratio` retries to the budget of the service.
    pub fn deposit(&self, service: &ServiceName, now_ms: u64) {
        self.with_budget(service, |budget| budget.deposit(now_ms));
    }

    /// Withdraws a retry from the budget, and returns whether the budget allowed it. The slack is divided among
    /// `daemons` daemons.
    pub fn try_withdraw(
        &self,
        service: &ServiceName,
        daemons: usize,
        urgency: Urgency,
        now_ms: u64,
    ) -> bool {
        self.with_budget(service, |budget| budget.try_withdraw(daemons, urgency, now_ms))
    }

    /// Returns to the budget a retry that was withdrawn but not sent.
    pub fn refund(&self, service: &ServiceName, now_ms: u64) {
        self.with_budget(service, |budget| budget.refund(now_ms));
    }

    /// Applies `action` to the budget of a service, and creates the budget if the service has none yet.
    fn with_budget<T>(
        &self,
        service: &ServiceName,
        action: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = lock(&self.budgets);
        if let Some(budget) = budgets.get_mut(service) {
            return action(budget);
        }
        action(budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(self.limits)))
    }
}
