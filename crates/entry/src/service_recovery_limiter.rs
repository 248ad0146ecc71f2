//! Admission of the recovery attempts of one service.

use base::{Clock, HashMap, lock};
use recovery::{RecoveryLimiter, RecoveryLimits, Ticket};
use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::{sync::oneshot, time::Instant};

/// Interval at which a waiting attempt checks the limits again while the rate allows it, but too many attempts run.
const RECHECK_INTERVAL_MS: u64 = 100;

#[derive(Debug)]
struct Inner {
    limiter: RecoveryLimiter,
    /// Channels that notify the waiting attempts of their admission.
    senders: HashMap<Ticket, oneshot::Sender<()>>,
}

/// Limits the rate and the concurrency of the recovery attempts of one service.
#[derive(Debug)]
pub(crate) struct ServiceRecoveryLimiter {
    clock: Clock,
    inner: Mutex<Inner>,
}

impl ServiceRecoveryLimiter {
    pub fn new(limits: RecoveryLimits, clock: Clock) -> Self {
        let inner = Inner { limiter: RecoveryLimiter::new(limits), senders: HashMap::default() };
        Self { clock, inner: Mutex::new(inner) }
    }

    /// Waits until an attempt may start. Dropping the future removes the attempt from the queue.
    pub async fn admit(self: Arc<Self>) -> RecoveryPermit {
        let (sender, mut admitted) = oneshot::channel();
        let ticket = {
            let mut inner = self.lock();
            let ticket = inner.limiter.request();
            inner.senders.insert(ticket, sender);
            ticket
        };
        let permit = RecoveryPermit { limiter: Arc::clone(&self), ticket };
        loop {
            let wait_ms = self.admit_waiting(ticket);
            let recheck = Instant::now() + Duration::from_millis(wait_ms);
            tokio::select! {
                biased;
                _ = &mut admitted => return permit,
                () = tokio::time::sleep_until(recheck) => {}
            }
        }
    }

    /// Admits as many attempts as the limits allow, and returns the time in milliseconds after which the limits are to
    /// be checked again for `ticket`: when the rate will allow it, or `RECHECK_INTERVAL_MS` if the rate already does.
    fn admit_waiting(&self, ticket: Ticket) -> u64 {
        let mut inner = self.lock();
        let now_ms = self.clock.now_ms();
        inner.admit(now_ms);
        match inner.limiter.earliest_ms(ticket, now_ms) {
            Some(earliest_ms) if earliest_ms > now_ms => earliest_ms - now_ms,
            _ => RECHECK_INTERVAL_MS,
        }
    }

    fn release(&self, ticket: Ticket) {
        let mut inner = self.lock();
        inner.limiter.release(ticket);
        inner.senders.remove(&ticket);
        inner.admit(self.clock.now_ms());
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

impl Inner {
    fn admit(&mut self, now_ms: u64) {
        while let Some(ticket) = self.limiter.admit(now_ms) {
            if let Some(sender) = self.senders.remove(&ticket) {
                // If the attempt no longer waits, its permit is dropped as well, which releases the ticket.
                let _ = sender.send(());
            }
        }
    }
}

/// Permit of one recovery attempt. The permit is released on drop, because an attempt also ends when its task is
/// cancelled.
#[derive(Debug)]
pub(crate) struct RecoveryPermit {
    limiter: Arc<ServiceRecoveryLimiter>,
    ticket: Ticket,
}

impl Drop for RecoveryPermit {
    fn drop(&mut self) {
        self.limiter.release(self.ticket);
    }
}
