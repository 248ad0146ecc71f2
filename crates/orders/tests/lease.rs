//! Guards against two holders at a time, fencing tokens that fall, and a service without a holder, under pauses, lost
//! answers and leases that lapse.

use orders::{FenceRecord, Lease, LeaseInput, LeaseStep, LeaseTiming};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Daemons that want the lease.
const DAEMONS: usize = 3;

/// Seed of the schedules.
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
    /// Time passes.
    Advance(u64),
    /// A daemon takes a step; its answer arrives after this time.
    Step(usize, u64),
    /// A daemon takes a step, and the answer is lost after the effect.
    StepAnswerLost(usize),
    /// A daemon's step is lost before the effect.
    StepLost(usize),
    /// A daemon's write is lost and takes effect at the next `Deliver`.
    StepLate(usize),
    /// The oldest late write takes effect.
    Deliver,
    /// A daemon is paused after its step has taken effect, before it sees the answer.
    Pause(usize),
    /// A daemon shuts down and starts again; it gives its lease back if it is the holder.
    Restart(usize),
    /// A paused daemon wakes and sees the answer, however old it is.
    Wake(usize),
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
            12 => Self::StepLate(daemon),
            13 => Self::Deliver,
            14 => Self::Pause(daemon),
            15 => Self::Wake(daemon),
            16 => Self::Restart(daemon),
            _ => Self::Advance(ms % 3_000),
        }
    }
}

/// Platform with its effects in order: the oracle.
#[derive(Debug, Default)]
struct Platform {
    /// End of each lease; the identifier is the position plus 1, and the fencing token ten times as much.
    ends_ms: Vec<u64>,
    holder: Option<u64>,
    fence: Option<FenceRecord>,
    fence_revision: u64,
    late: Vec<LeaseStep>,
}

impl Platform {
    fn is_alive(&self, lease_id: u64, now_ms: u64) -> bool {
        self.ends_ms.get(lease_id as usize - 1).is_some_and(|end_ms| now_ms < *end_ms)
    }

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

#[derive(Debug)]
struct World {
    now_ms: u64,
    platform: Platform,
    leases: Vec<Lease>,
    /// Answers that paused daemons have not seen.
    paused: Vec<Option<LeaseInput>>,
    highest_token: u64,
    /// Since when the daemon with the highest token has not believed in it.
    last_believed_ms: u64,
}

impl World {
    fn new() -> Self {
        Self {
            now_ms: 0,
            platform: Platform::default(),
            leases: vec![Lease::new(TIMING); DAEMONS],
            paused: vec![None; DAEMONS],
            highest_token: 0,
            last_believed_ms: 0,
        }
    }

    /// Lets time pass and checks every 50 ms whether the promises hold.
    fn advance(&mut self, ms: u64) -> bool {
        let end_ms = self.now_ms + ms;
        loop {
            if !self.holds() {
                return false;
            }
            if self.now_ms >= end_ms {
                return true;
            }
            self.now_ms = end_ms.min(self.now_ms + 50);
        }
    }

    /// At most one daemon believes that it is the holder, tokens never fall, and a successor begins only when the last
    /// order of its predecessor has ended.
    fn holds(&mut self) -> bool {
        let tokens: Vec<u64> =
            self.leases.iter().filter_map(|lease| lease.fencing_token(self.now_ms)).collect();
        let Some(&token) = tokens.first() else { return true };
        let is_new = token > self.highest_token;
        let waited_ms = self.now_ms - self.last_believed_ms;
        let is_early = is_new && self.highest_token > 0 && waited_ms < TIMING.order_timeout_ms;
        let holds = tokens.len() == 1 && token >= self.highest_token && !is_early;
        self.highest_token = token;
        self.last_believed_ms = self.now_ms;
        holds
    }

