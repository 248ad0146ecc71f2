//! Usual times and answers of one route.

use crate::{answer::Answer, counts::Counts, open_request::OpenRequest};

/// Multiple of the usual time from which an answer is slow.
const SLOW_FACTOR: f64 = 3.0;

/// Shortest time until an answer that counts as slow. Shorter delays come from a busy VM.
const MIN_SLOW_MS: f64 = 25.0;

/// Shortest mean gap between events that counts as slow.
const MIN_SLOW_GAP_MS: f64 = 40.0;

/// Number of events after which the mean gap of a stream is compared.
const GAP_EVENTS: u32 = 9;

/// Weight of a new sample in the usual times.
const SAMPLE_WEIGHT: f64 = 0.15;

/// Multiple of the usual time at which a sample is cut, so that one stalled request does not change it much.
const MAX_SAMPLE_FACTOR: f64 = 2.0;

/// Time after which the counts of answers begin again. Those of the period before are kept as well.
const PERIOD_MS: u64 = 20_000;

/// Usual times and answers of one route, by this daemon's requests.
#[derive(Debug, Default)]
pub(crate) struct Meter {
    /// Usual time to the answer or to the first event; `None` before the first sample.
    usual_ms: Option<f64>,
    /// Usual gap between two events.
    usual_gap_ms: Option<f64>,
    current: Counts,
    previous: Counts,
    period_start_ms: u64,
}

impl Meter {
    /// Counts an answer outside of a rollout.
    pub fn count(&mut self, answer: Answer, now_ms: u64) {
        if now_ms >= self.period_start_ms + PERIOD_MS {
            self.previous = std::mem::take(&mut self.current);
            self.period_start_ms = now_ms;
        }
        answer.add_to(&mut self.current);
    }

    /// Answers of the last seconds.
    pub fn recent(&self) -> Counts {
        let mut recent = self.current;
        recent.add(&self.previous);
        recent
    }

    /// Time after which an answer or a first event counts as slow.
    pub fn slow_ms(&self, open: &OpenRequest) -> f64 {
        let usual_ms = self.usual_ms.map(|ms| ms * SLOW_FACTOR);
        usual_ms.unwrap_or(open.request.target_latency_ms as f64).max(MIN_SLOW_MS)
    }

    /// Whether an answer that took `took_ms` was slow. `is_usual` tells whether it changes the usual time.
    pub fn is_slow(&mut self, open: &OpenRequest, took_ms: u64, is_usual: bool) -> bool {
        if open.request.is_resumed {
            return false;
        }
        let is_slow = took_ms as f64 >= self.slow_ms(open);
        if is_usual {
            learn(&mut self.usual_ms, took_ms as f64);
        }
        is_slow
    }

    /// Whether the gaps of a stream whose event has just arrived are long. `is_usual` tells whether they change the usual
    /// gap. Each stream is compared once.
    pub fn has_long_gaps(&mut self, open: &OpenRequest, now_ms: u64, is_usual: bool) -> bool {
        let Some(first_ms) = open.first_event_ms.filter(|_| open.events == GAP_EVENTS) else {
            return false;
        };
        let gap_ms = (now_ms - first_ms) as f64 / f64::from(GAP_EVENTS - 1);
        let is_long = self
            .usual_gap_ms
            .is_some_and(|usual_ms| gap_ms >= (usual_ms * SLOW_FACTOR).max(MIN_SLOW_GAP_MS));
        if is_usual {
            learn(&mut self.usual_gap_ms, gap_ms);
        }
        is_long
    }
}

fn learn(usual: &mut Option<f64>, sample: f64) {
    match usual {
        Some(usual) => {
            let sample = sample.min((*usual * MAX_SAMPLE_FACTOR).max(1.0));
            *usual += (sample - *usual) * SAMPLE_WEIGHT;
        }
        None => *usual = Some(sample),
    }
}
