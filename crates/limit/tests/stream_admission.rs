//! Tests of the decision on streams under load, with arbitrary engines such as a burst and the loss of a domain leave behind.

use limit::{EngineLoad, EngineOffer, StreamAsk, StreamClass, StreamProgress, StreamVerdict};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const NOW_MS: u64 = 20_000;

/// Stream and probed engines with arbitrary properties.
#[derive(Clone, Debug)]
struct Search {
    ask: StreamAsk,
    offers: Vec<EngineOffer>,
}

impl Arbitrary for Search {
    fn arbitrary(g: &mut Gen) -> Self {
        let all = [StreamProgress::New, StreamProgress::Begun, StreamProgress::Late];
        let progress = *g.choose(&all).unwrap();
        let below = |g: &mut Gen, end: u64| u64::arbitrary(g) % end;
        let ask = StreamAsk {
            progress,
            urgency_level: 5,
            class: *g
                .choose(&[StreamClass::Only, StreamClass::LeastUrgent, StreamClass::Middle])
                .unwrap(),
            is_refusable: bool::arbitrary(g),
            was_in_time: bool::arbitrary(g),
            since_ms: NOW_MS - below(g, 12_000),
            target_latency_ms: below(g, 10_000),
            target_ms: NOW_MS - 5_000 + below(g, 15_000),
            tokens: below(g, 60_000),
        };
        let offers = (0..below(g, 4)).map(|_| {
            let load = EngineLoad {
                running: below(g, 16) as u32,
                queued: below(g, 4) as u32,
                prefilling: below(g, 3) as u32,
                used_tokens: below(g, 60_000),
                capacity_tokens: 55_000,
                tokens_by_urgency: [0; 10],
            };
            EngineOffer { load, first_event_ms: below(g, 12_000) }
        });
        Self { ask, offers: offers.collect() }
    }
}

fn check(holds: fn(Search) -> bool) {
    QuickCheck::new().rng(Gen::from_size_and_seed(50, 1)).tests(5_000).quickcheck(holds);
}

/// Fails if a stream is refused that was sent or refused before, that can be in time, or that has had no chance of a
/// better engine.
#[test]
fn only_new_streams_that_cannot_be_in_time_are_refused() {
    fn holds(Search { ask, offers }: Search) -> bool {
        let StreamVerdict::Refuse { .. } = ask.judge(&offers, NOW_MS) else { return true };
        let left_ms = ask.target_ms.saturating_sub(NOW_MS);
        let has_waited = NOW_MS - ask.since_ms >= ask.target_latency_ms.min(12_000) / 8;
        ask.is_refusable
            && !ask.was_in_time
            && (has_waited || ask.progress == StreamProgress::Late)
            && offers.iter().all(|offer| offer.first_event_ms * 10 >= left_ms * 8)
    }
    check(holds);
}

/// Fails if a stream waits for ever at its daemon, or is sent to an engine that was not offered.
#[test]
fn each_stream_is_sent_after_a_bounded_wait() {
    fn holds(Search { ask, offers }: Search) -> bool {
        match ask.judge(&offers, NOW_MS) {
            StreamVerdict::Send(position) => position < offers.len(),
            StreamVerdict::Wait { .. } => {
                let is_over = NOW_MS - ask.since_ms >= 10_000 && ask.target_ms <= NOW_MS;
                !is_over || offers.is_empty()
            }
            StreamVerdict::Refuse { .. } => true,
        }
    }
    check(holds);
}

/// Fails if a less urgent stream finds room where one of the most urgent class finds none.
#[test]
fn the_most_urgent_class_has_room_wherever_others_have() {
    fn holds(Search { ask, offers }: Search) -> bool {
        let urgent = StreamAsk { class: StreamClass::MostUrgent, ..ask };
        offers.iter().all(|offer| !ask.has_room(offer) || urgent.has_room(offer))
    }
    check(holds);
}
