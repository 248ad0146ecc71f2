//! Guards against two holders at the same time, decreasing fencing tokens, and a service without a holder, under
//! pauses, lost answers and expired leases.

use orders::{FenceRecord, Lease, LeaseInput, LeaseStep, LeaseTiming};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Number of candidates for the lease.
const DAEMONS: usize = 3;

/// Seed of the random schedules.
const SEED: u64 = 20_261_204;

const TIMING: LeaseTiming = LeaseTiming {
    ttl_ms: 6_000,
    safety_margin_ms: 2_000,
    keep_alive_interval_ms: 1_000,
    order_timeout_ms: 300,
    retry_ms: 500,
};

#[derive(Clone, Copy, Debug)]
enum Event {
    /// Time advances by some milliseconds.
    Advance(u64),
    /// A daemon takes a step. Its answer arrives after this time in milliseconds.
    Step(usize, u64),
    /// A daemon takes a step that has its effect, but the answer is lost.
    StepAnswerLost(usize),
    /// A daemon takes a step that is lost before it has an effect.
    StepLost(usize),
    /// A daemon takes a step without an answer. It takes effect at a later `DeliverDelayed`.
    StepDelayed(usize),
    /// The oldest delayed step takes effect.
    DeliverDelayed,
    /// A daemon takes a step and is paused before it receives the answer.
    Pause(usize),
    /// A daemon restarts. If it is the holder, it revokes its lease first.
    Restart(usize),
    /// A paused daemon resumes and receives the answer, however old it is.
    Resume(usize),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let daemon = usize::arbitrary(g) % DAEMONS;
        let ms = u64::arbitrary(g);
        match u8::arbitrary(g) % 18 {
            0..=1 => Self::Advance(ms % 800),
            2..=9 => Self::Step(daemon, ms % 300),
            10 => Self::StepAnswerLost(daemon),
            11 => Self::StepLost(daemon),
            12 => Self::StepDelayed(daemon),
            13 => Self::DeliverDelayed,
            14 => Self::Pause(daemon),
            15 => Self::Resume(daemon),
            16 => Self::Restart(daemon),
            _ => Self::Advance(ms % 3_000),
        }
    }
}

/// Simulated platform, which performs steps atomically.
#[derive(Debug, Default)]
struct Platform {
    /// Expiry of each lease. The identifier of a lease is its position plus 1, its fencing token is 10 times the
    /// identifier.
    ends_ms: Vec<u64>,
    /// Identifier of the lease that the holder key names.
    holder: Option<u64>,
    fence: Option<FenceRecord>,
    fence_revision: u64,
    /// Steps that have not taken effect yet, oldest first.
    delayed: Vec<LeaseStep>,
}

impl Platform {
    fn is_alive(&self, lease_id: u64, now_ms: u64) -> bool {
        self.ends_ms.get(lease_id as usize - 1).is_some_and(|end_ms| now_ms < *end_ms)
    }

    /// Performs a step and returns the answer.
    fn perform(&mut self, step: &LeaseStep, now_ms: u64) -> LeaseInput {
        if self.holder.is_some_and(|holder| !self.is_alive(holder, now_ms)) {
            self.holder = None;
        }
        match step {
            LeaseStep::Wait(_) => LeaseInput::NoAnswer,
            LeaseStep::ReadHolder => LeaseInput::Holder(self.holder),
            LeaseStep::ReadFence => LeaseInput::Fence(self.fence.clone(), self.fence_revision),
            LeaseStep::Grant => {
                self.ends_ms.push(now_ms + TIMING.ttl_ms);
                let lease_id = self.ends_ms.len() as u64;
                LeaseInput::Granted { lease_id, fencing_token: lease_id * 10 }
            }
            LeaseStep::KeepAlive(lease_id) if self.is_alive(*lease_id, now_ms) => {
                self.ends_ms[*lease_id as usize - 1] = now_ms + TIMING.ttl_ms;
                LeaseInput::Granted { lease_id: *lease_id, fencing_token: lease_id * 10 }
            }
            LeaseStep::WriteHolder(lease_id) if self.is_alive(*lease_id, now_ms) => {
                if self.holder.is_some() {
                    return LeaseInput::Conflict;
                }
                self.holder = Some(*lease_id);
                LeaseInput::Written
            }
            LeaseStep::KeepAlive(_) | LeaseStep::WriteHolder(_) => LeaseInput::Ended,
            LeaseStep::WriteFence(record, revision) if *revision == self.fence_revision => {
                self.fence = Some(record.clone());
                self.fence_revision += 1;
                LeaseInput::Written
            }
            LeaseStep::WriteFence(..) => LeaseInput::Conflict,
        }
    }
}

