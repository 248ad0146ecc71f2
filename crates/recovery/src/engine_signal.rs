//! What is said about the engine of an attempt.

/// Sign of what an engine does. Lists and reports lag, so a sign alone never ends an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineSignal {
    /// The engine is listed as leaving.
    Leaving,
    /// The engine is no longer listed.
    Removed,
    /// The engine reports that it works on the request, and this is all that is to be had: the attempt's silence comes from
    /// other work there, and another engine would begin with the prompt.
    Working,
}
