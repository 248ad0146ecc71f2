//! Store of journal copies.

use crate::{
    append::Append, append_status::AppendStatus, claim_error::ClaimError, cursor::Cursor,
    replica::Replica, replica_limits::ReplicaLimits, view_id::ViewId,
};
use base::{AccountName, HashMap, VmId};

/// Copy with the time of its last change.
#[derive(Clone, Debug)]
struct Slot {
    replica: Replica,
    changed_at_ms: u64,
    size_bytes: usize,
}

/// Journals that a daemon owns and copies that it holds for others. All times are milliseconds of one monotonic clock.
#[derive(Clone, Debug)]
pub struct ReplicaStore {
    limits: ReplicaLimits,
    slots: HashMap<Box<str>, Slot>,
    size_bytes: usize,
}

impl ReplicaStore {
    /// Empty store.
    pub fn new(limits: ReplicaLimits) -> Self {
        Self { limits, slots: HashMap::default(), size_bytes: 0 }
    }

    /// Number of copies.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether there is no copy.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Estimated memory of all copies.
    pub fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    /// The copy of a generation.
    pub fn get(&self, generation: &str) -> Option<&Replica> {
        self.slots.get(generation).map(|slot| &slot.replica)
    }

    /// Takes an append.
    pub fn append(&mut self, append: &Append, now_ms: u64) -> AppendStatus {
        if let Some(slot) = self.slots.get_mut(&append.generation) {
            let status = slot.replica.append(append);
            if status == AppendStatus::Accepted {
                let size_bytes = slot.replica.size_bytes();
                self.size_bytes = self.size_bytes + size_bytes - slot.size_bytes;
                slot.size_bytes = size_bytes;
                slot.changed_at_ms = now_ms;
            }
            return status;
        }
        let Some(install) = &append.install else { return AppendStatus::Unknown };
        let replica = Replica::new(install.clone(), append.tokens.clone(), append.finish.clone());
        let size_bytes = replica.size_bytes();
        if self.size_bytes + size_bytes > self.limits.size_bytes {
            return AppendStatus::Full;
        }
        self.size_bytes += size_bytes;
        let slot = Slot { replica, changed_at_ms: now_ms, size_bytes };
        self.slots.insert(append.generation.clone(), slot);
        AppendStatus::Accepted
    }

    /// Adds a journal that this daemon owns. The memory bound does not apply, because its request was admitted already.
    pub fn insert_owned(
        &mut self,
        generation: &str,
        replica: Replica,
        now_ms: u64,
    ) -> AppendStatus {
        if let Some(slot) = self.slots.get(generation) {
            let has_descendant = slot.replica.is_ancestor_of(replica.header());
            if !has_descendant {
                return AppendStatus::Superseded;
            }
            self.size_bytes -= slot.size_bytes;
        }
        let size_bytes = replica.size_bytes();
        self.size_bytes += size_bytes;
        self.slots.insert(generation.into(), Slot { replica, changed_at_ms: now_ms, size_bytes });
        AppendStatus::Accepted
    }

    /// Begins another view of the owner of `current`; `None` if that view has been superseded.
    pub fn begin_view(&mut self, generation: &str, current: &ViewId, nonce: u32) -> Option<ViewId> {
        let slot = self.slots.get_mut(generation)?;
        if slot.replica.view() != Some(current) {
            return None;
        }
        slot.replica.begin_view(&current.owner, nonce);
        let size_bytes = slot.replica.size_bytes();
        self.size_bytes = self.size_bytes + size_bytes - slot.size_bytes;
        slot.size_bytes = size_bytes;
        slot.replica.view().cloned()
    }

    /// Says what a claim would find.
    ///
    /// # Errors
    ///
    /// `Unknown`, `Account` or `Cursor`.
    pub fn check_claim(
        &self,
        cursor: &Cursor,
        account: &AccountName,
    ) -> Result<&Replica, ClaimError> {
        let replica = self.get(&cursor.generation).ok_or(ClaimError::Unknown)?;
        replica.check_claim(cursor, account)?;
        Ok(replica)
    }

    /// Begins a view of `owner` and returns the copy. A finished answer is returned without a new view.
    ///
    /// # Errors
    ///
    /// `Unknown`, `Account` or `Cursor`.
    pub fn claim(
        &mut self,
        cursor: &Cursor,
        account: &AccountName,
        owner: &VmId,
        nonce: u32,
        now_ms: u64,
    ) -> Result<&Replica, ClaimError> {
        let slot = self.slots.get_mut(&cursor.generation).ok_or(ClaimError::Unknown)?;
        slot.replica.check_claim(cursor, account)?;
        if slot.replica.finish().is_none() {
            slot.changed_at_ms = now_ms;
        }
        slot.replica.claim(owner, nonce);
        let size_bytes = slot.replica.size_bytes();
        self.size_bytes = self.size_bytes + size_bytes - slot.size_bytes;
        slot.size_bytes = size_bytes;
        Ok(&slot.replica)
    }

    /// Drops finished and abandoned journals whose time is over.
    pub fn expire(&mut self, now_ms: u64) {
        let limits = self.limits;
        let mut size_bytes = self.size_bytes;
        self.slots.retain(|_, slot| {
            let is_finished = slot.replica.finish().is_some();
            let keep_ms = if is_finished {
                limits.finished_retention_ms
            } else {
                limits.unfinished_retention_ms
            };
            let is_kept = now_ms.saturating_sub(slot.changed_at_ms) < keep_ms;
            if !is_kept {
                size_bytes -= slot.size_bytes;
            }
            is_kept
        });
        self.size_bytes = size_bytes;
    }
}
