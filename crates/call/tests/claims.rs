//! Guards against two calls with one key that both run at the upstream, a call that has run but is reported as not run,
//! and a stored answer of another key, under any order of steps, lost answers, delayed writes, outages and crashes.

use base::{HashMap, VmId};
use call::{
    Call, Claim, ClaimOutcome, ClaimRecord, ClaimState, CloseClaim, Idempotency, KvInput, KvStep,
    LostCall, RequestDigest, StoredAnswer, Unsent,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Number of calls in a schedule, distributed over the keys.
const CALLS: usize = 8;

/// Number of keys that the calls use.
const KEYS: usize = 2;

#[derive(Clone, Copy, Debug)]
enum Event {
    /// The call performs its next step.
    Step(usize),
    /// The call performs its next step, and the answer of the platform or the upstream is lost after the effect.
    StepAnswerLost(usize),
    /// The next write of the call to the platform is delayed until `Deliver`. Other steps fail before the effect.
    StepDelayed(usize),
    /// The oldest delayed write arrives.
    Deliver,
    /// The entry of the call crashes.
    Crash(usize),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let call = usize::arbitrary(g) % CALLS;
        match u8::arbitrary(g) % 16 {
            0..=8 => Self::Step(call),
            9..=11 => Self::StepAnswerLost(call),
            12 | 13 => Self::StepDelayed(call),
            14 => Self::Deliver,
            _ => Self::Crash(call),
        }
    }
}

/// Phase of a call at its entry.
#[derive(Debug)]
enum Phase {
    /// The claim of the key performs this step next.
    Claiming(Claim, KvStep<ClaimOutcome>, Call<Unsent>),
    /// The claim is stored at this revision, and the call is sent next.
    Sending(ClaimRecord, u64, Call<Unsent>),
    /// The close of the claim performs this step next.
    Closing(CloseClaim, KvStep<bool>),
    /// The call has ended, or its entry has crashed.
    Ended,
}

/// Outcome that was reported to the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Reported {
    Answer(StoredAnswer),
    NotRun,
    Unknown,
}

/// Simulated platform and upstream. The counts of executed calls are the oracle.
#[derive(Debug, Default)]
struct World {
    /// Record and revision of each key at the platform.
    values: HashMap<usize, (ClaimRecord, u64)>,
    /// Revision of the last write.
    revision: u64,
    /// Delayed writes, oldest first: key, record and expected revision.
    delayed: Vec<(usize, ClaimRecord, u64)>,
    /// Number of calls that the upstream has executed for each key.
    runs_by_key: [u32; KEYS],
    /// Number of times that the upstream has executed each call.
    runs_by_call: [u32; CALLS],
}

impl World {
    fn write(&mut self, key: usize, record: ClaimRecord, expect_revision: u64) -> KvInput {
        let current = self.values.get(&key);
        if current.map_or(0, |(_, revision)| *revision) != expect_revision {
            return self.read(key);
        }
        self.revision += 1;
        self.values.insert(key, (record, self.revision));
        KvInput::Written { revision: self.revision }
    }

    fn read(&self, key: usize) -> KvInput {
        match self.values.get(&key) {
            Some((record, revision)) => {
                KvInput::Found { record: record.clone(), revision: *revision }
            }
            None => KvInput::Absent,
        }
    }

    /// Performs a step with the fault of `event`. Returns `None` if the state machine has ended.
    fn perform<T>(&mut self, key: usize, step: &KvStep<T>, event: Event) -> Option<KvInput> {
        let input = match (step, event) {
            (KvStep::Done(_), _) => return None,
            (KvStep::Write { record, expect_revision }, Event::StepDelayed(_)) => {
                self.delayed.push((key, record.clone(), *expect_revision));
                KvInput::Lost
            }
            (KvStep::Write { record, expect_revision }, _) => {
                self.write(key, record.clone(), *expect_revision)
            }
            (KvStep::Read, _) => self.read(key),
        };
        let is_lost = matches!(event, Event::StepAnswerLost(_) | Event::StepDelayed(_));
        Some(if is_lost { KvInput::Lost } else { input })
    }
}

fn answer_of(key: usize, call: usize) -> StoredAnswer {
    StoredAnswer::new(200, Vec::new(), format!("key {key} call {call}").as_bytes())
}

/// Returns the first phase of a call. The call uses the key with the number `call % KEYS`.
fn start_claim(call: usize) -> Phase {
    let mut claim = Claim::new(ClaimRecord {
        nonce: call as u64 + 1,
        owner: VmId::try_from("entry").unwrap(),
        digest: RequestDigest::of(&[&[(call % KEYS) as u8]]),
        created_unix_ms: 0,
        state: ClaimState::Open,
    });
    let step = claim.start();
    Phase::Claiming(claim, step, Call::new(Idempotency::AtMostOnce, 1))
}

