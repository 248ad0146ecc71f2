//! Small model of engines that cache prompt parts, and of daemons that choose between them.
#![allow(dead_code)]

use prefix::{
    Assignment, EngineKey, EngineLoad, Expectation, PartKey, PrefixModel, Prompt, PromptPart,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Load of a played time: the engines of one service and the requests of many daemons.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub daemons: usize,
    pub engines: usize,
    pub slots: usize,
    pub kv_tokens: u64,
    pub ms_per_token: f64,
    /// Time from the first event to the last one.
    pub answer_ms: f64,
    pub requests_per_s: f64,
    pub prompt_tokens: u64,
    /// Share of the prompt that is a shared beginning.
    pub shared: f64,
    /// Number of different beginnings, of which the first is the most frequent one.
    pub beginnings: usize,
    pub seconds: u64,
    pub probes: usize,
}

/// What a played time gave.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub p50_ms: f64,
    pub p95_ms: f64,
    /// Tokens that were read for each request.
    pub tokens_read: f64,
    /// Largest share of all requests that one engine got, times the number of engines.
    pub skew: f64,
}

/// Engine that reads one prompt after the other, and evicts the least recently used parts.
struct Engine {
    key: EngineKey,
    /// End of the reading of each prompt that was sent here, oldest first.
    reads: Vec<f64>,
    free_at_ms: f64,
    /// Cached sequences with their tokens and last use.
    cached: HashMap<u64, (u64, f64)>,
    /// End and tokens of the requests that hold memory.
    running: Vec<(f64, u64)>,
    requests: usize,
}

impl Engine {
    fn pending(&self, now_ms: f64) -> u32 {
        self.reads.iter().filter(|&&end| end > now_ms).count() as u32
    }

    fn held(&self, now_ms: f64) -> u64 {
        self.running.iter().filter(|(end, _)| *end > now_ms).map(|(_, tokens)| tokens).sum()
    }

    /// Reads a prompt, and returns the time of its first event and the number of tokens read.
    fn read(&mut self, parts: &[(u64, u64)], load: &Load, now_ms: f64) -> (f64, u64) {
        let start_ms = self.free_at_ms.max(now_ms);
        let total: u64 = parts.iter().map(|(_, tokens)| tokens).sum();
        let mut read = total;
        for (sequence, tokens) in parts {
            match self.cached.get_mut(sequence) {
                Some((_, used)) => {
                    *used = start_ms;
                    read -= tokens;
                }
                None => break,
            }
        }
        for (sequence, tokens) in parts {
            self.cached.insert(*sequence, (*tokens, start_ms));
        }
        let first_ms = start_ms + read as f64 * load.ms_per_token;
        self.free_at_ms = first_ms;
        self.reads.retain(|end| *end > now_ms);
        self.reads.push(first_ms);
        self.running.retain(|(end, _)| *end > now_ms);
        self.running.push((first_ms + load.answer_ms, total - parts[0].1));
        self.requests += 1;
        // Running requests hold their own tokens; the rest of the memory is for parts that are only cached.
        let room = load.kv_tokens.saturating_sub(self.held(now_ms));
        let mut by_use: Vec<_> =
            self.cached.iter().map(|(&key, &(tokens, used))| (key, tokens, used)).collect();
        by_use.sort_by(|a, b| b.2.total_cmp(&a.2).then(b.0.cmp(&a.0)));
        let mut kept = 0;
        for (key, tokens, _) in by_use {
            kept += tokens;
            if kept > room {
                self.cached.remove(&key);
            }
        }
        (first_ms, read)
    }
}

/// Request that has been sent, until its first event.
struct Sent {
    daemon: usize,
    expected: Expectation,
    load: EngineLoad,
    sent_ms: f64,
}

