//! Messages between the daemon and the platform.

mod kv;
mod vm;

pub use self::{
    kv::{KvConflict, KvEntry, KvList, KvWrite, KvWritten},
    vm::{Vm, VmList, VmRole, VmState},
};
