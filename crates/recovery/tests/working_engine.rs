//! Guards against a stream that is moved to another engine only because its engine is busy with other requests.

use recovery::{Action, EngineSignal, Generation, Input, Journal, Policy, Timing};

const POLICY: Policy = Policy { silence_floor_ms: 600, silence_cap_ms: 600, ..Policy::EVENTS };

/// Returns a generation whose first attempt delivered one token at 0 ms.
fn generation_with_one_token() -> (Generation, Vec<Action>) {
    let mut actions = Vec::new();
    let mut generation = Generation::new(POLICY, Journal::default());
    generation.start(0, &mut actions);
    let inputs =
        [Input::Sent { attempt: 1 }, Input::Token { attempt: 1, index: 0, token_id: 0, text: "" }];
    for input in inputs {
        generation.handle_input(input, 0, Timing::default(), &mut actions);
    }
    actions.clear();
    (generation, actions)
}

#[test]
fn a_working_engine_gets_a_longer_silence_timeout() {
    let (mut generation, mut actions) = generation_with_one_token();
    let timing = Timing::default();
    assert_eq!(generation.deadline_ms(timing), Some(600));
    let working = Input::Signal { attempt: 1, signal: Some(EngineSignal::Working) };
    generation.handle_input(working, 300, timing, &mut actions);
    generation.handle_input(Input::Tick, 2_999, timing, &mut actions);
    assert_eq!(actions, []);
    generation.handle_input(Input::Tick, 3_000, timing, &mut actions);
    assert_eq!(actions, [Action::Start { attempt: 2, is_recovery: true }]);
    assert!(generation.is_suspected(1));
}

#[test]
fn the_next_token_clears_the_signal() {
    let (mut generation, mut actions) = generation_with_one_token();
    let timing = Timing::default();
    let working = Input::Signal { attempt: 1, signal: Some(EngineSignal::Working) };
    generation.handle_input(working, 300, timing, &mut actions);
    let token = Input::Token { attempt: 1, index: 1, token_id: 0, text: "" };
    generation.handle_input(token, 1_000, timing, &mut actions);
    assert_eq!(generation.deadline_ms(timing), Some(1_600));
}
