//! Decision on whether the process of an upstream has ended after it cut connections off.

/// Waits in milliseconds between the checks of a process. Further checks follow after the last of them.
const CHECK_WAITS_MS: [u64; 4] = [50, 150, 300, 500];

/// Time in milliseconds after a cut for which a process that responds may still be about to end. One that ends can close its
/// connections before it stops to listen.
const SETTLE_MS: u64 = 1_000;

/// Number of checks in succession whose connection is closed from which a process counts as ended. An upstream that lives
/// resets connections beyond its limit.
const MAX_CLOSED: usize = 4;

/// Number of checks after which a process that gives no response is checked no more.
const MAX_CHECKS: usize = 8;

/// What one check has found out about the process that cut connections off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessState {
    /// Nothing listens at the address, or another process does.
    Ended,
    /// The process responds.
    Alive,
    /// The connection was closed without a response. One such check shows nothing.
    Closed,
    /// There was no response in time: the process may be busy, silent for a while, or partitioned.
    Silent,
}

/// Checks in progress of one process, with the requests that it cut off: `L` describes one of them.
///
/// No single check decides that a process lives: it may respond for the last time.
#[derive(Debug)]
pub struct EndCheck<L> {
    losses: Vec<CutRequest<L>>,
    /// When the last check began to which the process responded.
    alive_ms: Option<u64>,
    /// When the next check is due.
    next_ms: u64,
    /// Number of checks so far.
    checks: usize,
    /// Number of checks whose connection was closed since the last response.
    closed: usize,
}

/// Request that a process cut off.
#[derive(Debug)]
struct CutRequest<L> {
    loss: L,
    sent_ms: u64,
    lost_ms: u64,
}

/// State after a check.
#[derive(Debug)]
pub enum Conclusion<L> {
    /// The process has ended, and had these requests in flight. Requests that were sent after it had cut others off for the
    /// last time have not reached it.
    Ended {
        losses: Vec<L>,
        /// When it cut the first of them off. Processes that check it at other moments agree best on this time.
        first_cut_ms: u64,
    },
    /// The process has outlived all of these requests.
    Alive(Vec<L>),
    /// It could not be found out whether the process has ended, with these requests in flight.
    Unknown(Vec<L>),
    /// Further checks decide. The process has outlived the requests in `alive`.
    Open { check: EndCheck<L>, alive: Vec<L> },
}

impl<L> EndCheck<L> {
    /// Begins to check a process that cut the request `loss` off at `lost_ms`, which was sent at `sent_ms`.
    pub fn new(loss: L, sent_ms: u64, lost_ms: u64) -> Self {
        let losses = vec![CutRequest { loss, sent_ms, lost_ms }];
        Self { losses, alive_ms: None, next_ms: lost_ms, checks: 0, closed: 0 }
    }

    /// Adds another request that the process cut off.
    pub fn add(&mut self, loss: L, sent_ms: u64, lost_ms: u64) {
        self.losses.push(CutRequest { loss, sent_ms, lost_ms });
    }

    /// Requests of which it is not known yet whether the process has outlived them.
    pub fn losses_mut(&mut self) -> impl Iterator<Item = &mut L> {
        self.losses.iter_mut().map(|cut| &mut cut.loss)
    }

    /// When the next check is due.
    pub fn next_check_ms(&self) -> u64 {
        self.next_ms
    }

    /// Records the result of a check that began at `asked_ms` and ended at `now_ms`.
    pub fn record(mut self, state: ProcessState, asked_ms: u64, now_ms: u64) -> Conclusion<L> {
        let mut alive = Vec::new();
        match state {
            ProcessState::Ended => return self.into_ended(),
            ProcessState::Alive => {
                self.closed = 0;
                self.alive_ms = Some(asked_ms);
                for cut in std::mem::take(&mut self.losses) {
                    match cut.lost_ms + SETTLE_MS <= asked_ms {
                        true => alive.push(cut.loss),
                        false => self.losses.push(cut),
                    }
                }
                if self.losses.is_empty() {
                    return Conclusion::Alive(alive);
                }
            }
            ProcessState::Closed => {
                self.closed += 1;
                if self.closed >= MAX_CLOSED {
                    return self.into_ended();
                }
            }
            ProcessState::Silent if self.checks >= MAX_CHECKS => {
                return Conclusion::Unknown(self.into_losses().map(|cut| cut.loss).collect());
            }
            ProcessState::Silent => {}
        }
        // A process that has just closed a connection for the first time is checked again soon.
        let step = if self.closed > 0 { self.closed - 1 } else { self.checks };
        let wait_ms = CHECK_WAITS_MS.get(step).or(CHECK_WAITS_MS.last());
        self.checks += 1;
        self.next_ms = now_ms + wait_ms.copied().unwrap_or(SETTLE_MS);
        Conclusion::Open { check: self, alive }
    }

    fn into_ended(self) -> Conclusion<L> {
        let cuts: Vec<CutRequest<L>> = self.into_losses().collect();
        let first_cut_ms = cuts.iter().map(|cut| cut.lost_ms).min().unwrap_or_default();
        Conclusion::Ended { losses: cuts.into_iter().map(|cut| cut.loss).collect(), first_cut_ms }
    }

    /// Requests that the process may have had in flight when it ended.
    fn into_losses(self) -> impl Iterator<Item = CutRequest<L>> {
        let after_alive = self.losses.iter().map(|cut| cut.lost_ms);
        let after_alive = after_alive.filter(|&at_ms| self.alive_ms.is_none_or(|ms| at_ms > ms));
        let end_ms = after_alive.min().unwrap_or(u64::MAX);
        self.losses.into_iter().filter(move |cut| cut.sent_ms <= end_ms)
    }
}
