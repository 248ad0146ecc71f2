//! Tests of what a daemon believes to be cached at engines.

use prefix::{
    Assignment, EngineKey, EngineLoad, PartKey, PrefixModel, Prompt, PromptError, PromptPart,
};
use quickcheck::{QuickCheck, TestResult};

fn prompt(parts: &[(&str, u64)]) -> Result<Prompt, PromptError> {
    let part = |(id, tokens): &(&str, u64)| PromptPart { key: PartKey::from(*id), tokens: *tokens };
    parts.iter().map(part).collect::<Vec<_>>().try_into()
}

fn engines(count: usize) -> Vec<EngineKey> {
    (0..count).map(|number| EngineKey::new(&format!("i-{number}"), 1)).collect()
}

/// Sends a prompt to one engine again and again, where `cached` tokens of it are found each time but the first.
fn trained(prompt: &Prompt, engine: EngineKey, cached: f64, rounds: u64) -> PrefixModel {
    let mut model = PrefixModel::default();
    let none = Assignment::default();
    for round in 0..rounds {
        let expected = model.expect(prompt, &none, 0, engine, round * 1_000);
        model.record_sent(prompt, engine, round * 1_000);
        let found = if round == 0 { 0.0 } else { cached };
        model.record_first_event(&expected, prompt.tokens() as f64 - found, round * 1_000);
    }
    model
}

/// Guards against a header that makes the daemon keep or compute without bound.
#[test]
fn prompts_out_of_bounds_are_refused() {
    assert!(matches!(prompt(&[]), Err(PromptError::PartCount(_))));
    assert!(matches!(prompt(&vec![("a", 1); 4_097]), Err(PromptError::PartCount(_))));
    assert!(matches!(prompt(&[("a", u64::MAX), ("b", 1)]), Err(PromptError::TokenCount(_))));
    assert!(prompt(&vec![("a", 1); 4_096]).is_ok());
    let mut model = PrefixModel::default();
    for number in 0..20_000 {
        let prompt = prompt(&[("a", 600), (&number.to_string(), 600)]).unwrap();
        model.record_sent(&prompt, engines(1)[0], number);
    }
    assert!(model.remembered() <= 8_192, "{} sequences", model.remembered());
}

/// Guards against a cached prefix that outweighs the wait: it may count for the time that it saves and no more.
#[test]
fn a_credit_is_at_most_the_time_of_the_cached_tokens() {
    fn property(parts: Vec<(u8, u16)>, sent: Vec<(u8, u16)>, pending: u8) -> TestResult {
        let of = |parts: &[(u8, u16)]| {
            let parts: Vec<_> =
                parts.iter().map(|(id, tokens)| (id.to_string(), *tokens)).collect();
            let parts: Vec<_> =
                parts.iter().map(|(id, tokens)| (&**id, u64::from(*tokens))).collect();
            prompt(&parts)
        };
        let (Ok(own), Ok(other)) = (of(&parts), of(&sent)) else { return TestResult::discard() };
        let engine = engines(1)[0];
        let mut model = trained(&other, engine, other.tokens() as f64, 5);
        model.record_sent(&own, engine, 5_000);
        let expected = model.expect(&own, &Assignment::new(&own, &[engine]), 0, engine, 6_000);
        let load = EngineLoad {
            pending_prompts: pending.into(),
            usual_prompt_tokens: 5_200.0,
            ms_per_token: 0.2,
        };
        let tokens = own.tokens() as f64;
        let with = load.first_event_ms(expected.read_tokens());
        let saved = load.first_event_ms(tokens) - with;
        TestResult::from_bool(
            (0.0..=tokens).contains(&expected.cached_tokens())
                && saved <= expected.cached_tokens() * load.ms_per_token + 1e-6
                && with >= f64::from(pending) * 5_200.0 * 0.2 - 1e-6,
        )
    }
    type Parts = Vec<(u8, u16)>;
    QuickCheck::new().tests(500).quickcheck(property as fn(Parts, Parts, u8) -> TestResult);
}

/// Guards against credit for parts that were read again: for a restarted engine, after an eviction, behind a part that
/// is not cached, and for a prompt with the same parts in another order.
#[test]
fn only_what_was_found_cached_is_credited() {
    let prompt_ab = prompt(&[("a", 2_000), ("b", 2_000), ("own", 1_000)]).unwrap();
    let engine = EngineKey::new("i-1", 1);
    let none = Assignment::default();
    let cached = |model: &PrefixModel, prompt: &Prompt, engine, now_ms| {
        model.expect(prompt, &none, 0, engine, now_ms).cached_tokens()
    };
    let model = trained(&prompt_ab, engine, 4_000.0, 40);
    assert!(cached(&model, &prompt_ab, engine, 40_500) > 3_000.0);
    assert_eq!(cached(&model, &prompt_ab, EngineKey::new("i-1", 2), 40_500), 0.0);
    let reordered = prompt(&[("b", 2_000), ("a", 2_000), ("own", 1_000)]).unwrap();
    assert!(cached(&model, &reordered, engine, 40_500) < 500.0);
    let first_only = trained(&prompt_ab, engine, 2_000.0, 40);
    assert!((1_500.0..2_600.0).contains(&cached(&first_only, &prompt_ab, engine, 40_500)));
    let evicted = trained(&prompt_ab, engine, 0.0, 40);
    assert_eq!(cached(&evicted, &prompt_ab, engine, 40_500), 0.0);
}

/// Guards against daemons that send the same beginning to different engines, and against a lost engine that moves the
/// beginnings of all others.
#[test]
fn assignments_agree_and_change_only_with_their_engines() {
    let all = engines(40);
    let mut moved = 0;
    for number in 0..200 {
        let own = prompt(&[(&format!("system {number}"), 2_000), ("own", 1_000)]).unwrap();
        let other = prompt(&[(&format!("system {number}"), 2_000), ("other", 1_000)]).unwrap();
        let keys = |prompt: &Prompt, engines: &[EngineKey]| {
            let assignment = Assignment::new(prompt, engines);
            assignment.engines().take(2).map(|index| engines[index]).collect::<Vec<_>>()
        };
        let before = keys(&own, &all);
        let mut reversed = all.clone();
        reversed.reverse();
        assert_eq!(before, keys(&other, &reversed));
        let after = keys(&own, &all[1..]);
        let is_lost = before.contains(&all[0]);
        assert!(is_lost || before == after);
        moved += usize::from(before != after);
    }
    assert!(moved < 40, "{moved} of 200 beginnings moved with one of 40 engines");
    let short = prompt(&[("system", 200), ("own", 100)]).unwrap();
    assert_eq!(Assignment::new(&short, &all).engines().count(), 0);
}
