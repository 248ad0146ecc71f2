//! Proof type that allows a call to be reported as not run.

/// Proof that a call was not run and never will be. Only an unsent call without earlier sends of unknown outcome can
/// create it.
#[derive(Debug)]
pub struct NotRun(());

impl NotRun {
    pub(crate) fn new() -> Self {
        Self(())
    }
}
