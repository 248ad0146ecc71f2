//! Tasks of calls that continue after their callers have disconnected.

use std::future::Future;
use tokio::{sync::watch, task::JoinHandle};

/// Spawns and counts the tasks of calls. A call runs in a task of its own, since hyper drops the handler of a caller
/// that disconnects, and the outcome of the call must still be written to its claim.
#[derive(Clone, Debug)]
pub(crate) struct CallTasks {
    /// Number of calls whose tasks have not ended.
    running: watch::Sender<usize>,
}

/// Counts one call as running until this value is dropped, which also happens if the task of the call panics.
#[derive(Debug)]
struct RunningCall(watch::Sender<usize>);

impl Drop for RunningCall {
    fn drop(&mut self) {
        self.0.send_modify(|running| *running -= 1);
    }
}

impl CallTasks {
    pub fn new() -> Self {
        Self { running: watch::Sender::new(0) }
    }

    /// Runs a call in a task of its own, whose handle returns the outcome. The call continues if the handle is dropped.
    pub fn spawn<T: Send + 'static>(
        &self,
        call: impl Future<Output = T> + Send + 'static,
    ) -> JoinHandle<T> {
        self.running.send_modify(|running| *running += 1);
        let running = RunningCall(self.running.clone());
        tokio::spawn(async move {
            let _running = running;
            call.await
        })
    }

    /// Waits until no call is running. The wait is bounded, because every step of a call has a timeout.
    pub async fn finished(&self) {
        let _ = self.running.subscribe().wait_for(|&running| running == 0).await;
    }
}
