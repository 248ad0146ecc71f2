//! Periodic return of freed memory to the operating system.

use std::{sync::Arc, time::Duration};
use web::ByteAccount;

/// Interval between two checks.
const INTERVAL: Duration = Duration::from_secs(1);

/// Decrease of the account after which memory is returned. Searching the heap for free pages takes some milliseconds.
const MIN_FREED_BYTES: usize = 4 * 1024 * 1024;

/// Size in bytes from which an allocation has pages of its own, which are returned when it is freed.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const LARGE_ALLOCATION_BYTES: libc::c_int = 128 * 1024;

/// Decides when memory is returned: once much less is held than at the last maximum.
#[derive(Debug, Default)]
pub struct MemoryUpkeep {
    max_held_bytes: usize,
}

impl MemoryUpkeep {
    /// Takes note of the number of bytes that are held now, and returns whether freed memory should be returned.
    pub fn update(&mut self, held_bytes: usize) -> bool {
        self.max_held_bytes = self.max_held_bytes.max(held_bytes);
        let is_due = held_bytes <= self.max_held_bytes / 2
            && self.max_held_bytes - held_bytes >= MIN_FREED_BYTES;
        if is_due {
            self.max_held_bytes = held_bytes;
        }
        is_due
    }
}

/// Returns freed memory to the operating system after a load. The allocator keeps it otherwise as long as anything later
/// in the heap is in use, and the next load of another kind adds to it.
pub(crate) async fn return_freed_memory(account: Arc<ByteAccount>) {
    let mut upkeep = MemoryUpkeep::default();
    loop {
        tokio::time::sleep(INTERVAL).await;
        if upkeep.update(account.held_bytes()) {
            trim_heap();
        }
    }
}

/// Makes the allocator return large allocations, such as bodies and answers, as soon as they are freed. By default it raises
/// the size from which it does so to the largest one that was freed, and keeps what is below for each thread: with
/// answers of 2 MiB, a daemon with an account of 33.5 MB grew by 49 MB. Call it before other threads start.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
pub(crate) fn return_large_allocations() {
    // SAFETY: the function has no preconditions; it changes a parameter of the allocator only.
    unsafe { libc::mallopt(libc::M_MMAP_THRESHOLD, LARGE_ALLOCATION_BYTES) };
}

#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
pub(crate) fn return_large_allocations() {}

#[cfg(all(target_os = "linux", target_env = "gnu"))]
fn trim_heap() {
    // SAFETY: the function has no preconditions and changes free memory only.
    unsafe { libc::malloc_trim(0) };
}

#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
fn trim_heap() {}
