//! A heavy day: callers, daemons that decide with the code under test, and engines.

use crate::engine::{Engine, OUTPUT, PROMPT, Run, TICK_MS};
use limit::{
    EngineLoad, EngineOffer, StreamAsk, StreamClass, StreamProgress, StreamQueue, StreamVerdict,
    WaitingStream,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::collections::VecDeque;

const ENGINES: usize = 142;
const DAEMONS: usize = 89;
const END_MS: u64 = 40_000;
const DEADLINE_MS: u64 = 25_000;
const PREFILL_MS: u64 = 1_200;
const STREAM_MS: u64 = 6_000;

/// Streams a second, target for the first event, and urgency level of the two tiers.
const TIERS: [(f64, u64, u8); 2] = [(3.2, 4_000, 0), (42.4, 10_000, 1)];

/// Age of the engines' reports in ticks.
const REPORT_AGE_TICKS: usize = 10;

/// Times between two searches of a stream for an engine, and in which it looks at the latest if others come first.
const SEARCH_MS: u64 = 100;
const TURN_MS: u64 = 400;

#[derive(Clone, Copy, Debug, Default)]
struct Stream {
    tier: usize,
    arrived_ms: u64,
    since_ms: u64,
    searched_ms: u64,
    is_sent: bool,
    is_shed: bool,
    was_in_time: bool,
    generated: f64,
    first_ms: Option<u64>,
    is_done: bool,
    copy_at: Option<usize>,
}

impl Stream {
    fn target_ms(&self) -> u64 {
        self.arrived_ms + TIERS[self.tier].1
    }

    fn progress(&self, now_ms: u64) -> StreamProgress {
        match self.first_ms {
            Some(first_ms) if first_ms <= self.target_ms() => StreamProgress::Begun,
            None if now_ms + PREFILL_MS <= self.target_ms() => StreamProgress::New,
            _ => StreamProgress::Late,
        }
    }

    /// Urgency level, which is that of its tier whatever the progress.
    fn level(&self) -> u8 {
        TIERS[self.tier].2
    }
}

/// Streams of a tier, and those that were complete with the first event in time, complete, and refused once.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tier {
    pub streams: u32,
    pub in_time: u32,
    pub done: u32,
    pub shed: u32,
}

/// What a day brought.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub tiers: [Tier; 2],
    /// Prompt tokens that preemptions wasted.
    pub wasted: f64,
}

impl Outcome {
    pub fn in_time_share(&self, tier: usize) -> f64 {
        f64::from(self.tiers[tier].in_time) / f64::from(self.tiers[tier].streams)
    }

