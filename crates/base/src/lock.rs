//! Mutex locking that ignores poisoning.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, even if a thread panicked while it held the lock. In this workspace, no change under a lock leaves
/// the value in an invalid state when it is interrupted, so the value can still be used.
pub fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
