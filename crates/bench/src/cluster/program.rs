//! Program of a cluster's processes.

use std::{env::current_exe, path::PathBuf};

/// The experiment program, which cargo builds next to the tests of this crate; `None` outside of a test.
pub fn program() -> Option<PathBuf> {
    let test = current_exe().ok()?;
    Some(test.parent()?.parent()?.join("examples/experiment"))
}
