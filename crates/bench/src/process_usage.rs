//! Reads the processor time and memory of a process from `/proc`.

use crate::bench_error::BenchError;
use std::{fs::read_to_string, io::Error as IoError};

/// Clock ticks per second in `/proc/PID/stat`; Linux fixes this unit at 100 for user space.
const TICKS_PER_S: u64 = 100;

/// Processor time that a process has used since its start, and its memory at the time of the read.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProcessUsage {
    /// Processor time in user and kernel mode, in milliseconds.
    pub cpu_ms: u64,
    /// Resident memory in KB; 0 if the kernel does not report it.
    pub resident_kb: u64,
}

impl ProcessUsage {
    /// Reads the usage of the process `pid` from `/proc`.
    ///
    /// # Errors
    ///
    /// There is no such process, or `/proc/PID/stat` has an unexpected form.
    pub fn of(pid: u32) -> Result<Self, BenchError> {
        let stat = read_to_string(format!("/proc/{pid}/stat"))?;
        let status = read_to_string(format!("/proc/{pid}/status"))?;
        // The command name in parentheses is field 2, so `fields` starts with field 3: utime is field 14, stime is
        // field 15.
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<u64>().ok());
        let (Some(user), Some(system)) = (ticks(11), ticks(12)) else {
            return Err(IoError::other("unexpected form of /proc/PID/stat").into());
        };
        let resident_kb = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|rest| rest.split_whitespace().next())
            .and_then(|number| number.parse().ok())
            .unwrap_or(0);
        Ok(Self { cpu_ms: (user + system) * 1_000 / TICKS_PER_S, resident_kb })
    }
}
