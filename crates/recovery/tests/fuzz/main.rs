//! Guards against orders of events in which a generation mixes, repeats or loses tokens, or never ends.
//!
//! A failing test prints its seed. If `RECOVERY_FUZZ_SEED` is set, the tests use only that seed.

mod oracle;
mod step;
mod world;

use crate::{step::Step, world::World};
use quickcheck::{Gen, QuickCheck};
use recovery::Policy;

/// Seeds that are used if `RECOVERY_FUZZ_SEED` is not set.
const SEEDS: [u64; 4] = [1, 2, 3, 4];

/// Number of cases for each seed.
const CASES: u64 = 1_500;

/// Maximum number of steps of a case.
const STEPS: usize = 120;

const POLICIES: [Policy; 5] =
    [Policy::LATENCY, Policy::ECONOMY, Policy::EVENTS, Policy::FIXED_TIMEOUT, Policy::RESTART];

fn seeds() -> Vec<u64> {
    match std::env::var("RECOVERY_FUZZ_SEED") {
        Ok(text) => vec![text.parse().unwrap()],
        Err(_) => SEEDS.to_vec(),
    }
}

fn check(property: fn(Vec<Step>) -> bool) {
    for seed in seeds() {
        println!("RECOVERY_FUZZ_SEED={seed}");
        let generator = Gen::from_size_and_seed(STEPS, seed);
        QuickCheck::new().rng(generator).tests(CASES).quickcheck(property);
    }
}

/// After any interleaving, the released tokens are those of one answer without gaps, at most two attempts run, and no
/// attempt is given up for its silence unless another one has taken its place.
#[test]
fn no_interleaving_corrupts_an_answer() {
    fn property(steps: Vec<Step>) -> bool {
        POLICIES.iter().all(|&policy| {
            let mut world = World::new(policy);
            steps.iter().for_each(|&step| world.apply(step));
            true
        })
    }
    check(property);
}

/// After any interleaving, engines that work finish the answer.
#[test]
fn no_interleaving_prevents_working_engines_from_finishing() {
    fn property(steps: Vec<Step>) -> bool {
        POLICIES.iter().all(|&policy| {
            let mut world = World::new(policy);
            steps.iter().for_each(|&step| world.apply(step));
            world.finish_with_working_engines();
            true
        })
    }
    check(property);
}

/// After any interleaving, a generation that has not ended and whose engines all send nothing fails within a bounded
/// number of deadlines.
#[test]
fn no_interleaving_makes_a_generation_wait_forever() {
    fn property(steps: Vec<Step>) -> bool {
        POLICIES.iter().all(|&policy| {
            let mut world = World::new(policy);
            steps.iter().for_each(|&step| world.apply(step));
            world.fail_with_silent_engines();
            true
        })
    }
    check(property);
}