    pub fn done_share(&self, tier: usize) -> f64 {
        f64::from(self.tiers[tier].done) / f64::from(self.tiers[tier].streams)
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Day {
    /// Whether the code under test decides, rather than the number of pending prefills for at most 1.5 s.
    pub is_scheduled: bool,
    /// Whether a domain is lost every 6 s, rather than once in the burst.
    pub crashes: bool,
    pub swing: f64,
    pub seed: u64,
}

struct State {
    day: Day,
    rng: SmallRng,
    engines: Vec<Engine>,
    streams: Vec<Stream>,
    waiting: Vec<usize>,
    queues: Vec<StreamQueue>,
    reports: VecDeque<Vec<EngineLoad>>,
}

impl Day {
    /// Plays the day.
    pub fn play(self) -> Outcome {
        let mut state = State {
            day: self,
            rng: SmallRng::seed_from_u64(self.seed),
            engines: vec![Engine::default(); ENGINES],
            streams: Vec::new(),
            waiting: Vec::new(),
            queues: vec![StreamQueue::default(); DAEMONS],
            reports: VecDeque::new(),
        };
        for now_ms in (0..END_MS + DEADLINE_MS).step_by(TICK_MS as usize) {
            state.arrive(now_ms);
            if now_ms > 0 && now_ms % 6_000 == 0 && (self.crashes || now_ms == 12_000) {
                state.lose_domain(now_ms);
            }
            state.reports.push_back(state.engines.iter().map(Engine::load).collect());
            state.reports.truncate(REPORT_AGE_TICKS);
            state.search(now_ms);
            state.advance(now_ms);
            if state.reports.len() == REPORT_AGE_TICKS {
                state.reports.pop_front();
            }
        }
        let wasted = state.engines.iter().map(|engine| engine.wasted).sum();
        let mut outcome = Outcome { wasted, ..Outcome::default() };
        for stream in &state.streams {
            let tier = &mut outcome.tiers[stream.tier];
            let is_first_in_time = stream.first_ms.is_some_and(|ms| ms <= stream.target_ms());
            tier.streams += 1;
            tier.in_time += u32::from(stream.is_done && is_first_in_time);
            tier.done += u32::from(stream.is_done);
            tier.shed += u32::from(stream.is_shed);
        }
        outcome
    }
}

impl State {
    fn arrive(&mut self, now_ms: u64) {
        let is_burst = (10_000..16_000).contains(&now_ms);
        for (tier, (rate, ..)) in TIERS.into_iter().enumerate().filter(|_| now_ms < END_MS) {
            let burst = if tier == 1 && is_burst { 2.6 } else { 1.0 };
            let expected = rate * burst * self.day.swing * TICK_MS as f64 / 1e3;
            let arrivals = expected as u32 + u32::from(self.rng.random_bool(expected.fract()));
            for _ in 0..arrivals {
                self.waiting.push(self.streams.len());
                let stream =
                    Stream { tier, arrived_ms: now_ms, since_ms: now_ms, ..Stream::default() };
                self.streams.push(stream);
            }
        }
    }

    fn lose_domain(&mut self, now_ms: u64) {
        let domain = (now_ms / 6_000 % 4) as usize;
        for engine in self.engines.iter_mut().skip(domain).step_by(4) {
            for run in engine.crash(now_ms + 1_200) {
                let stream = &mut self.streams[run.stream];
                stream.generated = run.generated;
                stream.since_ms = now_ms;
                self.waiting.push(run.stream);
            }
        }
        for stream in &mut self.streams {
            stream.copy_at = stream.copy_at.filter(|at| at % 4 != domain);
        }
    }

    fn search(&mut self, now_ms: u64) {
        for id in std::mem::take(&mut self.waiting) {
            let stream = self.streams[id];
            if now_ms > stream.arrived_ms + DEADLINE_MS {
                self.queues[id % DAEMONS].leave(id as u64);
            } else if !self.find_engine(id, now_ms) {
                self.waiting.push(id);
            }
        }
    }

    /// Looks for an engine for a stream, if it is its turn. Returns whether the stream was sent.
    fn find_engine(&mut self, id: usize, now_ms: u64) -> bool {
        let stream = self.streams[id];
        let urgency = if self.day.is_scheduled { stream.level() } else { 5 };
        if let Some(at) = stream.copy_at {
            self.engines[at].copies.retain(|&copy| copy != id);
            self.streams[id].copy_at = None;
            let generated = stream.generated.max(1.0);
            self.engines[at].queue.push(Run { stream: id, urgency, prefill: 0.0, generated });
            return true;
        }
        let has_searched = stream.searched_ms > stream.since_ms;
        if now_ms < stream.since_ms || has_searched && now_ms < stream.searched_ms + SEARCH_MS {
            return false;
        }
        let progress = stream.progress(now_ms);
        if self.day.is_scheduled {
            let queue = &mut self.queues[id % DAEMONS];
            queue.enter(WaitingStream {
                number: id as u64,
                level: stream.level(),
                progress,
                latest_start_ms: stream.target_ms() - PREFILL_MS,
                since_ms: stream.since_ms,
                is_unconstrained: !stream.is_sent,
                version_key: None,
            });
            if !queue.is_next(id as u64, now_ms)
                && now_ms < stream.searched_ms.max(stream.since_ms) + TURN_MS
            {
                return false;
            }
        }
        self.streams[id].searched_ms = now_ms;
        let reports = &self.reports[0];
        let mut probed: Vec<usize> = (0..3).map(|_| self.rng.random_range(0..ENGINES)).collect();
        probed.retain(|&at| self.engines[at].down_until_ms <= now_ms);
        probed.sort_by_key(|&at| {
            let load = reports[at];
            (load.used_tokens * 8 > load.capacity_tokens * 7, load.pending_prefills(), load.running)
        });
        if probed.is_empty() {
            return false;
        }
        let ask = StreamAsk {
            progress,
            urgency_level: stream.level(),
            class: if stream.tier == 0 {
                StreamClass::MostUrgent
            } else {
                StreamClass::LeastUrgent
            },
            is_refusable: !stream.is_sent && !stream.is_shed && stream.first_ms.is_none(),
            was_in_time: stream.was_in_time,
            since_ms: stream.since_ms,
            target_latency_ms: TIERS[stream.tier].1,
            target_ms: stream.target_ms(),
            tokens: (PROMPT + OUTPUT) as u64,
        };
        let offers: Vec<EngineOffer> = probed.iter().map(|&at| offer(reports[at], &ask)).collect();
        let is_busy =
            reports[probed[0]].pending_prefills() >= 3 && now_ms < stream.since_ms + 1_500;
        let verdict = match (self.day.is_scheduled, is_busy) {
            (true, _) => ask.judge(&offers, now_ms),
            (false, true) => StreamVerdict::Wait { is_in_time: true },
            (false, false) => StreamVerdict::Send(0),
        };
        let stream = &mut self.streams[id];
        match verdict {
            StreamVerdict::Wait { is_in_time } => {
                stream.was_in_time = is_in_time;
                false
            }
            StreamVerdict::Refuse { late_ms } => {
                stream.is_shed = true;
                stream.since_ms = now_ms + 300 + late_ms.min(2_000);
                self.queues[id % DAEMONS].leave(id as u64);
                false
            }
            StreamVerdict::Send(position) => {
                stream.is_sent = true;
                let generated = stream.generated;
                let run = Run { stream: id, urgency, prefill: PROMPT + generated, generated };
                self.engines[probed[position]].queue.push(run);
                self.queues[id % DAEMONS].leave(id as u64);
                true
            }
        }
    }

    fn advance(&mut self, now_ms: u64) {
        let (mut begun, mut done) = (Vec::new(), Vec::new());
        for engine in self.engines.iter_mut().filter(|engine| engine.down_until_ms <= now_ms) {
            let is_due = |run: &Run| now_ms < self.streams[run.stream].arrived_ms + DEADLINE_MS;
            engine.queue.retain(is_due);
            engine.batch.retain(is_due);
            engine.copies.retain(|&copy| {
                !self.streams[copy].is_done && now_ms < self.streams[copy].arrived_ms + DEADLINE_MS
            });
            engine.tick(&mut begun, &mut done);
        }
        for id in begun {
            self.streams[id].first_ms.get_or_insert(now_ms);
            let at = self.rng.random_range(0..ENGINES);
            let load = self.engines[at].load();
            let is_full = load.used_tokens * 8 > load.capacity_tokens * 7;
            if !is_full
                && self.streams[id].copy_at.is_none()
                && self.engines[at].down_until_ms <= now_ms
            {
                self.engines[at].copies.push(id);
                self.streams[id].copy_at = Some(at);
            }
        }
        for id in done {
            self.streams[id].is_done = true;
        }
    }
}

fn offer(load: EngineLoad, ask: &StreamAsk) -> EngineOffer {
    let load = if ask.class == StreamClass::MostUrgent { load.without_queue() } else { load };
    let prefills_ms = u64::from(load.pending_prefills() + 1) * PREFILL_MS;
    EngineOffer { load, first_event_ms: prefills_ms + load.memory_wait_ms(ask.tokens, STREAM_MS) }
}
