//! Progress of an answer, from which follows whether its request may have crashed the upstream.

/// Time in milliseconds since the first event of an answer in which a crash of the upstream may be due to the request. An
/// upstream that a prompt crashes ends about 0.1 s after it begins to answer, and a slow one later.
const BEGIN_MS: u64 = 600;

/// Time in milliseconds since the first event of an answer after which the request has not crashed the upstream. It
/// exceeds `BEGIN_MS`, so that no request counts as both.
const SURVIVAL_MS: u64 = 1_500;

/// How far an upstream had got with the answer to a request when it cut the request off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exposure {
    /// The upstream had sent nothing. It may have ended before it could, or because of another request.
    Waiting,
    /// The upstream had just begun its answer.
    Begun,
    /// The upstream had answered for some time, so that the request is not the cause of its end.
    Outlived,
}

/// What has arrived of the answer to one attempt at an upstream, and when.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerProgress {
    head_ms: Option<u64>,
    first_event_ms: Option<u64>,
}

impl AnswerProgress {
    /// Records the arrival of the head.
    pub fn record_head(&mut self, now_ms: u64) {
        self.head_ms = Some(now_ms);
    }

    /// Records the arrival of an event. Only the first one matters.
    pub fn record_event(&mut self, now_ms: u64) {
        self.first_event_ms.get_or_insert(now_ms);
    }

    /// Whether an event has arrived.
    pub fn has_event(&self) -> bool {
        self.first_event_ms.is_some()
    }

    /// Time since the head arrived; `None` if it has not.
    pub fn answering_ms(&self, now_ms: u64) -> Option<u64> {
        self.head_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// How far the answer has got. An upstream may send the head before it reads the prompt, so that only events show for how
    /// long it has answered.
    pub fn exposure(&self, now_ms: u64) -> Exposure {
        match (self.head_ms, self.first_event_ms) {
            (_, Some(at_ms)) if now_ms > at_ms + BEGIN_MS => Exposure::Outlived,
            (None, None) => Exposure::Waiting,
            _ => Exposure::Begun,
        }
    }

    /// Whether the upstream has survived the request: it has answered for some time, or `is_complete`.
    pub fn has_survived(&self, is_complete: bool, now_ms: u64) -> bool {
        let has_lasted = |at_ms| now_ms >= at_ms + SURVIVAL_MS;
        self.first_event_ms.is_some_and(|at_ms| is_complete || has_lasted(at_ms))
    }
}
