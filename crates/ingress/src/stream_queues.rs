//! Queues of the streams that wait for an engine, one for each service.

use crate::core::Core;
use base::{HashMap, ServiceName, lock};
use limit::{StreamQueue, WaitingStream};
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::sync::watch;

/// Longest wait of a stream for its turn. After that it looks for an engine although more urgent streams wait, so that a
/// stream that must be refused learns it early.
const MAX_TURN_WAIT_MS: u64 = 400;

/// Streams of all services that wait for an engine at this daemon.
#[derive(Debug, Default)]
pub(crate) struct StreamQueues {
    queues: Mutex<HashMap<ServiceName, StreamQueue>>,
    next_number: AtomicU64,
    /// Notifies waiting streams that one has left its queue.
    departures: watch::Sender<()>,
}

impl StreamQueues {
    /// Creates the ticket of a stream, which is not in the queue until it enters.
    pub fn ticket(self: &Arc<Self>, service: &ServiceName) -> QueueTicket {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        QueueTicket { queues: Arc::clone(self), service: service.clone(), number }
    }

    /// Number of streams that wait, of all services.
    pub fn len(&self) -> usize {
        lock(&self.queues).values().map(StreamQueue::len).sum()
    }

    fn is_next(&self, service: &ServiceName, number: u64, now_ms: u64) -> bool {
        lock(&self.queues).get(service).is_none_or(|queue| queue.is_next(number, now_ms))
    }
}

/// Place of one stream in the queue of its service, which ends when the ticket is dropped.
#[derive(Debug)]
pub(crate) struct QueueTicket {
    queues: Arc<StreamQueues>,
    service: ServiceName,
    number: u64,
}

impl QueueTicket {
    /// Number of the stream in its queue.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Enters the queue, or updates the place in it.
    pub fn enter(&self, stream: WaitingStream) {
        lock(&self.queues.queues).entry(self.service.clone()).or_default().enter(stream);
    }

    /// Future that waits until no other stream comes first, or for at most `MAX_TURN_WAIT_MS`.
    pub fn turn(&self, core: &Arc<Core>) -> impl Future<Output = ()> + Send + 'static {
        let (core, queues) = (Arc::clone(core), Arc::clone(&self.queues));
        let (service, number) = (self.service.clone(), self.number);
        let mut departures = queues.departures.subscribe();
        let turn = async move {
            while !queues.is_next(&service, number, core.clock.now_ms()) {
                if departures.changed().await.is_err() {
                    return;
                }
            }
        };
        async move {
            // A timeout ends the wait as well.
            let _ = tokio::time::timeout(Duration::from_millis(MAX_TURN_WAIT_MS), turn).await;
        }
    }
}

impl Drop for QueueTicket {
    fn drop(&mut self) {
        let mut queues = lock(&self.queues.queues);
        let Some(queue) = queues.get_mut(&self.service) else { return };
        if queue.leave(self.number) {
            self.queues.departures.send_replace(());
        }
        if queue.is_empty() {
            queues.remove(&self.service);
        }
    }
}
