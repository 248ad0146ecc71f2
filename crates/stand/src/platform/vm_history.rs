//! Delays the publication of changes of the list of VMs.

use std::collections::VecDeque;
use wire::platform::{Vm, VmList, VmState};

/// Versions of the list of VMs from the published one to the current one.
#[derive(Debug)]
pub(super) struct VmHistory {
    lag_ms: u64,
    /// Versions of the list with the time at which each became current. The first one is published.
    lists: VecDeque<(u64, VmList)>,
}

impl VmHistory {
    /// Returns an empty list whose changes are published after `lag_ms`.
    pub fn new(lag_ms: u64) -> Self {
        Self { lag_ms, lists: VecDeque::from([(0, VmList::default())]) }
    }

    /// Returns the list as it was `lag_ms` ago.
    pub fn published(&mut self, now_ms: u64) -> &VmList {
        while self.lists.get(1).is_some_and(|(at_ms, _)| at_ms + self.lag_ms <= now_ms) {
            self.lists.pop_front();
        }
        &self.lists[0].1
    }

    /// Replaces the whole list. The first list that is not empty is published without delay.
    pub fn replace(&mut self, list: VmList, now_ms: u64) {
        let is_first = self.lists.len() == 1 && self.lists[0].1.vms.is_empty();
        if is_first {
            self.lists.clear();
        }
        self.lists.push_back((now_ms, list));
    }

    /// Changes the state of a VM, or removes the VM if `state` is `None`. Returns false if there is no such VM.
    pub fn change(&mut self, id: &str, state: Option<VmState>, now_ms: u64) -> bool {
        let mut list = self.current().clone();
        let Some(position) = list.vms.iter().position(|vm| vm.id.as_str() == id) else {
            return false;
        };
        match state {
            Some(state) => list.vms[position].state = state,
            None => drop(list.vms.remove(position)),
        }
        self.lists.push_back((now_ms, list));
        true
    }

    /// Adds a VM, or replaces the one with the same id.
    pub fn set(&mut self, vm: Vm, now_ms: u64) {
        let mut list = self.current().clone();
        list.vms.retain(|other| other.id != vm.id);
        list.vms.push(vm);
        self.lists.push_back((now_ms, list));
    }

    fn current(&self) -> &VmList {
        &self.lists[self.lists.len() - 1].1
    }
}
