//! Guards against answers with missing, repeated or mixed tokens when entries, holders and messages are lost.

mod fault;
mod message;
mod server;
mod step;
mod world;

use crate::{fault::Fault, step::Step, world::World};
use quickcheck::{Gen, QuickCheck};

/// Largest number of steps of a case.
const STEPS: usize = 300;

/// Cases of the correct rules.
const CASES: u64 = 10_000;

/// Cases after which a broken rule must have been found.
const FAULT_CASES: u64 = 20_000;

/// Seed of the cases.
const SEED: u64 = 41;

fn check() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(STEPS, SEED)).tests(CASES)
}

fn holds(steps: Vec<Step>) -> bool {
    let mut world = World::new(Fault::None);
    steps.iter().all(|&step| world.take(step))
}

#[test]
fn every_assembled_stream_is_the_prefix_of_one_answer() {
    check().quickcheck(holds as fn(Vec<Step>) -> bool);
}

#[test]
fn streams_do_go_on_after_faults() {
    // Without this a rule that refuses everything would pass.
    let mut resumed = 0;
    let mut whole = 0;
    for seed in 0..CASES {
        let mut random = Gen::from_size_and_seed(STEPS, seed);
        let steps: Vec<Step> = quickcheck::Arbitrary::arbitrary(&mut random);
        let mut world = World::new(Fault::None);
        assert!(steps.iter().all(|&step| world.take(step)));
        resumed += world.resumed();
        whole += world.whole();
    }
    assert!(resumed > 100 && whole > 100, "{resumed} resumed, {whole} whole");
}

#[test]
fn every_broken_rule_is_found() {
    for fault in Fault::ALL {
        let found = (0..FAULT_CASES).position(|seed| {
            let mut random = Gen::from_size_and_seed(STEPS, seed);
            let steps: Vec<Step> = quickcheck::Arbitrary::arbitrary(&mut random);
            let mut world = World::new(fault);
            !steps.iter().all(|&step| world.take(step))
        });
        println!("{fault:?} is found by case {found:?}");
        assert!(found.is_some(), "{fault:?} is not found");
    }
}
