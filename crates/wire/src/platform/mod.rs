//! Messages between the daemon and the platform.

mod kv;
mod lease;
mod vm;
mod weights;

pub use self::{
    kv::{KvConflict, KvEntry, KvList, KvWrite, KvWritten},
    lease::{LeaseGranted, LeaseRequest},
    vm::{Vm, VmList, VmRole, VmState},
    weights::{WeightRequest, WeightsSent},
};
