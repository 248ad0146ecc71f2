//! Budget of second and later sends to a service.

/// Sends that can be saved up while all requests succeed.
const MAX_BALANCE: f64 = 40.0;

/// Sends that a daemon may make before it has seen requests: its part of the fleet's slack.
const FIRST_BALANCE: f64 = 10.0;

/// Share of the allowed ratio that a daemon spends, since other daemons' windows may lie differently.
const SPENT_SHARE: f64 = 0.8;

/// Budget of repeats for one service at one daemon.
///
/// Each daemon spends only what its own requests earn, so the fleet keeps the ratio without a message.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    ratio: f64,
    balance: f64,
}

impl Budget {
    /// A budget of `ratio` repeats for each request.
    pub fn new(ratio: f64) -> Self {
        Self { ratio: ratio * SPENT_SHARE, balance: FIRST_BALANCE }
    }

    /// Counts a request of a caller.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.ratio).min(MAX_BALANCE);
    }

    /// Takes a repeat from the budget; whether there was one.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
