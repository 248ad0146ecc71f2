//! Tests of background tasks that fail.

use geraniumroad::keep_running;
use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

/// Guards against a daemon that no longer follows the configuration, or ends, because a task met an unexpected error.
#[tokio::test]
async fn a_task_that_panics_is_started_again() {
    let starts = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&starts);
    let supervised = tokio::spawn(keep_running("test", move || {
        let start = counted.fetch_add(1, Ordering::SeqCst);
        async move {
            assert!(start > 1, "the first two starts fail");
            std::future::pending().await
        }
    }));
    for _ in 0..500 {
        if starts.load(Ordering::SeqCst) == 3 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(starts.load(Ordering::SeqCst), 3);
    assert!(!supervised.is_finished());
}
