//! Journals of this entry and replicas of its peers' journals.

use base::{AccountName, Clock, VmId, lock};
use recovery::{
    Append, AppendStatus, ClaimError, Cursor, Replica, ReplicaHeader, ReplicaLimits, ReplicaStore,
    ViewId,
};
use std::sync::{Mutex, MutexGuard};

/// Journals of this entry and replicas of its peers' journals, shared by requests and by the thread that serves peers.
#[derive(Debug)]
pub(crate) struct Journals {
    clock: Clock,
    store: Mutex<ReplicaStore>,
}

impl Journals {
    pub fn new(clock: Clock) -> Self {
        Self { clock, store: Mutex::new(ReplicaStore::new(ReplicaLimits::default())) }
    }

    /// Adds a journal that this entry owns.
    pub fn open(&self, generation: &str, replica: Replica) -> AppendStatus {
        self.lock().insert_owned(generation, replica, self.clock.now_ms())
    }

    /// Appends tokens to a journal of this entry or to a replica that it holds for a peer.
    pub fn append(&self, append: &Append) -> AppendStatus {
        self.lock().append(append, self.clock.now_ms())
    }

    /// Begins a new view that this entry owns; `None` if another entry has claimed the journal.
    pub fn renew_view(&self, generation: &str, current: &ViewId) -> Option<ViewId> {
        self.lock().begin_view(generation, current, rand::random())
    }

    /// Append that transfers the whole journal to a new replica holder; `None` if `view` has been superseded.
    pub fn install_append(&self, generation: &str, view: &ViewId) -> Option<Append> {
        let store = self.lock();
        let replica = store.get(generation).filter(|replica| replica.view() == Some(view))?;
        let header: ReplicaHeader = replica.header().clone();
        Some(Append {
            generation: generation.into(),
            view: view.clone(),
            first_index: 0,
            tokens: replica.tokens().clone(),
            install: Some(header),
            finish: replica.finish().map(Into::into),
        })
    }

    /// Claims a journal: begins a view that `owner` owns, and returns the replica.
    ///
    /// # Errors
    ///
    /// There is no replica of this journal, it belongs to another account, or it lacks the position of the cursor.
    pub fn claim(
        &self,
        cursor: &Cursor,
        account: &AccountName,
        owner: &VmId,
        nonce: u32,
    ) -> Result<Replica, ClaimError> {
        self.lock().claim(cursor, account, owner, nonce, self.clock.now_ms()).cloned()
    }

    /// Number of the newest view and number of tokens of a replica, without claiming it.
    ///
    /// # Errors
    ///
    /// As for `claim`.
    pub fn find(&self, cursor: &Cursor, account: &AccountName) -> Result<(u32, u32), ClaimError> {
        let store = self.lock();
        let replica = store.check_claim(cursor, account)?;
        Ok((replica.view().map_or(0, |id| id.number), replica.tokens().len()))
    }

    /// Drops expired journals and updates the metrics.
    pub fn expire(&self) {
        let mut store = self.lock();
        store.expire(self.clock.now_ms());
        metrics::gauge!("journals").set(store.len() as f64);
        metrics::gauge!("journals_size_bytes").set(store.size_bytes() as f64);
    }

    fn lock(&self) -> MutexGuard<'_, ReplicaStore> {
        lock(&self.store)
    }
}
