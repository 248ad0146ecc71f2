//! Guards against an attempt that is given up for its silence while nothing has taken its place.

use recovery::{Action, FailCause, Generation, Input, Journal, LossCause, Policy, Timing};

/// Generation with the actions of its last input.
struct World {
    generation: Generation,
    actions: Vec<Action>,
}

impl World {
    /// Starts a generation whose first attempt delivered a token at 0 ms and is suspected at 600 ms.
    fn with_suspected_attempt() -> Self {
        let mut actions = Vec::new();
        let mut generation = Generation::new(Policy::EVENTS, Journal::default());
        generation.start(0, &mut actions);
        let mut world = Self { generation, actions };
        world.input(Input::Sent { attempt: 1 }, 0);
        world.input(Input::Token { attempt: 1, index: 0, token_id: 0, text: "" }, 0);
        world.input(Input::Tick, 600);
        assert_eq!(world.actions, [Action::Start { attempt: 2, is_recovery: true }]);
        world
    }

    fn input(&mut self, input: Input<'_>, now_ms: u64) {
        self.actions.clear();
        self.generation.handle_input(input, now_ms, Timing::default(), &mut self.actions);
    }

    fn deadline_ms(&self) -> Option<u64> {
        self.generation.deadline_ms(Timing::default())
    }
}

#[test]
fn a_suspected_attempt_runs_until_its_replacement_is_accepted() {
    let mut world = World::with_suspected_attempt();
    world.input(Input::Sent { attempt: 2 }, 700);
    assert_eq!(world.actions, []);
    world.input(Input::Accepted { attempt: 2 }, 720);
    assert_eq!(world.actions, [Action::Cancel { attempt: 1 }]);
}

#[test]
fn a_suspected_attempt_and_its_replacement_run_together_only_for_the_handover() {
    let mut world = World::with_suspected_attempt();
    world.input(Input::Sent { attempt: 2 }, 700);
    let end_ms = 700 + Policy::EVENTS.handover_ms;
    assert_eq!(world.deadline_ms(), Some(end_ms));
    world.input(Input::Tick, end_ms - 1);
    assert_eq!(world.actions, []);
    world.input(Input::Tick, end_ms);
    assert_eq!(world.actions, [Action::Cancel { attempt: 1 }]);
}

#[test]
fn a_token_of_a_suspected_attempt_ends_the_search_for_another() {
    let mut world = World::with_suspected_attempt();
    world.input(Input::Token { attempt: 1, index: 1, token_id: 0, text: "" }, 650);
    assert_eq!(world.actions, [Action::Cancel { attempt: 2 }, Action::Release { index: 1 }]);
    assert!(!world.generation.is_suspected(1));
    // The pause must not raise the usual gap.
    assert_eq!(world.generation.take_sample(), None);
}

#[test]
fn a_suspected_attempt_stays_if_its_replacement_is_refused_or_not_permitted() {
    let refused = Input::Lost { attempt: 2, cause: LossCause::Refused };
    for ended in [refused, Input::NotPermitted { attempt: 2 }, Input::NoUpstream { attempt: 2 }] {
        let mut world = World::with_suspected_attempt();
        if ended == refused {
            world.input(Input::Sent { attempt: 2 }, 700);
        }
        world.input(ended, 710);
        // Only a refusal, which may not be the last one, starts another search at once.
        let restart = [Action::Start { attempt: 3, is_recovery: true }];
        let expected = if ended == refused { &restart[..] } else { &[] };
        assert_eq!(world.actions, expected, "{ended:?}");
        world.input(Input::Token { attempt: 1, index: 1, token_id: 0, text: "" }, 720);
        assert_eq!(world.actions.last(), Some(&Action::Release { index: 1 }), "{ended:?}");
    }
}

#[test]
fn an_unresponsive_engine_is_replaced_at_once_and_a_lost_one_without_a_replacement_fails() {
    let mut actions = Vec::new();
    let mut generation = Generation::new(Policy::EVENTS, Journal::default());
    generation.start(0, &mut actions);
    let mut world = World { generation, actions };
    world.input(Input::Sent { attempt: 1 }, 0);
    world.input(Input::Unresponsive { attempt: 1 }, 100);
    assert_eq!(world.actions, [Action::Start { attempt: 2, is_recovery: true }]);
    world.input(Input::NotPermitted { attempt: 2 }, 100);
    assert_eq!(world.actions, []);
    world.input(Input::Lost { attempt: 1, cause: LossCause::Reset }, 200);
    assert_eq!(world.actions, [Action::Start { attempt: 3, is_recovery: true }]);
    world.input(Input::NotPermitted { attempt: 3 }, 200);
    assert_eq!(world.actions, [Action::Fail(FailCause::NotPermitted)]);
}
