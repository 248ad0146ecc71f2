//! Daemon processes with low limits, what the kernel reports of them, and callers that do not read.
#![allow(dead_code, unused_imports)]

mod daemon_process;
mod silent_callers;

pub use self::{
    daemon_process::{DaemonProcess, FILE_DESCRIPTORS, MEMORY_MB, Usage},
    silent_callers::{Sending, SilentCallers},
};
