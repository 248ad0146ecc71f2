//! Progress of a stream against its targets, which decides on its place in the queue of its daemon.

/// Progress of a stream against its targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamProgress {
    /// The stream has no event yet, and its first one can still be in time.
    New,
    /// The stream has events and has met its targets so far. Its next event is due sooner than that of a new stream.
    Begun,
    /// The stream has missed a target. It must not delay streams that can be in time.
    Late,
}
