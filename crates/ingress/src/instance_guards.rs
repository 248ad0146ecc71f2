//! Guards that count requests and prefills at an instance.

use crate::instance::Instance;
use std::{ops::Deref, sync::Arc};

/// Counts a pending prefill at an instance until the guard is dropped.
#[derive(Debug)]
pub(crate) struct PrefillGuard(Arc<Instance>);

impl PrefillGuard {
    pub fn new(instance: Arc<Instance>) -> Self {
        instance.begin_prefill();
        Self(instance)
    }
}

impl Drop for PrefillGuard {
    fn drop(&mut self) {
        self.0.end_prefill();
    }
}

/// Counts a request as in flight at an instance until the guard is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Arc<Instance>);

impl InFlightGuard {
    pub fn new(instance: Arc<Instance>) -> Self {
        instance.begin_request();
        Self(instance)
    }
}

impl Clone for InFlightGuard {
    fn clone(&self) -> Self {
        Self::new(Arc::clone(&self.0))
    }
}

impl Deref for InFlightGuard {
    type Target = Instance;

    fn deref(&self) -> &Instance {
        &self.0
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.end_request();
    }
}
