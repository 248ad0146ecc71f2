//! Guards against streams that wait at slow engines while fast ones have room, on a model of the load: 90 engines whose
//! speeds are 0.7, 0.7 and 1.7 of the nominal one, and 85 daemons that see three load reports for each stream.

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use route::{EngineRates, UsualEngineRates, sample_by_speed};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    f64::consts::TAU,
};

const ENGINES: usize = 90;
const DAEMONS: usize = 85;
const DOMAINS: usize = 4;
const PROMPT_TOKENS: f64 = 5_200.0;
const NOMINAL_TOKENS_PER_MS: f64 = 5.0;
/// Time of the events of a stream at the nominal speed.
const EVENTS_MS: f64 = EVENTS * 8.0 * 3.29;
const EVENTS: f64 = 140.0;
const TARGET_MS: u64 = 4_500;
const REPORT_AGE_MS: (u64, u64) = (100, 300);
const SHARED: usize = 36;
const SHARE_INTERVAL_MS: u64 = 500;
/// Part of late streams that is within the variation of the model.
const LATE_NOISE: f64 = 0.001;
const END_MS: u64 = 60_000;
const DAYS: u64 = 4;

/// How engines are chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Choice {
    /// By the number of pending prompts.
    Prompts,
    /// By the rates that each daemon has learned from its own streams.
    OwnRates,
    /// By the rates that all daemons have learned.
    SharedRates,
}

/// First event of a stream, from which its daemon learns.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct FirstEvent {
    at_ms: u64,
    daemon: usize,
    engine: usize,
    wait_ms: u64,
    pending: u32,
    prompt_tokens: u64,
    event_us: u64,
}

#[derive(Clone, Default)]
struct Daemon {
    rates: HashMap<usize, EngineRates>,
    usual: UsualEngineRates,
}

impl Daemon {
    fn learn(&mut self, first: &FirstEvent) {
        self.usual.observe_prompt(first.prompt_tokens, first.at_ms);
        let rates = self.rates.entry(first.engine).or_default();
        let &FirstEvent { wait_ms, pending, prompt_tokens, at_ms, .. } = first;
        let ms = rates.observe_first_event(wait_ms, pending, prompt_tokens, &self.usual, at_ms);
        self.usual.observe_prefill(ms.unwrap(), at_ms);
        let event_ms = first.event_us as f64 / 1_000.0;
        rates.observe_events(event_ms, &self.usual, at_ms);
        self.usual.observe_events(event_ms, at_ms);
    }

    fn merge(&mut self, engine: usize, rates: &EngineRates, now_ms: u64) {
        if self.rates.entry(engine).or_default().merge(rates) {
            self.usual.observe_prefill(rates.learned_prefill().unwrap().0, now_ms);
            self.usual.observe_events(rates.learned_event().unwrap().0, now_ms);
        }
    }

    fn latest(&self) -> Vec<(usize, EngineRates)> {
        let mut latest: Vec<_> =
            self.rates.iter().map(|(&engine, &rates)| (engine, rates)).collect();
        latest
            .sort_by_key(|(engine, rates)| (Reverse(rates.learned_prefill().unwrap().1), *engine));
        latest.truncate(SHARED);
        latest
    }

    /// Samples `count` of `engines` in proportion to their speeds.
    fn sample(
        &self,
        engines: &[usize],
        count: usize,
        now_ms: u64,
        rng: &mut SmallRng,
    ) -> Vec<usize> {
        let speed = |engine: &usize| {
            self.rates.get(engine).map_or(1.0, |rates| rates.relative_speed(&self.usual, now_ms))
        };
        let speeds: Vec<f64> = engines.iter().map(speed).collect();
        sample_by_speed(&speeds, count, rng).into_iter().map(|i| engines[i]).collect()
    }
}

/// What callers got, as means of all days.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    streams: f64,
    first_event_ms: f64,
    total_ms: f64,
    late: f64,
}