/// Plays a load. Each request probes some engines and goes to the one with the earliest expected first event; with
/// `uses_prefixes`, half of the probed ones are those that are assigned to its prompt, and cached parts are credited.
pub fn play(load: Load, uses_prefixes: bool, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut models: Vec<PrefixModel> = vec![PrefixModel::default(); load.daemons];
    let mut engines: Vec<Engine> = (0..load.engines)
        .map(|number| Engine {
            key: EngineKey::new(&format!("engine-{number}"), 1),
            reads: Vec::new(),
            free_at_ms: 0.0,
            cached: HashMap::new(),
            running: Vec::new(),
            requests: 0,
        })
        .collect();
    let keys: Vec<EngineKey> = engines.iter().map(|engine| engine.key).collect();
    let mut events: BTreeMap<(u64, u64), Sent> = BTreeMap::new();
    let (mut waits, mut tokens_read, mut now_ms, mut number) = (Vec::new(), 0, 0.0, 0_u64);
    while now_ms < load.seconds as f64 * 1_000.0 {
        now_ms += -(1.0 - rng.random::<f64>()).ln() * 1_000.0 / load.requests_per_s;
        number += 1;
        while let Some(entry) = events.first_entry().filter(|entry| entry.key().0 <= now_ms as u64)
        {
            let first_ms = entry.key().0;
            let sent = entry.remove();
            if let Some(read) = sent.load.tokens_read(first_ms as f64 - sent.sent_ms) {
                models[sent.daemon].record_first_event(&sent.expected, read, first_ms);
            }
        }
        let daemon = rng.random_range(0..load.daemons);
        // A few beginnings are frequent and many are rare.
        let beginning = (rng.random::<f64>().powi(3) * load.beginnings as f64) as u64;
        let shared = (load.prompt_tokens as f64 * load.shared) as u64;
        let parts = [(beginning, shared.max(1)), (1_000_000 + number, load.prompt_tokens - shared)];
        let prompt: Vec<PromptPart> = parts
            .iter()
            .map(|(id, tokens)| PromptPart {
                key: PartKey::from(&*id.to_string()),
                tokens: *tokens,
            })
            .collect();
        let prompt = Prompt::try_from(prompt).unwrap();
        let assignment = match uses_prefixes {
            true => Assignment::new(&prompt, &keys),
            false => Assignment::default(),
        };
        let mut probed = models[daemon].candidates(&prompt, &assignment, &keys, now_ms as u64);
        probed.truncate(load.probes / 2);
        let mut seen: HashSet<usize> = probed.iter().copied().collect();
        while probed.len() < load.probes {
            let index = rng.random_range(0..engines.len());
            if seen.insert(index) {
                probed.push(index);
            }
        }
        let options = probed.iter().map(|&index| {
            let engine = &engines[index];
            let expected =
                models[daemon].expect(&prompt, &assignment, index, engine.key, now_ms as u64);
            let engine_load = EngineLoad {
                pending_prompts: engine.pending(now_ms),
                usual_prompt_tokens: load.prompt_tokens as f64,
                ms_per_token: load.ms_per_token,
            };
            let read = if uses_prefixes { expected.read_tokens() } else { prompt.tokens() as f64 };
            let is_full = engine.held(now_ms) + prompt.tokens() > load.kv_tokens
                || engine.running.iter().filter(|(end, _)| *end > now_ms).count() >= load.slots;
            (is_full, engine_load.first_event_ms(read), index, expected, engine_load)
        });
        let best = options.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let (_, _, index, expected, engine_load) = best.unwrap();
        let (first_ms, read) = engines[index].read(&parts, &load, now_ms);
        models[daemon].record_sent(&prompt, keys[index], now_ms as u64);
        events.insert(
            (first_ms as u64, number),
            Sent { daemon, expected, load: engine_load, sent_ms: now_ms },
        );
        // The first quarter is for learning.
        if now_ms > load.seconds as f64 * 250.0 {
            waits.push(first_ms - now_ms);
            tokens_read += read;
        }
    }
    waits.sort_by(f64::total_cmp);
    let at = |share: f64| waits[(waits.len() as f64 * share) as usize];
    let requests: usize = engines.iter().map(|engine| engine.requests).sum();
    let busiest = engines.iter().map(|engine| engine.requests).max().unwrap_or(0);
    Outcome {
        p50_ms: at(0.5),
        p95_ms: at(0.95),
        tokens_read: tokens_read as f64 / waits.len() as f64,
        skew: busiest as f64 * load.engines as f64 / requests as f64,
    }
}

/// Load like that of a large deployment: 90 engines, 89 daemons.
pub const LARGE: Load = Load {
    daemons: 89,
    engines: 90,
    slots: 12,
    kv_tokens: 55_000,
    ms_per_token: 0.2,
    answer_ms: 4_000.0,
    requests_per_s: 24.0,
    prompt_tokens: 5_200,
    shared: 0.0,
    beginnings: 20,
    seconds: 240,
    probes: 4,
};
