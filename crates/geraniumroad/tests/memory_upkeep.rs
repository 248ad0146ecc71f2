//! Test of the return of freed memory.

use geraniumroad::MemoryUpkeep;

/// Guards against memory that stays with the allocator after a load, and against a search of the heap each second.
#[test]
fn memory_is_returned_once_after_a_load() {
    const MB: usize = 1024 * 1024;
    let mut upkeep = MemoryUpkeep::default();
    let held = [0, 3 * MB, 0, 40 * MB, 25 * MB, 10 * MB, 9 * MB, 0, 0];
    let due: Vec<bool> = held.iter().map(|&held| upkeep.update(held)).collect();
    assert_eq!(due, [false, false, false, false, false, true, false, true, false]);
}
