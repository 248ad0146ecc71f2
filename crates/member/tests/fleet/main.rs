//! Guards against memberships that do not heal, daemons that return to old state, and messages without a bound.

mod fault;
mod node;
mod step;
mod world;

use crate::{fault::Fault, step::Step, world::World};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Largest number of steps of a case.
const STEPS: usize = 120;

/// Cases of the correct rules.
const CASES: u64 = 100;

/// Cases after which a broken rule must have been found.
const FAULT_CASES: u64 = 100;

/// Seed of the cases.
const SEED: u64 = 41;

fn holds_under(fault: Fault, steps: &[Step]) -> bool {
    let mut world = World::new(fault);
    steps.iter().all(|&step| world.take(step)) && world.heal()
}

fn holds(steps: Vec<Step>) -> bool {
    holds_under(Fault::None, &steps)
}

fn steps(seed: u64) -> Vec<Step> {
    Arbitrary::arbitrary(&mut Gen::from_size_and_seed(STEPS, seed))
}

#[test]
fn every_fleet_converges_and_no_revision_decreases() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(STEPS, SEED))
        .tests(CASES)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}

#[test]
fn daemons_are_removed_and_return() {
    // Without this a membership that never removes anybody would pass.
    let (mut removals, mut returns) = (0, 0);
    for seed in 0..CASES {
        let mut world = World::new(Fault::None);
        assert!(steps(seed).into_iter().all(|step| world.take(step)) && world.heal());
        removals += world.removals;
        returns += world.returns;
    }
    assert!(removals > 100 && returns > 100, "{removals} removals, {returns} returns");
}

#[test]
fn every_broken_rule_is_found() {
    for fault in Fault::ALL {
        let found = (0..FAULT_CASES).position(|seed| !holds_under(fault, &steps(seed)));
        println!("{fault:?} is found by case {found:?}");
        assert!(found.is_some(), "{fault:?} is not found");
    }
}
