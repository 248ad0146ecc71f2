//! Queue that admits the requests of one service and wakes their tasks.

use base::{HashMap, HashSet};
use limit::{AdmissionDecision, AdmissionQueue, AdmissionQueueLimits, Class};
use tokio::sync::oneshot;

/// Admission queue of one service, with a channel to the task of each waiting request.
#[derive(Debug)]
pub(crate) struct ServiceQueue {
    queue: AdmissionQueue,
    /// Channels to the waiting requests. A request is notified when it is admitted, and its channel closes when it
    /// expires.
    waiters: HashMap<u64, oneshot::Sender<()>>,
    /// Identifiers of the admitted requests that have not ended.
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

    /// Offers a request to the queue. Returns the identifier of the request and, if the request has to wait, a receiver
    /// that is notified when the request is admitted and closed when it expires. Returns `None` if the request is
    /// rejected.
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

    /// Ends a request that is running, waiting or expired, and admits the next requests.
    pub fn end(&mut self, id: u64, class: Class, now_ms: u64) {
        if self.running.remove(&id) {
            self.queue.release(class);
        } else if self.waiters.remove(&id).is_some() {
            self.queue.cancel(id, class);
        }
        self.poll(now_ms);
    }

    /// Changes the limits, admits the requests that the new limits allow, and drops those that have expired.
    pub fn set_limits(&mut self, limits: AdmissionQueueLimits, now_ms: u64) {
        self.queue.set_limits(limits);
        self.poll(now_ms);
    }

    /// Number of running requests and number of waiting requests of a class.
    pub fn counts(&self, class: Class) -> (u32, usize) {
        (self.queue.running(class), self.queue.waiting(class))
    }

    fn poll(&mut self, now_ms: u64) {
        let (mut admitted, mut expired) = (Vec::new(), Vec::new());
        self.queue.poll(now_ms, &mut admitted, &mut expired);
        for id in admitted {
            self.running.insert(id);
            if let Some(waiter) = self.waiters.remove(&id) {
                // If the task was cancelled, dropping its permit ends the request.
                let _ = waiter.send(());
            }
        }
        for id in expired {
            self.waiters.remove(&id);
        }
    }
}
