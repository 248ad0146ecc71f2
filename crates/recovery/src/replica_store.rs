//! Store of journal replicas.

use crate::{
    append::Append, append_status::AppendStatus, claim_error::ClaimError, cursor::Cursor,
    replica::Replica, replica_limits::ReplicaLimits, view_id::ViewId,
};
use base::{AccountName, HashMap, VmId};

/// Replica with the time of its last change and its estimated memory.
#[derive(Clone, Debug)]
struct StoredReplica {
    replica: Replica,
    changed_at_ms: u64,
    size_bytes: usize,
}

/// Journals that a daemon owns, and replicas that it holds for other daemons.
///
/// All times are milliseconds of one monotonic clock.
#[derive(Clone, Debug)]
pub struct ReplicaStore {
    limits: ReplicaLimits,
    replicas: HashMap<Box<str>, StoredReplica>,
    size_bytes: usize,
}

impl ReplicaStore {
    /// Creates an empty store.
    pub fn new(limits: ReplicaLimits) -> Self {
        Self { limits, replicas: HashMap::default(), size_bytes: 0 }
    }

    /// Number of replicas, including the journals that the daemon owns.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Whether the store contains no replica.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Estimated memory of all replicas.
    pub fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    /// Replica of the journal of `generation`; `None` if the store has none.
    pub fn get(&self, generation: &str) -> Option<&Replica> {
        self.replicas.get(generation).map(|stored| &stored.replica)
    }

    /// Applies an append. If the store has no replica of the journal, the append must install one.
    pub fn append(&mut self, append: &Append, now_ms: u64) -> AppendStatus {
        if let Some(stored) = self.replicas.get_mut(&append.generation) {
            let status = stored.replica.append(append);
            if status == AppendStatus::Accepted {
                let size_bytes = stored.replica.size_bytes();
                self.size_bytes = self.size_bytes + size_bytes - stored.size_bytes;
                stored.size_bytes = size_bytes;
                stored.changed_at_ms = now_ms;
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
        let stored = StoredReplica { replica, changed_at_ms: now_ms, size_bytes };
        self.replicas.insert(append.generation.clone(), stored);
        AppendStatus::Accepted
    }

    /// Adds a journal that this daemon owns. If the store has a replica of the journal, `replica` must descend from the
    /// stored one, and replaces it.
    ///
    /// The memory limit does not apply, because the request was already admitted.
    pub fn insert_owned(
        &mut self,
        generation: &str,
        replica: Replica,
        now_ms: u64,
    ) -> AppendStatus {
        if let Some(stored) = self.replicas.get(generation) {
            let is_descendant = stored.replica.is_ancestor_of(replica.header());
            if !is_descendant {
                return AppendStatus::Superseded;
            }
            self.size_bytes -= stored.size_bytes;
        }
        let size_bytes = replica.size_bytes();
        self.size_bytes += size_bytes;
        self.replicas.insert(
            generation.into(),
            StoredReplica { replica, changed_at_ms: now_ms, size_bytes },
        );
        AppendStatus::Accepted
    }

    /// Begins a new view with the same owner as the view `current`, and returns the new view. Returns `None` if the
    /// store has no replica of the journal, or if `current` is no longer its current view.
    pub fn begin_view(&mut self, generation: &str, current: &ViewId, nonce: u32) -> Option<ViewId> {
        let stored = self.replicas.get_mut(generation)?;
        if stored.replica.view() != Some(current) {
            return None;
        }
        stored.replica.begin_view(&current.owner, nonce);
        let size_bytes = stored.replica.size_bytes();
        self.size_bytes = self.size_bytes + size_bytes - stored.size_bytes;
        stored.size_bytes = size_bytes;
        stored.replica.view().cloned()
    }

    /// Checks whether a claim would be accepted, and returns the replica.
    ///
    /// # Errors
    ///
    /// `Unknown` if there is no replica, `Account` if another client account owns the journal, `Cursor` if the replica
    /// lacks the position of the cursor.
    pub fn check_claim(
        &self,
        cursor: &Cursor,
        account: &AccountName,
    ) -> Result<&Replica, ClaimError> {
        let replica = self.get(&cursor.generation).ok_or(ClaimError::Unknown)?;
        replica.check_claim(cursor, account)?;
        Ok(replica)
    }

    /// Begins a view of `owner` and returns the replica. A finished answer is returned without a new view.
    ///
    /// # Errors
    ///
    /// The errors of `check_claim`, in which case no view begins.
    pub fn claim(
        &mut self,
        cursor: &Cursor,
        account: &AccountName,
        owner: &VmId,
        nonce: u32,
        now_ms: u64,
    ) -> Result<&Replica, ClaimError> {
        let stored = self.replicas.get_mut(&cursor.generation).ok_or(ClaimError::Unknown)?;
        stored.replica.check_claim(cursor, account)?;
        if stored.replica.finish().is_none() {
            stored.changed_at_ms = now_ms;
        }
        stored.replica.claim(owner, nonce);
        let size_bytes = stored.replica.size_bytes();
        self.size_bytes = self.size_bytes + size_bytes - stored.size_bytes;
        stored.size_bytes = size_bytes;
        Ok(&stored.replica)
    }

    /// Drops the replica of a journal.
    pub fn remove(&mut self, generation: &str) {
        if let Some(removed) = self.replicas.remove(generation) {
            self.size_bytes -= removed.size_bytes;
        }
    }

    /// Drops the finished and unfinished journals whose retention time has passed.
    pub fn expire(&mut self, now_ms: u64) {
        let limits = self.limits;
        let mut size_bytes = self.size_bytes;
        self.replicas.retain(|_, stored| {
            let is_finished = stored.replica.finish().is_some();
            let keep_ms = if is_finished {
                limits.finished_retention_ms
            } else {
                limits.unfinished_retention_ms
            };
            let is_kept = now_ms.saturating_sub(stored.changed_at_ms) < keep_ms;
            if !is_kept {
                size_bytes -= stored.size_bytes;
            }
            is_kept
        });
        self.size_bytes = size_bytes;
    }
}
