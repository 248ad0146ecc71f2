//! Path of the executable that a cluster's processes run.

use std::{env::current_exe, path::PathBuf};

/// Returns the path of the example `experiment`, which cargo builds next to the tests of this crate. Returns `None` if
/// the path of the running test is unknown.
pub fn program() -> Option<PathBuf> {
    let test = current_exe().ok()?;
    Some(test.parent()?.parent()?.join("examples/experiment"))
}
