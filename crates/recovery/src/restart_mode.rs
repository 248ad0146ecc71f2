//! Start position of a new attempt.

/// Where a new attempt starts in the answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RestartMode {
    /// The engine continues after the accepted tokens.
    #[default]
    Continue,
    /// Baseline for comparison: the engine first decodes again as many tokens as were accepted, which are discarded,
    /// and then continues. The caller still reads one whole answer, but the time and work are those of a restart.
    Regenerate,
}
