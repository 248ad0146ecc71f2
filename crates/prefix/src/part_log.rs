//! Parts that this daemon has met lately, and where it sent them.

use crate::{engine_key::EngineKey, part_key::PartKey};
use base::HashMap;
use std::collections::{BTreeMap, VecDeque};

/// Largest number of sequences of parts. An entry takes about 250 bytes with its engines, so a log takes 2 MB at most.
const MAX_SEQUENCES: usize = 8_192;

/// Largest number of engines that are remembered for a sequence.
const MAX_ENGINES: usize = 4;

/// Time in which a count of uses falls to a half.
const HALF_LIFE_MS: f64 = 60_000.0;

/// Sequences of parts that were met lately. The least recently used ones are forgotten first.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartLog {
    sequences: HashMap<PartKey, Uses>,
    /// Sequences by the number of their last use.
    order: BTreeMap<u64, PartKey>,
    next_use: u64,
}

#[derive(Clone, Debug)]
struct Uses {
    last_use: u64,
    /// Number of uses, which decays.
    count: f64,
    counted_ms: u64,
    /// Engines to which the sequence was sent, with the last time, most recent first.
    engines: VecDeque<(EngineKey, u64)>,
}

impl PartLog {
    /// Records that a sequence was sent to an engine.
    pub(crate) fn record(&mut self, sequence: PartKey, engine: EngineKey, now_ms: u64) {
        let uses = self.sequences.entry(sequence).or_insert_with(|| Uses {
            last_use: self.next_use,
            count: 0.0,
            counted_ms: now_ms,
            engines: VecDeque::new(),
        });
        self.order.remove(&uses.last_use);
        uses.count = uses.count_at(now_ms) + 1.0;
        uses.counted_ms = now_ms;
        uses.last_use = self.next_use;
        uses.engines.retain(|(known, _)| *known != engine);
        uses.engines.push_front((engine, now_ms));
        uses.engines.truncate(MAX_ENGINES);
        self.order.insert(self.next_use, sequence);
        self.next_use += 1;
        if self.sequences.len() > MAX_SEQUENCES
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.sequences.remove(&oldest);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.sequences.len()
    }

    /// Number of uses of a sequence within some minutes.
    pub(crate) fn popularity(&self, sequence: PartKey, now_ms: u64) -> f64 {
        self.sequences.get(&sequence).map_or(0.0, |uses| uses.count_at(now_ms))
    }

    /// Time since a sequence was sent to an engine, if it is remembered.
    pub(crate) fn age_ms(&self, sequence: PartKey, engine: EngineKey, now_ms: u64) -> Option<u64> {
        let engines = &self.sequences.get(&sequence)?.engines;
        let (_, sent_ms) = engines.iter().find(|(known, _)| *known == engine)?;
        Some(now_ms.saturating_sub(*sent_ms))
    }
}

impl Uses {
    fn count_at(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.counted_ms) as f64;
        self.count * (-elapsed_ms / HALF_LIFE_MS).exp2()
    }
}
