//! Model of an engine of the lessons deployment: a queue by urgency, one prefill at a time, and decoding of the batch.

use limit::{EngineLoad, URGENCY_LEVELS};

/// Tokens of a prompt and of the output of a stream.
pub const PROMPT: f64 = 5_200.0;
pub const OUTPUT: f64 = 780.0;

/// Tokens of the copy of a stream's memory at another engine.
const COPY: f64 = PROMPT + OUTPUT / 2.0;

/// Prompt tokens that are read in a millisecond.
const PREFILL_RATE: f64 = 5.0;

const KV_TOKENS: f64 = 55_000.0;
const SLOTS: usize = 16;

/// Share of the time that goes into decoding while a prompt is read.
const DECODE_SHARE: f64 = 0.15;

pub const TICK_MS: u64 = 20;

/// Stream at an engine.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    pub stream: usize,
    pub urgency: u8,
    /// Tokens of the prompt that are still to be read.
    pub prefill: f64,
    pub generated: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Engine {
    pub queue: Vec<Run>,
    pub batch: Vec<Run>,
    /// Streams whose copies the engine holds.
    pub copies: Vec<usize>,
    pub down_until_ms: u64,
    /// Prompt tokens that were read and lost by preemption.
    pub wasted: f64,
}

impl Engine {
    pub fn load(&self) -> EngineLoad {
        let prefilling = self.batch.iter().filter(|run| run.prefill > 0.0);
        let mut tokens_by_urgency = [0; URGENCY_LEVELS];
        for run in self.batch.iter().filter(|run| run.prefill <= 0.0) {
            tokens_by_urgency[usize::from(run.urgency)] += (PROMPT + run.generated) as u64;
        }
        EngineLoad {
            running: self.batch.len() as u32,
            queued: self.queue.len() as u32,
            prefilling: prefilling.count() as u32,
            used_tokens: self.used() as u64,
            capacity_tokens: KV_TOKENS as u64,
            tokens_by_urgency,
        }
    }

    fn used(&self) -> f64 {
        let runs = self.batch.iter().map(|run| PROMPT + run.generated);
        runs.sum::<f64>() + COPY * self.copies.len() as f64
    }

    /// Ends all requests, and returns them.
    pub fn crash(&mut self, until_ms: u64) -> Vec<Run> {
        self.down_until_ms = until_ms;
        self.copies.clear();
        self.queue.drain(..).chain(self.batch.drain(..)).collect()
    }

    /// Advances by a tick. Appends the streams that have just had their first event, and those that are complete.
    pub fn tick(&mut self, begun: &mut Vec<usize>, done: &mut Vec<usize>) {
        while self.batch.len() < SLOTS && self.used() + PROMPT <= KV_TOKENS {
            let next = (0..self.queue.len()).min_by_key(|&at| self.queue[at].urgency);
            let Some(next) = next else { break };
            self.batch.push(self.queue.remove(next));
        }
        let mut left_ms = TICK_MS as f64;
        let prefilling = self.batch.iter_mut().filter(|run| run.prefill > 0.0);
        if let Some(run) = prefilling.min_by_key(|run| run.urgency) {
            run.prefill -= PREFILL_RATE * left_ms * (1.0 - DECODE_SHARE);
            left_ms *= DECODE_SHARE;
        }
        let step_ms = 4.55 + 0.18 * self.batch.len() as f64;
        for run in self.batch.iter_mut().filter(|run| run.prefill <= 0.0) {
            if run.generated == 0.0 {
                begun.push(run.stream);
            }
            run.generated += left_ms / step_ms;
        }
        let complete = self.batch.iter().filter(|run| run.generated >= OUTPUT);
        done.extend(complete.map(|run| run.stream));
        self.batch.retain(|run| run.generated < OUTPUT);
        while self.used() > KV_TOKENS && !self.batch.is_empty() {
            // The newest of the least urgent requests gives way, and its prompt is read again.
            let urgency = self.batch.iter().map(|run| run.urgency).max().unwrap_or(0);
            let last = self.batch.iter().rposition(|run| run.urgency == urgency).unwrap_or(0);
            let run = self.batch.remove(last);
            self.wasted += (PROMPT + run.generated - run.prefill.max(0.0)).max(0.0);
            self.queue.push(Run { prefill: PROMPT + run.generated, ..run });
        }
    }
}
