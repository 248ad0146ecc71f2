//! Budget of repeats that keeps a failing service from getting several times its load.

/// Thousandths of a repeat that each call adds: repeats are at most a tenth of the calls.
const DEPOSIT: u32 = 100;

/// Thousandths that one repeat takes.
const WITHDRAWAL: u32 = 1_000;

/// Largest balance in thousandths, which is also the first one.
const LIMIT: u32 = 10_000;

/// Budget of repeats of sent calls to one service at one entry.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance: LIMIT }
    }
}

impl RetryBudget {
    /// Counts a new call.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT).min(LIMIT);
    }

    /// Takes a repeat from the budget; whether there was one.
    pub fn withdraw(&mut self) -> bool {
        match self.balance.checked_sub(WITHDRAWAL) {
            Some(balance) => {
                self.balance = balance;
                true
            }
            None => false,
        }
    }
}