/// Simulation of the platform and the candidates, with the checked invariants.
#[derive(Debug)]
struct Simulation {
    now_ms: u64,
    platform: Platform,
    leases: Vec<Lease>,
    /// Answer that each paused daemon has not received yet.
    paused: Vec<Option<LeaseInput>>,
    highest_token: u64,
    /// Time at which a daemon last considered itself the holder.
    last_held_ms: u64,
}

impl Simulation {
    fn new() -> Self {
        Self {
            now_ms: 0,
            platform: Platform::default(),
            leases: vec![Lease::new(TIMING); DAEMONS],
            paused: vec![None; DAEMONS],
            highest_token: 0,
            last_held_ms: 0,
        }
    }

    /// Advances the time, and returns whether the invariants hold every 50 ms.
    fn advance(&mut self, ms: u64) -> bool {
        let end_ms = self.now_ms + ms;
        loop {
            if !self.invariants_hold() {
                return false;
            }
            if self.now_ms >= end_ms {
                return true;
            }
            self.now_ms = end_ms.min(self.now_ms + 50);
        }
    }

    /// Checks that at most one daemon considers itself the holder, that tokens never decrease, and that a new holder
    /// starts only when the last order of its predecessor has ended.
    fn invariants_hold(&mut self) -> bool {
        let tokens: Vec<u64> =
            self.leases.iter().filter_map(|lease| lease.fencing_token(self.now_ms)).collect();
        let Some(&token) = tokens.first() else { return true };
        let is_new = token > self.highest_token;
        let waited_ms = self.now_ms - self.last_held_ms;
        let is_early = is_new && self.highest_token > 0 && waited_ms < TIMING.order_timeout_ms;
        let holds = tokens.len() == 1 && token >= self.highest_token && !is_early;
        self.highest_token = token;
        self.last_held_ms = self.now_ms;
        holds
    }

    /// Applies an event, and returns whether the invariants hold.
    fn apply(&mut self, event: Event) -> bool {
        match event {
            Event::Advance(ms) => self.advance(ms),
            Event::Restart(daemon) => {
                let lease = std::mem::replace(&mut self.leases[daemon], Lease::new(TIMING));
                if let Some(lease_id) = lease.into_held_lease_id() {
                    self.platform.ends_ms[lease_id as usize - 1] = self.now_ms;
                }
                self.paused[daemon] = None;
                self.invariants_hold()
            }
            Event::Resume(daemon) => {
                if let Some(input) = self.paused[daemon].take() {
                    self.leases[daemon].handle_input(input, self.now_ms);
                }
                self.invariants_hold()
            }
            Event::Step(daemon, _)
            | Event::StepAnswerLost(daemon)
            | Event::StepLost(daemon)
            | Event::StepDelayed(daemon)
            | Event::Pause(daemon)
                if self.paused[daemon].is_some() =>
            {
                true
            }
            Event::Pause(daemon) => {
                let step = self.leases[daemon].next_step(self.now_ms);
                if !matches!(step, LeaseStep::Wait(_)) {
                    self.paused[daemon] = Some(self.platform.perform(&step, self.now_ms));
                }
                true
            }
            Event::Step(daemon, delay_ms) => {
                let step = self.leases[daemon].next_step(self.now_ms);
                if matches!(step, LeaseStep::Wait(_)) {
                    return true;
                }
                let is_valid = self.advance(delay_ms / 2);
                let input = self.platform.perform(&step, self.now_ms);
                let is_valid = self.advance(delay_ms / 2) && is_valid;
                self.leases[daemon].handle_input(input, self.now_ms);
                is_valid && self.invariants_hold()
            }
            Event::StepAnswerLost(daemon)
            | Event::StepLost(daemon)
            | Event::StepDelayed(daemon) => {
                let step = self.leases[daemon].next_step(self.now_ms);
                if matches!(step, LeaseStep::Wait(_)) {
                    return true;
                }
                match event {
                    Event::StepAnswerLost(_) => {
                        self.platform.perform(&step, self.now_ms);
                    }
                    Event::StepDelayed(_) => self.platform.delayed.push(step),
                    _ => {}
                }
                self.leases[daemon].handle_input(LeaseInput::NoAnswer, self.now_ms);
                self.invariants_hold()
            }
            Event::DeliverDelayed if self.platform.delayed.is_empty() => true,
            Event::DeliverDelayed => {
                let step = self.platform.delayed.remove(0);
                self.platform.perform(&step, self.now_ms);
                self.invariants_hold()
            }
        }
    }
}

