//! Guards against any order of events in which a generation mixes, repeats or loses tokens, or stops for ever.
//!
//! `RECOVERY_FUZZ_SEED` replays a run with one seed; the seed of a failing run is printed.

mod oracle;
mod step;
mod world;

use crate::{step::Step, world::World};
use quickcheck::{Gen, QuickCheck};
use recovery::Policy;

/// Seeds of a run without `RECOVERY_FUZZ_SEED`.
const SEEDS: [u64; 4] = [1, 2, 3, 4];

/// Cases for each seed.
const CASES: u64 = 1_500;

/// Steps of a case at most.
const STEPS: usize = 120;

const POLICIES: [Policy; 4] =
    [Policy::LATENCY, Policy::ECONOMY, Policy::FIXED_TIMEOUT, Policy::RESTART];

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

/// Any interleaving keeps the released tokens whole and unmixed, with at most two live attempts.
#[test]
fn no_interleaving_breaks_an_answer() {
    fn property(steps: Vec<Step>) -> bool {
        POLICIES.iter().all(|&policy| {
            let mut world = World::new(policy);
            steps.iter().for_each(|&step| world.step(step));
            true
        })
    }
    check(property);
}

/// After any interleaving, engines that work bring the answer to its end.
#[test]
fn no_interleaving_keeps_working_engines_from_finishing() {
    fn property(steps: Vec<Step>) -> bool {
        POLICIES.iter().all(|&policy| {
            let mut world = World::new(policy);
            steps.iter().for_each(|&step| world.step(step));
            world.finish_with_working_engines();
            true
        })
    }
    check(property);
}

/// After any interleaving, a generation whose engines all stay silent fails with a type.
#[test]
fn no_interleaving_lets_a_generation_wait_for_ever() {
    fn property(steps: Vec<Step>) -> bool {
        POLICIES.iter().all(|&policy| {
            let mut world = World::new(policy);
            steps.iter().for_each(|&step| world.step(step));
            world.fail_with_silent_engines();
            true
        })
    }
    check(property);
}
