//! Guards against a pause of the driver, such as while a caller does not read, that counts as silence of the engine.

use quickcheck::quickcheck;
use recovery::{Generation, Input, Journal, Policy, Timing, TimingSample};

/// Generation whose first attempt delivered a token at 0 ms.
fn with_token() -> Generation {
    let mut actions = Vec::new();
    let mut generation = Generation::new(Policy::EVENTS, Journal::default());
    generation.start(0, &mut actions);
    let token = Input::Token { attempt: 1, index: 0, token_id: 0, text: "" };
    for input in [Input::Sent { attempt: 1 }, token] {
        generation.handle_input(input, 0, Timing::default(), &mut actions);
    }
    generation
}

quickcheck! {
    /// With a pause, everything happens as much later as the pause is long.
    fn a_skipped_pause_delays_the_suspicion(pause_ms: u32) -> bool {
        let pause_ms = u64::from(pause_ms);
        let mut paused = with_token();
        let usual_ms = paused.deadline_ms(Timing::default()).unwrap();
        paused.skip_pause(pause_ms);
        let is_later = paused.deadline_ms(Timing::default()) == Some(usual_ms + pause_ms);
        let mut tick = |now_ms: u64| {
            paused.handle_input(Input::Tick, now_ms, Timing::default(), &mut Vec::new());
            paused.is_suspected(1)
        };
        is_later && !tick(usual_ms + pause_ms - 1) && tick(usual_ms + pause_ms)
    }
}

/// The gap before the next token does not contain the pause.
#[test]
fn a_skipped_pause_is_not_in_a_sample() {
    let mut generation = with_token();
    generation.take_sample();
    generation.skip_pause(5_000);
    let token = Input::Token { attempt: 1, index: 1, token_id: 0, text: "" };
    generation.handle_input(token, 5_030, Timing::default(), &mut Vec::new());
    assert_eq!(generation.take_sample(), Some(TimingSample::Gap(30)));
}
