//! Guards against answers with missing, repeated or mixed tokens when entries, replica holders and messages are lost.

mod fault;
mod message;
mod server;
mod step;
mod world;

use crate::{fault::Fault, step::Step, world::World};
use quickcheck::{Gen, QuickCheck};

/// Maximum number of steps of a case.
const STEPS: usize = 300;

/// Number of cases that run with the correct rules.
const CASES: u64 = 10_000;

/// Number of cases within which a broken rule must be detected.
const FAULT_CASES: u64 = 20_000;

/// Seed of the random cases.
const SEED: u64 = 41;

fn quick_check() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(STEPS, SEED)).tests(CASES)
}

/// Applies the steps with the correct rules, and returns whether the guarantees hold after each.
fn guarantees_hold(steps: Vec<Step>) -> bool {
    let mut world = World::new(Fault::None);
    steps.iter().all(|&step| world.apply(step))
}

#[test]
fn every_received_stream_is_a_prefix_of_one_answer() {
    quick_check().quickcheck(guarantees_hold as fn(Vec<Step>) -> bool);
}

#[test]
fn streams_resume_and_complete_after_faults() {
    // Without this test, rules that refuse every claim would pass.
    let mut resumed = 0;
    let mut completed = 0;
    for seed in 0..CASES {
        let mut random = Gen::from_size_and_seed(STEPS, seed);
        let steps: Vec<Step> = quickcheck::Arbitrary::arbitrary(&mut random);
        let mut world = World::new(Fault::None);
        assert!(steps.iter().all(|&step| world.apply(step)));
        resumed += world.resumed();
        completed += world.completed();
    }
    assert!(resumed > 100 && completed > 100, "{resumed} resumed, {completed} completed");
}

#[test]
fn every_broken_rule_is_detected() {
    for fault in Fault::ALL {
        let detected = (0..FAULT_CASES).position(|seed| {
            let mut random = Gen::from_size_and_seed(STEPS, seed);
            let steps: Vec<Step> = quickcheck::Arbitrary::arbitrary(&mut random);
            let mut world = World::new(fault);
            !steps.iter().all(|&step| world.apply(step))
        });
        println!("{fault:?} is detected by case {detected:?}");
        assert!(detected.is_some(), "{fault:?} is not detected");
    }
}
