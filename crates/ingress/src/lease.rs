//! Place of a request at an instance.

use crate::instance::Instance;
use std::{ops::Deref, sync::Arc};

/// Counts a prompt as waiting at an instance until it is dropped.
#[derive(Debug)]
pub(crate) struct PromptLease(Arc<Instance>);

impl PromptLease {
    pub fn new(instance: Arc<Instance>) -> Self {
        instance.begin_prompt();
        Self(instance)
    }
}

impl Drop for PromptLease {
    fn drop(&mut self) {
        self.0.end_prompt();
    }
}

/// Counts a request as in flight at an instance until it is closed or dropped.
#[derive(Debug)]
pub(crate) struct InstanceLease(Arc<Instance>);

impl InstanceLease {
    pub fn new(instance: Arc<Instance>) -> Self {
        instance.enter();
        Self(instance)
    }
}

impl Deref for InstanceLease {
    type Target = Instance;

    fn deref(&self) -> &Instance {
        &self.0
    }
}

impl Drop for InstanceLease {
    fn drop(&mut self) {
        self.0.leave();
    }
}
