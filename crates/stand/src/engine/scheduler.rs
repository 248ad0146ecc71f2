//! Scheduler with continuous batching: each step generates the next tokens of every sequence in the batch.

use crate::engine::{
    cache_log::CacheLog,
    context::Context,
    event_faults::EventFaults,
    load_log::LoadLog,
    prefix_cache::PrefixCache,
    sequence::{Sequence, StepOutcome},
    settings::EngineSettings,
};
use bytes::BytesMut;
use rand::{SeedableRng, rngs::SmallRng};
use std::collections::BTreeMap;
use wire::engine::{EngineCounters, EngineLoad};

/// Buffer space that is reserved at once for the events of many sequences.
const EVENT_BUFFER_RESERVE_BYTES: usize = 64 * 1024;

/// Free space in the event buffer below which more is reserved. In most steps, the events of one sequence need less.
const MIN_EVENT_BUFFER_BYTES: usize = 1024;

/// Queue of waiting sequences, batch of running sequences, and prefix cache.
#[derive(Debug)]
pub(super) struct Scheduler {
    /// Pending faults of token events.
    pub event_faults: EventFaults,
    /// Counters of requests, orders, tokens and cache lookups since the start.
    pub counters: EngineCounters,
    /// Log of the events of the prefix cache.
    pub cache_log: CacheLog,
    /// Whether the reported load says that the engine is leaving.
    pub is_leaving: bool,
    batch_limit: usize,
    queue_limit: usize,
    tokens_per_step: u32,
    prefill_us_per_token: u64,
    last_step_us: u64,
    /// Queue, ordered by priority number (lowest first) and then by arrival.
    waiting: BTreeMap<(i32, u64), Sequence>,
    arrivals: u64,
    running: Vec<Sequence>,
    cache: PrefixCache,
    load_log: LoadLog,
    rng: SmallRng,
    buffer: BytesMut,
}

impl Scheduler {
    pub fn new(settings: &EngineSettings) -> Self {
        let batch_limit = u32::try_from(settings.batch_limit).unwrap_or(u32::MAX);
        let first_load = EngineLoad { batch_limit, ..EngineLoad::default() };
        Self {
            event_faults: EventFaults::default(),
            counters: EngineCounters::default(),
            cache_log: CacheLog::new(
                settings.cache_event_delay_ms,
                settings.cache_event_loss_pct,
                settings.seed,
            ),
            is_leaving: false,
            batch_limit: settings.batch_limit,
            queue_limit: settings.queue_limit,
            tokens_per_step: settings.tokens_per_step.max(1),
            prefill_us_per_token: settings.prefill_us_per_token,
            last_step_us: 0,
            waiting: BTreeMap::new(),
            arrivals: 0,
            running: Vec::new(),
            cache: PrefixCache::new(settings.cache_blocks),
            load_log: LoadLog::new(settings.load_lag_ms, first_load),
            rng: SmallRng::seed_from_u64(settings.seed),
            buffer: BytesMut::new(),
        }
    }

    /// Adds a sequence to the queue. Returns false if the queue is full.
    pub fn submit(&mut self, sequence: Sequence, priority: i32, now_us: u64) -> bool {
        if self.waiting.len() >= self.queue_limit {
            self.counters.refused += 1;
            return false;
        }
        self.counters.requests += 1;
        self.counters.requests_while_leaving += u64::from(self.is_leaving);
        self.arrivals += 1;
        self.waiting.insert((priority, self.arrivals), sequence);
        self.record_load(now_us);
        true
    }

    /// Returns whether no sequence is queued or running.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Runs one step: removes cancelled sequences, fills the batch and generates tokens.
    pub fn step(&mut self, now_us: u64) {
        self.remove_cancelled();
        self.advance_prefills(now_us);
        self.fill_batch(now_us);
        let mut running = std::mem::take(&mut self.running);
        running.retain_mut(|sequence| {
            if sequence.prefill_remaining_us > 0 {
                return true;
            }
            if self.buffer.capacity() < MIN_EVENT_BUFFER_BYTES {
                self.buffer.reserve(EVENT_BUFFER_RESERVE_BYTES);
            }
            let outcome = sequence.step(
                self.tokens_per_step,
                &mut self.rng,
                &mut self.event_faults,
                &mut self.buffer,
                &mut self.counters.decoded_tokens,
            );
            match outcome {
                StepOutcome::Running => return true,
                StepOutcome::Finished => self.counters.finished += 1,
                StepOutcome::Cancelled => self.counters.cancelled += 1,
            }
            false
        });
        self.running = running;
        self.record_load(now_us);
    }