fn play(choice: Choice, streams_per_s: f64, speeds: [f64; 3], seed: u64, outcomes: &mut Outcomes) {
    let mut rng = SmallRng::seed_from_u64(seed);
    // For each engine, when each prompt arrived and when it will have been read. One is read at a time.
    let mut prompts: Vec<Vec<(u64, u64)>> = vec![Vec::new(); ENGINES];
    let mut daemons = vec![Daemon::default(); DAEMONS];
    let mut firsts: BinaryHeap<Reverse<FirstEvent>> = BinaryHeap::new();
    for now_ms in 0..END_MS {
        while let Some(Reverse(first)) = firsts.peek().copied()
            && first.at_ms <= now_ms
        {
            firsts.pop();
            if choice != Choice::Prompts {
                daemons[first.daemon].learn(&first);
            }
        }
        if choice == Choice::SharedRates && now_ms % SHARE_INTERVAL_MS == 0 {
            for daemon in 0..DAEMONS {
                let peer = rng.random_range(0..DAEMONS);
                for (engine, rates) in daemons[daemon].latest() {
                    daemons[peer].merge(engine, &rates, now_ms);
                }
            }
        }
        let swing = 1.0 + 0.5 * (TAU * now_ms as f64 / 17_000.0).sin();
        if rng.random::<f64>() >= streams_per_s / 1_000.0 * swing {
            continue;
        }
        let number = rng.random_range(0..DAEMONS);
        let prompt_tokens = (PROMPT_TOKENS * (0.5 + rng.random::<f64>())) as u64;
        let daemon = &daemons[number];
        let is_local = |engine: &usize| engine % DOMAINS == number % DOMAINS;
        let (local, remote): (Vec<usize>, Vec<usize>) = (0..ENGINES).partition(is_local);
        let mut probed = daemon.sample(&local, 1, now_ms, &mut rng);
        probed.extend(daemon.sample(&remote, 2, now_ms, &mut rng));
        let age_ms = rng.random_range(REPORT_AGE_MS.0..REPORT_AGE_MS.1);
        let report_ms = now_ms.saturating_sub(age_ms);
        let reported = probed.into_iter().map(|engine| {
            let is_pending = |prompt: &&(u64, u64)| prompt.0 <= report_ms && prompt.1 > report_ms;
            (engine, prompts[engine].iter().filter(is_pending).count() as u32)
        });
        let unknown = EngineRates::default();
        let (engine, pending) = reported
            .min_by_key(|(engine, pending)| {
                let rates = daemon.rates.get(engine).unwrap_or(&unknown);
                rates.first_event_ms(*pending, prompt_tokens, &daemon.usual, now_ms) as u64
            })
            .unwrap();
        let speed = speeds[engine / DOMAINS % 3];
        let begin_ms = prompts[engine].last().map_or(now_ms, |prompt| prompt.1.max(now_ms));
        let at_ms = begin_ms + (prompt_tokens as f64 / NOMINAL_TOKENS_PER_MS / speed) as u64;
        prompts[engine].push((now_ms, at_ms));
        let wait_ms = at_ms - now_ms;
        // Pauses for the prompts of other requests make some runs slower.
        let event_ms = EVENTS_MS / EVENTS / speed * (1.0 + 0.3 * rng.random::<f64>());
        let event_us = (event_ms * 1_000.0) as u64;
        firsts.push(Reverse(FirstEvent {
            at_ms,
            daemon: number,
            engine,
            wait_ms,
            pending,
            prompt_tokens,
            event_us,
        }));
        outcomes.streams += 1.0;
        outcomes.first_event_ms += wait_ms as f64;
        outcomes.total_ms += wait_ms as f64 + EVENTS_MS / speed;
        outcomes.late += f64::from(u8::from(wait_ms > TARGET_MS));
    }
}

fn play_days(choice: Choice, streams_per_s: f64, speeds: [f64; 3]) -> Outcomes {
    let mut sum = Outcomes::default();
    (0..DAYS).for_each(|seed| play(choice, streams_per_s, speeds, seed, &mut sum));
    let means = Outcomes {
        first_event_ms: sum.first_event_ms / sum.streams,
        total_ms: sum.total_ms / sum.streams,
        late: sum.late / sum.streams,
        ..sum
    };
    println!("{choice:?} streams_per_s={streams_per_s} speeds={speeds:?}: {means:.4?}");
    means
}

/// Fails if streams wait at slow engines as long as at fast ones, or if own rates alone, of which a daemon has a tenth of
/// the engines in a minute, are taken to be enough.
#[test]
fn streams_begin_and_end_earlier_by_the_rates_of_all_daemons() {
    for streams_per_s in [23.9, 60.0] {
        let speeds = [0.7, 0.7, 1.7];
        let before = play_days(Choice::Prompts, streams_per_s, speeds);
        play_days(Choice::OwnRates, streams_per_s, speeds);
        let after = play_days(Choice::SharedRates, streams_per_s, speeds);
        assert!(after.total_ms < 0.9 * before.total_ms);
        assert!(after.first_event_ms < 0.9 * before.first_event_ms);
        assert!(after.late <= (0.5 * before.late).max(LATE_NOISE));
    }
}

/// Fails if equal engines are told apart by the variation of what was learned, so that callers wait longer than before.
#[test]
fn equal_engines_are_chosen_by_their_load() {
    for streams_per_s in [23.9, 60.0] {
        let before = play_days(Choice::Prompts, streams_per_s, [1.0; 3]);
        let after = play_days(Choice::SharedRates, streams_per_s, [1.0; 3]);
        assert!(after.first_event_ms < 1.02 * before.first_event_ms);
        assert!(after.late < before.late + 2.0 * LATE_NOISE);
    }
}
