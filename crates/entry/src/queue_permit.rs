//! Place of a request in the queue of its service.

use crate::service_queue::ServiceQueue;
use base::{Clock, lock};
use limit::Class;
use std::sync::{Arc, Mutex};

/// Permit of a request that is running, or waiting in the queue of its service. Dropping the permit ends the request in
/// the queue, because a request also ends when its task is cancelled.
#[derive(Debug)]
pub(crate) struct QueuePermit {
    pub queue: Arc<Mutex<ServiceQueue>>,
    pub id: u64,
    pub class: Class,
    pub clock: Clock,
}

impl Drop for QueuePermit {
    fn drop(&mut self) {
        let mut queue = lock(&self.queue);
        queue.end(self.id, self.class, self.clock.now_ms());
    }
}
