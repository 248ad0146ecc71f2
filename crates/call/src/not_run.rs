//! Proof that a call was not run.

/// Proof that a call was not run and never will be. Only an unsent call gives it.
#[derive(Debug)]
pub struct NotRun(());

impl NotRun {
    pub(crate) fn new() -> Self {
        Self(())
    }
}
