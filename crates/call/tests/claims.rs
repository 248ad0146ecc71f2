//! Guards against a second run of a key, a false "not run" and a stored answer of another key, under any order of
//! steps, lost answers, late writes, outages and deaths.

use base::{HashMap, VmId};
use call::{
    Call, Claim, ClaimOutcome, ClaimRecord, ClaimState, CloseClaim, Idempotency, KvInput, KvStep,
    LostCall, RequestDigest, StoredAnswer, Unsent,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Calls that a schedule runs, spread over the keys.
const CALLS: usize = 8;

/// Keys that the calls use.
const KEYS: usize = 2;

#[derive(Clone, Copy, Debug)]
enum Event {
    /// The call takes its next step.
    Step(usize),
    /// The call takes its next step, and the answer of the platform or the upstream is lost after the effect.
    StepAnswerLost(usize),
    /// The call's next write to the platform is delayed until `Deliver`; other steps fail before the effect.
    StepDelayed(usize),
    /// The oldest delayed write arrives.
    Deliver,
    /// The entry of the call dies.
    Die(usize),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let call = usize::arbitrary(g) % CALLS;
        match u8::arbitrary(g) % 16 {
            0..=8 => Self::Step(call),
            9..=11 => Self::StepAnswerLost(call),
            12 | 13 => Self::StepDelayed(call),
            14 => Self::Deliver,
            _ => Self::Die(call),
        }
    }
}

#[derive(Debug)]
enum Phase {
    Claiming(Claim, KvStep<ClaimOutcome>, Call<Unsent>),
    Sending(ClaimRecord, u64, Call<Unsent>),
    Closing(CloseClaim, KvStep<bool>),
    Ended,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Told {
    Answer(StoredAnswer),
    NotRun,
    Unknown,
}

/// The platform and the upstream with their effects in order: the oracle.
#[derive(Debug, Default)]
struct World {
    values: HashMap<usize, (ClaimRecord, u64)>,
    revision: u64,
    delayed: Vec<(usize, ClaimRecord, u64)>,
    runs_by_key: [u32; KEYS],
    runs_by_call: [u32; CALLS],
}

impl World {
    fn write(&mut self, key: usize, record: ClaimRecord, expect: u64) -> KvInput {
        let current = self.values.get(&key);
        if current.map_or(0, |(_, revision)| *revision) != expect {
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

    /// Performs a step with the fault of `event`; `None` if the machine has ended.
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

fn begin(call: usize) -> Phase {
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

/// One step of a call: the driver that the entry has, without sockets.
fn advance(
    world: &mut World,
    call: usize,
    phase: Phase,
    event: Event,
    told: &mut Option<Told>,
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
                ClaimOutcome::Stored(answer) => *told = Some(Told::Answer(answer)),
                ClaimOutcome::Unavailable => {
                    let _proof = unsent.close().unwrap();
                    *told = Some(Told::NotRun);
                }
                _ => *told = Some(Told::Unknown),
            }
            Phase::Ended
        }
        Phase::Sending(record, revision, unsent) => {
            let state = if matches!(event, Event::StepDelayed(_)) {
                let _proof = unsent.close().unwrap();
                *told = Some(Told::NotRun);
                ClaimState::NotRun
            } else {
                let sent = unsent.send();
                world.runs_by_key[key] += 1;
                world.runs_by_call[call] += 1;
                if matches!(event, Event::StepAnswerLost(_)) {
                    assert!(matches!(sent.lost(), LostCall::Unknown(_)));
                    *told = Some(Told::Unknown);
                    ClaimState::Unknown
                } else {
                    sent.answered();
                    *told = Some(Told::Answer(answer_of(key, call)));
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

fn holds(events: Vec<Event>) -> bool {
    let mut world = World::default();
    let mut phases: Vec<Phase> = (0..CALLS).map(begin).collect();
    let mut told: Vec<Option<Told>> = vec![None; CALLS];
    // Every schedule ends with each call running to its end and late writes arriving.
    let drain = (0..CALLS).cycle().take(CALLS * 16).map(Event::Step);
    let rest = drain.chain(std::iter::repeat_n(Event::Deliver, 64));
    let rest = rest.chain((0..CALLS).cycle().take(CALLS * 16).map(Event::Step));
    for event in events.into_iter().chain(rest) {
        match event {
            Event::Step(call) | Event::StepAnswerLost(call) | Event::StepDelayed(call) => {
                let phase = std::mem::replace(&mut phases[call], Phase::Ended);
                phases[call] = advance(&mut world, call, phase, event, &mut told[call]);
            }
            Event::Deliver if world.delayed.is_empty() => {}
            Event::Deliver => {
                let (key, record, expect) = world.delayed.remove(0);
                world.write(key, record, expect);
            }
            Event::Die(call) => phases[call] = Phase::Ended,
        }
    }
    let is_honest = |(call, told): (usize, &Option<Told>)| match told {
        Some(Told::NotRun) => world.runs_by_call[call] == 0,
        Some(Told::Answer(answer)) => {
            let key = call % KEYS;
            (0..CALLS).any(|run| world.runs_by_call[run] == 1 && *answer == answer_of(key, run))
        }
        _ => true,
    };
    world.runs_by_key.iter().all(|&runs| runs <= 1) && told.iter().enumerate().all(is_honest)
}

/// Seed of the schedules.
const SEED: u64 = 20_261_204;

#[test]
fn no_schedule_runs_a_key_twice_or_reports_a_run_call_as_not_run() {
    let g = Gen::from_size_and_seed(200, SEED);
    QuickCheck::new()
        .rng(g)
        .tests(20_000)
        .max_tests(20_000)
        .quickcheck(holds as fn(Vec<Event>) -> bool);
}