/// Performs one step of a call, like the driver in the entry but without sockets.
fn advance(
    world: &mut World,
    call: usize,
    phase: Phase,
    event: Event,
    reported: &mut Option<Reported>,
) -> Phase {
    let key = call % KEYS;
    match phase {
        Phase::Claiming(mut claim, step, unsent) => {
            if let Some(input) = world.perform(key, &step, event) {
                let step = claim.handle_input(input);
                return Phase::Claiming(claim, step, unsent);
            }
            let KvStep::Done(outcome) = step else { unreachable!() };
            match outcome {
                ClaimOutcome::Owned { revision } => {
                    return Phase::Sending(claim.record().clone(), revision, unsent);
                }
                ClaimOutcome::Stored(answer) => *reported = Some(Reported::Answer(answer)),
                ClaimOutcome::Unavailable => {
                    let _proof = unsent.close().unwrap();
                    *reported = Some(Reported::NotRun);
                }
                _ => *reported = Some(Reported::Unknown),
            }
            Phase::Ended
        }
        Phase::Sending(record, revision, unsent) => {
            let state = if matches!(event, Event::StepDelayed(_)) {
                let _proof = unsent.close().unwrap();
                *reported = Some(Reported::NotRun);
                ClaimState::NotRun
            } else {
                let sent = unsent.send();
                world.runs_by_key[key] += 1;
                world.runs_by_call[call] += 1;
                if matches!(event, Event::StepAnswerLost(_)) {
                    assert!(matches!(sent.lost(), LostCall::Unknown(_)));
                    *reported = Some(Reported::Unknown);
                    ClaimState::Unknown
                } else {
                    sent.answered();
                    *reported = Some(Reported::Answer(answer_of(key, call)));
                    ClaimState::Answered(answer_of(key, call))
                }
            };
            let mut close = CloseClaim::new(record, revision, state);
            let step = close.start();
            Phase::Closing(close, step)
        }
        Phase::Closing(mut close, step) => match world.perform(key, &step, event) {
            Some(input) => {
                let step = close.handle_input(input);
                Phase::Closing(close, step)
            }
            None => Phase::Ended,
        },
        Phase::Ended => Phase::Ended,
    }
}

/// Runs a schedule, and returns whether no key was executed twice and every report to a caller is correct.
fn guarantees_hold(events: Vec<Event>) -> bool {
    let mut world = World::default();
    let mut phases: Vec<Phase> = (0..CALLS).map(start_claim).collect();
    let mut reported: Vec<Option<Reported>> = vec![None; CALLS];
    // Every schedule ends with steps that run each call to its end and deliver the delayed writes.
    let remaining_steps = (0..CALLS).cycle().take(CALLS * 16).map(Event::Step);
    let suffix = remaining_steps.chain(std::iter::repeat_n(Event::Deliver, 64));
    let suffix = suffix.chain((0..CALLS).cycle().take(CALLS * 16).map(Event::Step));
    for event in events.into_iter().chain(suffix) {
        match event {
            Event::Step(call) | Event::StepAnswerLost(call) | Event::StepDelayed(call) => {
                let phase = std::mem::replace(&mut phases[call], Phase::Ended);
                phases[call] = advance(&mut world, call, phase, event, &mut reported[call]);
            }
            Event::Deliver if world.delayed.is_empty() => {}
            Event::Deliver => {
                let (key, record, expect_revision) = world.delayed.remove(0);
                world.write(key, record, expect_revision);
            }
            Event::Crash(call) => phases[call] = Phase::Ended,
        }
    }
    let is_report_correct = |(call, reported): (usize, &Option<Reported>)| match reported {
        Some(Reported::NotRun) => world.runs_by_call[call] == 0,
        Some(Reported::Answer(answer)) => {
            let key = call % KEYS;
            let is_answer_to_executed_call =
                |other: usize| world.runs_by_call[other] == 1 && *answer == answer_of(key, other);
            (0..CALLS).any(is_answer_to_executed_call)
        }
        _ => true,
    };
    world.runs_by_key.iter().all(|&runs| runs <= 1)
        && reported.iter().enumerate().all(is_report_correct)
}

/// Seed of the generated schedules.
const SEED: u64 = 20_261_204;

#[test]
fn no_schedule_runs_a_key_twice_or_reports_a_run_call_as_not_run() {
    let g = Gen::from_size_and_seed(200, SEED);
    QuickCheck::new()
        .rng(g)
        .tests(20_000)
        .max_tests(20_000)
        .quickcheck(guarantees_hold as fn(Vec<Event>) -> bool);
}
