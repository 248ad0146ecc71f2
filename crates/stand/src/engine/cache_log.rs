//! Log of prefix cache events, which are published with a delay and some of which are lost.

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::collections::VecDeque;
use wire::engine::{CacheEvent, CacheEventKind, CacheEventList};

/// Largest number of events in the log; further ones evict the oldest.
const MAX_EVENTS: usize = 8_192;

/// Largest number of log entries that one response covers.
const MAX_LISTED_EVENTS: usize = 1_024;

/// Events of the prefix cache. Lost events are kept as well, since their numbers must show as gaps to readers.
#[derive(Debug)]
pub(super) struct CacheLog {
    delay_ms: u64,
    loss_pct: u32,
    rng: SmallRng,
    last_number: u64,
    events: VecDeque<Entry>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    number: u64,
    publish_at_ms: u64,
    block: u64,
    /// Whether the block was stored; false if it was evicted.
    is_stored: bool,
    /// Whether the event is never published.
    is_lost: bool,
}

impl CacheLog {
    /// Creates a log that publishes events after `delay_ms` and loses `loss_pct` percent of them.
    pub fn new(delay_ms: u64, loss_pct: u32, seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self { delay_ms, loss_pct, rng, last_number: 0, events: VecDeque::new() }
    }

    /// Adds an event for a block that was stored (`is_stored`) or evicted.
    pub fn push(&mut self, block: u64, is_stored: bool, now_ms: u64) {
        self.last_number += 1;
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(Entry {
            number: self.last_number,
            publish_at_ms: now_ms + self.delay_ms,
            block,
            is_stored,
            is_lost: self.rng.random_range(0..100) < self.loss_pct,
        });
    }

    /// Returns the published events with larger numbers than `number`, from at most `MAX_LISTED_EVENTS` log entries.
    pub fn after(&self, number: u64, now_ms: u64) -> CacheEventList {
        let start = self.events.partition_point(|entry| entry.number <= number);
        let mut list = CacheEventList { last_number: number, events: Vec::new() };
        let published =
            self.events.range(start..).take_while(|entry| entry.publish_at_ms <= now_ms);
        for entry in published.take(MAX_LISTED_EVENTS) {
            list.last_number = entry.number;
            if !entry.is_lost {
                let kind =
                    if entry.is_stored { CacheEventKind::Stored } else { CacheEventKind::Removed };
                let block = format!("{:016x}", entry.block);
                list.events.push(CacheEvent { number: entry.number, kind, block });
            }
        }
        list
    }
}