    /// Returns the load at this moment, without the reporting delay.
    pub fn load(&self) -> EngineLoad {
        EngineLoad {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            batch_limit: u32::try_from(self.batch_limit).unwrap_or(u32::MAX),
            is_leaving: self.is_leaving,
        }
    }

    /// Returns the ids of the requests in the batch.
    pub fn active(&self) -> Vec<String> {
        self.running.iter().map(|sequence| sequence.request_id().to_owned()).collect()
    }

    /// Returns the load as it was `load_lag_ms` ago.
    pub fn delayed_load(&mut self, now_us: u64) -> EngineLoad {
        self.record_load(now_us);
        self.load_log.delayed(now_us / 1_000)
    }

    /// Sets the time of the last step to `now_us`, so that the time of a freeze does not count as prefill time.
    pub fn reset_step_time(&mut self, now_us: u64) {
        self.last_step_us = now_us;
    }

    /// Removes the sequences whose client has closed its connection from queue and batch.
    fn remove_cancelled(&mut self) {
        let before = self.waiting.len() + self.running.len();
        self.waiting.retain(|_, sequence| !sequence.is_cancelled());
        let mut running = std::mem::take(&mut self.running);
        running.retain(|sequence| {
            if !sequence.is_cancelled() {
                return true;
            }
            // `prefill` counted the whole context. Its tokens that are not computed yet never will be.
            let remaining_tokens = sequence.prefill_remaining_us / self.prefill_us_per_token.max(1);
            self.counters.prefilled_tokens -= remaining_tokens;
            false
        });
        self.running = running;
        let after = self.waiting.len() + self.running.len();
        self.counters.cancelled += (before - after) as u64;
    }

    /// Spends the time since the last step on the pending prefills, in the order in which the sequences joined the
    /// batch. They share one accelerator, so each prefill starts when the previous one has ended.
    fn advance_prefills(&mut self, now_us: u64) {
        let mut time_us = now_us.saturating_sub(self.last_step_us);
        self.last_step_us = now_us;
        for sequence in &mut self.running {
            let used_us = sequence.prefill_remaining_us.min(time_us);
            sequence.prefill_remaining_us -= used_us;
            time_us -= used_us;
        }
    }

    /// Moves sequences from the queue to the batch until the batch is full, and determines the time of their prefills.
    fn fill_batch(&mut self, now_us: u64) {
        while self.running.len() < self.batch_limit {
            let Some((_, mut sequence)) = self.waiting.pop_first() else { break };
            sequence.prefill_remaining_us = self.prefill(&sequence.context, now_us);
            sequence.context.blocks = Vec::new();
            sequence.context.tokens_at_block_end = Vec::new();
            self.running.push(sequence);
        }
    }

    /// Looks up the context in the prefix cache, stores it there, and returns the time to compute the uncached part.
    fn prefill(&mut self, context: &Context, now_us: u64) -> u64 {
        let hit_blocks = self.cache.lookup(&context.blocks);
        let cached = context.tokens_in(hit_blocks);
        let computed = u64::from(context.tokens - cached);
        if hit_blocks > 0 {
            self.counters.cache_hits += 1;
        } else {
            self.counters.cache_misses += 1;
        }
        self.counters.cached_tokens += u64::from(cached);
        self.counters.prefilled_tokens += computed;
        let log = &mut self.cache_log;
        self.cache.insert(&context.blocks, |block, is_stored| {
            log.push(block, is_stored, now_us / 1_000);
        });
        computed * self.prefill_us_per_token
    }

    /// Adds the current load to the log from which the delayed load is reported.
    fn record_load(&mut self, now_us: u64) {
        let load = self.load();
        self.load_log.push(load, now_us / 1_000);
    }
}
