//! Budget of repeats over a whole fleet.

use limit::{RetryBudget, RetryBudgetLimits, Urgency};
use quickcheck::{Gen, QuickCheck};

const RULES: RetryBudgetLimits = RetryBudgetLimits { ratio: 0.8, slack: 150.0, window_ms: 10_000 };

/// Repeats in the window that begins at each step, and what the rules allow there.
fn widest_excess(daemons: usize, requests_per_s: f64, calm_ms: u64, storm_ms: u64) -> f64 {
    let mut budgets = vec![RetryBudget::new(RULES); daemons];
    let mut requests = Vec::new();
    let mut repeats = Vec::new();
    let step_ms = 20;
    let mut due = 0.0;
    let mut turn = 0;
    for now_ms in (0..calm_ms + storm_ms).step_by(step_ms as usize) {
        due += requests_per_s * step_ms as f64 / 1_000.0;
        while due >= 1.0 {
            due -= 1.0;
            turn += 1;
            budgets[turn % daemons].deposit(now_ms);
            requests.push(now_ms);
        }
        if now_ms >= calm_ms {
            for budget in &mut budgets {
                while budget.try_withdraw(daemons, Urgency::Urgent, now_ms) {
                    repeats.push(now_ms);
                }
            }
        }
    }
    let within = |times: &[u64], from_ms: u64| {
        times.iter().filter(|&&at_ms| (from_ms..from_ms + RULES.window_ms).contains(&at_ms)).count()
    };
    (0..calm_ms + storm_ms)
        .step_by(250)
        .map(|from_ms| {
            let before_ms = from_ms.saturating_sub(RULES.window_ms);
            let counted = within(&requests, from_ms).max(within(&requests, before_ms));
            let allowed = RULES.ratio * counted as f64 + RULES.slack;
            within(&repeats, from_ms) as f64 - allowed
        })
        .fold(f64::MIN, f64::max)
}

/// Guards against a fleet that exceeds its budget although each daemon keeps its own, because balances were saved up in
/// calm times or because each daemon starts with one.
#[test]
fn a_fleet_of_any_size_keeps_the_budget() {
    for daemons in [6, 59, 74, 300] {
        let requests_per_s = 0.6 * daemons as f64;
        for calm_ms in [0, 3_000, 30_000] {
            let excess = widest_excess(daemons, requests_per_s, calm_ms, 15_000);
            assert!(excess <= 0.0, "{daemons} daemons after {calm_ms} ms: {excess} too many");
        }
    }
}

/// Guards against a budget that is too small for the loss of a failure domain: each of three streams in flight is sent
/// again.
#[test]
fn a_daemon_may_repeat_its_streams_after_a_loss() {
    let mut budget = RetryBudget::new(RULES);
    for now_ms in (0..10_000).step_by(1_700) {
        budget.deposit(now_ms);
    }
    let repeats = (0..3).filter(|_| budget.try_withdraw(370, Urgency::Urgent, 10_000)).count();
    assert_eq!(repeats, 3);
}

/// Guards against more repeats than the bounds in any window, however requests and repeats come.
#[test]
fn no_window_has_more_repeats_than_the_bounds() {
    fn holds(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut budget = RetryBudget::new(RULES);
        let (mut now_ms, mut requests, mut repeats) = (0, Vec::new(), Vec::new());
        for (pass, tries, wanted) in steps {
            now_ms += 20 * u64::from(pass);
            for _ in 0..tries % 8 {
                budget.deposit(now_ms);
                requests.push(now_ms);
            }
            for _ in 0..wanted {
                if budget.try_withdraw(1, Urgency::Urgent, now_ms) {
                    repeats.push(now_ms);
                }
            }
        }
        let within = |times: &[u64], from_ms: u64| {
            let window = from_ms..from_ms + RULES.window_ms;
            times.iter().filter(|at_ms| window.contains(at_ms)).count() as f64
        };
        // The rules count the requests of a window, of the one before or of the one half a window before.
        (0..now_ms).step_by(500).all(|from_ms| {
            let before = [0, RULES.window_ms / 2, RULES.window_ms];
            let counted = before.map(|ms| within(&requests, from_ms.saturating_sub(ms)));
            let allowed = counted.into_iter().fold(0.0, f64::max) * RULES.ratio + RULES.slack;
            within(&repeats, from_ms) <= allowed
        })
    }
    let mut checker = QuickCheck::new().rng(Gen::from_size_and_seed(60, 1)).tests(60);
    checker.quickcheck(holds as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// Guards against a budget that gives less than its ratio: repeats of a service that always fails reach it.
#[test]
fn repeats_are_a_tenth_of_the_calls_after_the_first_ten() {
    let rules = RetryBudgetLimits { ratio: 0.1, slack: 10.0, window_ms: 10_000 };
    let mut budget = RetryBudget::new(rules);
    let mut repeats = 0;
    for now_ms in 0..1_000 {
        budget.deposit(now_ms);
        repeats += u32::from(budget.try_withdraw(1, Urgency::Urgent, now_ms));
    }
    // A tenth of the bounds is kept back for requests that leave the window late.
    assert!((99..=110).contains(&repeats), "{repeats}");
}

/// Guards against answers that are late already and take the repeats of answers that can still be in time.
#[test]
fn late_answers_leave_a_part_of_the_budget() {
    let mut budget = RetryBudget::new(RULES);
    for now_ms in 0..100 {
        budget.deposit(now_ms);
    }
    let late = (0..200).filter(|_| budget.try_withdraw(370, Urgency::Late, 100)).count();
    let urgent = (0..200).filter(|_| budget.try_withdraw(370, Urgency::Urgent, 100)).count();
    assert!(late >= 50 && urgent >= 20, "{late} late and {urgent} urgent repeats of 80");
    assert!(late + urgent <= 80, "{late} late and {urgent} urgent repeats of 80");
}