    fn run(&mut self, event: Event) -> bool {
        match event {
            Event::Advance(ms) => self.advance(ms),
            Event::Restart(daemon) => {
                let lease = std::mem::replace(&mut self.leases[daemon], Lease::new(TIMING));
                if let Some(lease_id) = lease.into_held_lease_id() {
                    self.platform.ends_ms[lease_id as usize - 1] = self.now_ms;
                }
                self.paused[daemon] = None;
                self.holds()
            }
            Event::Wake(daemon) => {
                if let Some(input) = self.paused[daemon].take() {
                    self.leases[daemon].handle_input(input, self.now_ms);
                }
                self.holds()
            }
            Event::Step(daemon, _)
            | Event::StepAnswerLost(daemon)
            | Event::StepLost(daemon)
            | Event::StepLate(daemon)
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
                let is_quiet = self.advance(delay_ms / 2);
                let input = self.platform.perform(&step, self.now_ms);
                let is_quiet = self.advance(delay_ms / 2) && is_quiet;
                self.leases[daemon].handle_input(input, self.now_ms);
                is_quiet && self.holds()
            }
            Event::StepAnswerLost(daemon) | Event::StepLost(daemon) | Event::StepLate(daemon) => {
                let step = self.leases[daemon].next_step(self.now_ms);
                if matches!(step, LeaseStep::Wait(_)) {
                    return true;
                }
                match event {
                    Event::StepAnswerLost(_) => {
                        self.platform.perform(&step, self.now_ms);
                    }
                    Event::StepLate(_) => self.platform.late.push(step),
                    _ => {}
                }
                self.leases[daemon].handle_input(LeaseInput::NoAnswer, self.now_ms);
                self.holds()
            }
            Event::Deliver if self.platform.late.is_empty() => true,
            Event::Deliver => {
                let step = self.platform.late.remove(0);
                self.platform.perform(&step, self.now_ms);
                self.holds()
            }
        }
    }
}

/// Runs a schedule and then lets all daemons run without disturbance until there must be a holder.
fn holds(events: Vec<Event>) -> bool {
    let mut world = World::new();
    if !events.into_iter().all(|event| world.run(event)) {
        return false;
    }
    let is_awake = (0..DAEMONS).all(|daemon| world.run(Event::Wake(daemon)));
    let calm = (0..DAEMONS).cycle().take(DAEMONS * 300);
    let is_quiet = calm
        .into_iter()
        .all(|daemon| world.run(Event::Step(daemon, 20)) && world.run(Event::Advance(20)));
    is_awake
        && is_quiet
        && world.leases.iter().any(|lease| lease.fencing_token(world.now_ms).is_some())
}

#[test]
fn no_schedule_gives_two_holders_or_a_falling_token() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(150, SEED))
        .tests(8_000)
        .max_tests(8_000)
        .quickcheck(holds as fn(Vec<Event>) -> bool);
}

/// Steps a lease without delays until it waits.
fn settle(world: &mut World, daemon: usize) {
    for _ in 0..8 {
        assert!(world.run(Event::Step(daemon, 0)));
    }
}

#[test]
fn a_holder_that_wakes_after_its_lease_has_no_token() {
    let mut world = World::new();
    settle(&mut world, 0);
    assert!(world.run(Event::Advance(1_500)));
    let token = world.leases[0].fencing_token(world.now_ms).unwrap();
    assert!(world.run(Event::Advance(TIMING.ttl_ms)));
    assert_eq!(world.leases[0].fencing_token(world.now_ms), None);
    settle(&mut world, 1);
    assert!(world.run(Event::Advance(TIMING.order_timeout_ms)));
    assert!(world.leases[1].fencing_token(world.now_ms).unwrap() > token);
    settle(&mut world, 0);
    assert_eq!(world.leases[0].fencing_token(world.now_ms), None);
}

#[test]
fn a_candidate_with_an_older_lease_does_not_follow_a_newer_one() {
    let mut world = World::new();
    // Daemon 0 has lease 1 and stops before it writes the holder's key.
    for _ in 0..3 {
        world.run(Event::Step(0, 0));
    }
    for _ in 0..5 {
        world.run(Event::Step(1, 0));
    }
    world.run(Event::Advance(1_000));
    assert_eq!(world.leases[1].fencing_token(world.now_ms), Some(20));
    // Lease 2 ends early, as by a revocation at shutdown.
    world.platform.ends_ms[1] = world.now_ms;
    world.leases[1] = Lease::new(TIMING);
    world.run(Event::Advance(100));
    for _ in 0..6 {
        assert!(world.run(Event::Step(0, 0)));
    }
    world.run(Event::Advance(1_000));
    assert_eq!(world.leases[0].fencing_token(world.now_ms), None);
}
