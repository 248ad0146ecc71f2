//! Retry that was withdrawn from the budget for an attempt that was not sent yet.

use crate::core::Core;
use base::ServiceName;
use limit::Urgency;
use std::sync::Arc;

/// Withdrawn retry. It is refunded when it is dropped, unless it was spent.
#[derive(Debug)]
pub(crate) struct RetryPermit {
    core: Arc<Core>,
    service: ServiceName,
    is_spent: bool,
}

impl RetryPermit {
    /// Withdraws a retry from the budget of a service, or borrows one from another daemon; `None` if there is none.
    pub async fn withdraw(
        core: &Arc<Core>,
        service: &ServiceName,
        urgency: Urgency,
    ) -> Option<Self> {
        if !core.withdraw(service, urgency).await {
            return None;
        }
        Some(Self { core: Arc::clone(core), service: service.clone(), is_spent: false })
    }

    /// Uses up the retry, because its request is sent now.
    pub fn spend(mut self) {
        self.is_spent = true;
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        if !self.is_spent {
            self.core.refund(&self.service);
        }
    }
}