/// Applies a schedule, and then steps all daemons without faults until there must be a holder. Returns whether the
/// invariants held and there is a holder.
fn passes(events: Vec<Event>) -> bool {
    let mut simulation = Simulation::new();
    if !events.into_iter().all(|event| simulation.apply(event)) {
        return false;
    }
    let is_valid_on_resume = (0..DAEMONS).all(|daemon| simulation.apply(Event::Resume(daemon)));
    let undisturbed = (0..DAEMONS).cycle().take(DAEMONS * 300);
    let is_valid = undisturbed.into_iter().all(|daemon| {
        simulation.apply(Event::Step(daemon, 20)) && simulation.apply(Event::Advance(20))
    });
    is_valid_on_resume
        && is_valid
        && simulation.leases.iter().any(|lease| lease.fencing_token(simulation.now_ms).is_some())
}

#[test]
fn no_schedule_gives_two_holders_or_a_decreasing_token() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(150, SEED))
        .tests(8_000)
        .max_tests(8_000)
        .quickcheck(passes as fn(Vec<Event>) -> bool);
}

/// Steps a daemon without delays until it is the holder or waits.
fn run_until_waiting(simulation: &mut Simulation, daemon: usize) {
    for _ in 0..8 {
        assert!(simulation.apply(Event::Step(daemon, 0)));
    }
}

#[test]
fn a_holder_that_resumes_after_its_lease_expired_has_no_token() {
    let mut simulation = Simulation::new();
    run_until_waiting(&mut simulation, 0);
    assert!(simulation.apply(Event::Advance(1_500)));
    let token = simulation.leases[0].fencing_token(simulation.now_ms).unwrap();
    assert!(simulation.apply(Event::Advance(TIMING.ttl_ms)));
    assert_eq!(simulation.leases[0].fencing_token(simulation.now_ms), None);
    run_until_waiting(&mut simulation, 1);
    assert!(simulation.apply(Event::Advance(TIMING.order_timeout_ms)));
    assert!(simulation.leases[1].fencing_token(simulation.now_ms).unwrap() > token);
    run_until_waiting(&mut simulation, 0);
    assert_eq!(simulation.leases[0].fencing_token(simulation.now_ms), None);
}

#[test]
fn a_candidate_with_an_older_lease_does_not_succeed_a_holder_with_a_newer_one() {
    let mut simulation = Simulation::new();
    // Daemon 0 gets lease 1 and stops before it writes the holder key.
    for _ in 0..3 {
        simulation.apply(Event::Step(0, 0));
    }
    for _ in 0..5 {
        simulation.apply(Event::Step(1, 0));
    }
    simulation.apply(Event::Advance(1_000));
    assert_eq!(simulation.leases[1].fencing_token(simulation.now_ms), Some(20));
    // Lease 2 ends early, as if daemon 1 revoked it at shutdown.
    simulation.platform.ends_ms[1] = simulation.now_ms;
    simulation.leases[1] = Lease::new(TIMING);
    simulation.apply(Event::Advance(100));
    for _ in 0..6 {
        assert!(simulation.apply(Event::Step(0, 0)));
    }
    simulation.apply(Event::Advance(1_000));
    assert_eq!(simulation.leases[0].fencing_token(simulation.now_ms), None);
}
