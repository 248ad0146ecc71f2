//! Causes for which requests fail or are answered late.

/// Cause of a failed or late request, as far as the daemons' logs tell it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LossCause {
    /// The log holds no end of the request.
    DaemonLost,
    /// The daemon was shutting down and refused the request.
    Shutdown,
    /// The daemon had no configuration yet.
    NoConfiguration,
    /// The configuration has no such route or key.
    NotAllowed,
    /// Engines of several failure domains were lost to the daemon at about the same time.
    DomainCutOff,
    /// A rollout left no instance to the request.
    Rollout,
    /// The stream waited for the retry budget.
    RetryBudget,
    /// The stream waited because the engines had too many prompts to read.
    EngineQueue,
    /// The upstreams wanted no requests for some time, as they had stated.
    UpstreamsPausing,
    /// The limits of the upstreams left no request to the daemon.
    UpstreamLimits,
    /// The upstream failed after it had stated that it leaves.
    UpstreamLeft,
    /// No engine answered when the stream needed one.
    NoEngine,
    /// The engine was lost before the first event.
    LostBeforeFirstEvent,
    /// The engine was lost, and the engine with the copy of its memory refused to go on from it.
    UnusableCopy,
    /// The engine was lost, and the stream went on from a copy of its memory.
    LostWithCopy,
    /// The engine was lost, and there was no copy of its memory.
    LostWithoutCopy,
    /// The upstream answered with an error.
    UpstreamError,
    /// The upstream gave no valid answer.
    NoAnswer,
    /// The request was refused for its form.
    InvalidRequest,
    /// The caller left, and no attempt had failed.
    CallerLeft,
    /// No attempt failed, but the answer was slow.
    Slow,
}

impl LossCause {
    /// Description for operators.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::DaemonLost => "daemon lost",
            Self::Shutdown => "daemon shutting down",
            Self::NoConfiguration => "no configuration",
            Self::NotAllowed => "no such route or key",
            Self::DomainCutOff => "failure domain cut off",
            Self::Rollout => "left without an instance by a rollout",
            Self::RetryBudget => "waited for the retry budget",
            Self::EngineQueue => "waited for an engine's queue",
            Self::UpstreamsPausing => "upstreams wanted no requests",
            Self::UpstreamLimits => "limits of the upstreams",
            Self::UpstreamLeft => "upstream had stated that it leaves",
            Self::NoEngine => "no engine answered",
            Self::LostBeforeFirstEvent => "engine lost before the first event",
            Self::UnusableCopy => "engine lost, copy not usable",
            Self::LostWithCopy => "engine lost, with a copy",
            Self::LostWithoutCopy => "engine lost, without a copy",
            Self::UpstreamError => "error of the upstream",
            Self::NoAnswer => "no valid answer of the upstream",
            Self::InvalidRequest => "request refused for its form",
            Self::CallerLeft => "caller left",
            Self::Slow => "slow without a failure",
        }
    }
}
