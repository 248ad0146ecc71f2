//! Where a new attempt starts.

/// Where a new attempt starts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RestartMode {
    /// It continues after the accepted tokens.
    #[default]
    Continue,
    /// Baseline for comparison: the engine first decodes as many tokens again as were accepted, which are discarded,
    /// and then continues. A caller still reads one whole answer; time and work are those of a restart.
    Regenerate,
}
