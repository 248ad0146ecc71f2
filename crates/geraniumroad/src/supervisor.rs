//! Restarts background tasks that end, so that an unexpected error in one of them does not stop the daemon's work.

use std::time::Duration;

/// Pause in milliseconds before a task is started again. It prevents a busy loop if the task fails at once.
const RESTART_PAUSE_MS: u64 = 500;

/// Runs the task that `start` creates, and starts it again whenever it ends or panics, as long as the returned future is
/// polled.
pub async fn keep_running<F>(name: &'static str, mut start: impl FnMut() -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        match tokio::spawn(start()).await {
            Ok(()) => log::error!("daemon: the task {name} has ended and is started again"),
            Err(err) => log::error!("daemon: the task {name} failed and is started again: {err}"),
        }
        metrics::counter!("task_restarts_total", "task" => name).increment(1);
        tokio::time::sleep(Duration::from_millis(RESTART_PAUSE_MS)).await;
    }
}
