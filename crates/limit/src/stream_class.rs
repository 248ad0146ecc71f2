//! Class of a stream among all streams of its service.

/// Class of a stream, which decides how much memory it leaves free at an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamClass {
    /// All streams of the service have the same priority.
    Only,
    /// The stream has the most urgent of several priorities.
    MostUrgent,
    /// The stream has a less urgent one of several priorities.
    LessUrgent,
}

impl StreamClass {
    /// Number of further streams for which memory stays free at the engine of a new stream.
    ///
    /// The memory is for the output of the running requests, for copies of other engines' requests, and for what other
    /// daemons send at the same time; with several classes also for the most urgent one, which uses all of it. In the
    /// model of `tests/burst`, two streams in place of none reduce the wasted prompt tokens from 2.0 to 0.9 million. With
    /// one class, the second stream costs more in a burst than it saves.
    pub fn reserved_streams(self) -> u64 {
        match self {
            Self::MostUrgent => 0,
            Self::Only => 1,
            Self::LessUrgent => 2,
        }
    }
}
