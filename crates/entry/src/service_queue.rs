//! Queue of one service with the tasks that wait in it.

use base::{HashMap, HashSet};
use limit::{AdmissionDecision, AdmissionQueue, AdmissionQueueLimits, Class};
use tokio::sync::oneshot;

/// Queue of one service with the tasks that wait in it.
#[derive(Debug)]
pub(crate) struct ServiceQueue {
    queue: AdmissionQueue,
    waiters: HashMap<u64, oneshot::Sender<()>>,
    running: HashSet<u64>,
    last_id: u64,
}

impl ServiceQueue {
    pub fn new(limits: AdmissionQueueLimits) -> Self {
        Self {
            queue: AdmissionQueue::new(limits),
            waiters: HashMap::default(),
            running: HashSet::default(),
            last_id: 0,
        }
    }

    /// Offers a request: its identifier and, if it waits, what tells that it is admitted. `None` if it is rejected.
    pub fn offer(
        &mut self,
        class: Class,
        now_ms: u64,
    ) -> Option<(u64, Option<oneshot::Receiver<()>>)> {
        self.last_id += 1;
        let id = self.last_id;
        match self.queue.offer(id, class, now_ms) {
            AdmissionDecision::Admitted => {
                self.running.insert(id);
                Some((id, None))
            }
            AdmissionDecision::Queued { .. } => {
                let (sender, receiver) = oneshot::channel();
                self.waiters.insert(id, sender);
                Some((id, Some(receiver)))
            }
            AdmissionDecision::Rejected => None,
        }
    }

    /// Ends a request, whether it runs, waits or has expired.
    pub fn end(&mut self, id: u64, class: Class, now_ms: u64) {
        if self.running.remove(&id) {
            self.queue.release(class);
        } else if self.waiters.remove(&id).is_some() {
            self.queue.cancel(id, class);
        }
        self.poll(now_ms);
    }

    /// Changes the bounds and admits what they now allow.
    pub fn set_limits(&mut self, limits: AdmissionQueueLimits, now_ms: u64) {
        self.queue.set_limits(limits);
        self.poll(now_ms);
    }

    /// Requests of a class that run and that wait.
    pub fn counts(&self, class: Class) -> (u32, usize) {
        (self.queue.running(class), self.queue.waiting(class))
    }

    fn poll(&mut self, now_ms: u64) {
        let (mut admitted, mut expired) = (Vec::new(), Vec::new());
        self.queue.poll(now_ms, &mut admitted, &mut expired);
        for id in admitted {
            self.running.insert(id);
            if let Some(waiter) = self.waiters.remove(&id) {
                // A task that has gone ends the request when it drops its permit.
                let _ = waiter.send(());
            }
        }
        for id in expired {
            self.waiters.remove(&id);
        }
    }
}
