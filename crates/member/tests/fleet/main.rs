//! Simulated fleets under random faults. Guards against memberships that don't heal, texts that revert to an older
//! version, daemons that send reports from before a pause, and messages of unbounded size.

mod injected_bug;
mod node;
mod simulation;
mod step;

use crate::{injected_bug::InjectedBug, simulation::Simulation, step::Step};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Maximum number of steps of a case.
const MAX_STEPS: usize = 120;

/// Number of cases without an injected bug.
const CASES: u64 = 100;

/// Number of cases within which an injected bug must be detected.
const BUG_CASES: u64 = 100;

/// Seed of the random cases.
const SEED: u64 = 41;

/// Returns whether the invariants hold after each step and the fleet converges afterwards.
fn passes_with(bug: InjectedBug, steps: &[Step]) -> bool {
    let mut simulation = Simulation::new(bug);
    steps.iter().all(|&step| simulation.run_step(step)) && simulation.heal_and_converge()
}

fn passes(steps: Vec<Step>) -> bool {
    passes_with(InjectedBug::None, &steps)
}

fn steps(seed: u64) -> Vec<Step> {
    Arbitrary::arbitrary(&mut Gen::from_size_and_seed(MAX_STEPS, seed))
}

#[test]
fn every_fleet_converges_and_no_version_decreases() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(MAX_STEPS, SEED))
        .tests(CASES)
        .quickcheck(passes as fn(Vec<Step>) -> bool);
}

#[test]
fn daemons_are_removed_and_rejoin() {
    // Without this test, a membership that never removes a daemon would pass.
    let (mut removals, mut returns) = (0, 0);
    for seed in 0..CASES {
        let mut simulation = Simulation::new(InjectedBug::None);
        assert!(
            steps(seed).into_iter().all(|step| simulation.run_step(step))
                && simulation.heal_and_converge()
        );
        removals += simulation.removals;
        returns += simulation.returns;
    }
    assert!(removals > 100 && returns > 100, "{removals} removals, {returns} returns");
}

#[test]
fn every_injected_bug_is_detected() {
    for bug in InjectedBug::ALL {
        let found = (0..BUG_CASES).position(|seed| !passes_with(bug, &steps(seed)));
        println!("{bug:?} is detected by case {found:?}");
        assert!(found.is_some(), "{bug:?} is not detected");
    }
}
