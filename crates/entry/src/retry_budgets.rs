//! Retry budgets of all services.

use base::{HashMap, ServiceName};
use call::RetryBudget;
use std::sync::{Mutex, PoisonError};

/// Retry budgets of all services. Names are of services in the configuration, so that their number is bounded.
#[derive(Debug, Default)]
pub(crate) struct RetryBudgets {
    budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
}

impl RetryBudgets {
    /// Counts a new call.
    pub fn deposit(&self, service: &ServiceName) {
        self.with(service, RetryBudget::deposit);
    }

    /// Takes a repeat from the budget; whether there was one.
    pub fn withdraw(&self, service: &ServiceName) -> bool {
        self.with(service, RetryBudget::withdraw)
    }

    fn with<T>(&self, service: &ServiceName, action: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        action(budgets.entry(service.clone()).or_default())
    }
}
