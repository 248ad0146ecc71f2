//! Priority of a request among those of its service.

use crate::priority::Priority;

/// Priority of a request by its client account and its route.
///
/// Requests are compared by the priorities of their client accounts first. Those of accounts with the same priority are
/// compared by their routes, so that the tiers of a service stay apart where all accounts state a priority.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestPriority {
    account: Priority,
    route: Priority,
}

impl RequestPriority {
    /// Combines the priorities that the client account and the route state. An account without one counts with that of
    /// the route.
    pub fn new(account: Option<Priority>, route: Option<Priority>) -> Self {
        let route = route.unwrap_or_default();
        Self { account: account.unwrap_or(route), route }
    }

    /// Priority of the client account, which is compared first.
    pub fn account(self) -> Priority {
        self.account
    }
}
