//! Budget of repeats over a whole fleet.

use ingress::{Budget, BudgetRules, FleetSize};

const RULES: BudgetRules = BudgetRules { ratio: 0.8, slack: 150.0, window_ms: 10_000 };

/// Repeats in the window that begins at each step, and what the rules allow there.
fn widest_excess(daemons: usize, requests_per_s: f64, calm_ms: u64, storm_ms: u64) -> f64 {
    let mut budgets = vec![Budget::new(RULES); daemons];
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
                while budget.withdraw(daemons, now_ms) {
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
    let mut budget = Budget::new(RULES);
    for now_ms in (0..10_000).step_by(1_700) {
        budget.deposit(now_ms);
    }
    let repeats = (0..3).filter(|_| budget.withdraw(370, 10_000)).count();
    assert_eq!(repeats, 3);
}

/// Guards against a share of the slack that is too large because entries of daemons lapsed while the platform was away,
/// or because a daemon does not know the fleet yet.
#[test]
fn the_fleet_is_not_taken_for_smaller_than_it_is() {
    let mut size = FleetSize::default();
    assert_eq!(size.get(0), 370);
    size.set(59, 1_000);
    assert_eq!(size.get(30_000), 59);
    size.set(3, 31_000);
    assert_eq!(size.get(32_000), 59);
    assert_eq!(size.get(60_000), 3);
    size.set(59, 61_000);
    assert_eq!(size.get(61_000), 59);
}
