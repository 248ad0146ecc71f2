//! Class of a stream among all streams of its service.

/// Class of a stream, which decides how much memory it leaves free at an engine and whether others give way to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamClass {
    /// All streams of the service have the same priority.
    Only,
    /// The stream has the most urgent of several priorities.
    MostUrgent,
    /// There are more urgent and less urgent priorities than that of the stream.
    Middle,
    /// The stream has the least urgent of several priorities.
    LeastUrgent,
}

impl StreamClass {
    /// Number of further streams for which memory stays free at the engine of a new stream.
    ///
    /// The memory is for the output of the running requests, for copies of other engines' requests, and for what other
    /// daemons send at the same time; with several classes also for more urgent ones. In the model of `tests/burst`, two
    /// streams in place of none reduce the wasted prompt tokens from 2.0 to 0.9 million. With one class, the second
    /// stream costs more in a burst than it saves.
    pub fn reserved_streams(self) -> u64 {
        match self {
            Self::MostUrgent => 0,
            Self::Middle | Self::Only => 1,
            Self::LeastUrgent => 2,
        }
    }

    /// Whether less urgent streams wait behind the stream at an engine, and give way to it if memory runs out.
    pub fn has_less_urgent(self) -> bool {
        matches!(self, Self::Middle | Self::MostUrgent)
    }
}
