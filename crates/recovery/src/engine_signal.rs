//! Signals about the state of the engine that runs an attempt.

/// Signal about an engine, from the list of VMs or from the engine's own report. Lists and reports lag, so a signal
/// never ends an attempt by itself; it only changes the silence or first-token timeout.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineSignal {
    /// The list of VMs states that the engine is leaving, which means that its VM will be removed soon.
    Leaving,
    /// The list of VMs no longer contains the engine.
    Removed,
    /// The engine reports that it works on the request, and no KV cache replica exists from which another engine could
    /// continue. The engine sends nothing because of its other work, and another engine would have to prefill the
    /// prompt again.
    Working,
}
