//! Journals of this entry and copies of its peers' journals.

use base::{AccountName, Clock, VmId, lock};
use recovery::{
    Append, AppendStatus, ClaimError, Cursor, Replica, ReplicaHeader, ReplicaLimits, ReplicaStore,
    ViewId,
};
use std::sync::{Mutex, MutexGuard};

/// Journals of this entry and copies of its peers' journals.
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

    /// Takes an append, of this entry or of a peer.
    pub fn append(&self, append: &Append) -> AppendStatus {
        self.lock().append(append, self.clock.now_ms())
    }

    /// Begins another view of this entry; `None` if another entry has claimed the journal.
    pub fn renew_view(&self, generation: &str, current: &ViewId) -> Option<ViewId> {
        self.lock().begin_view(generation, current, rand::random())
    }

    /// Append that gives a new holder the whole journal; `None` if `view` has been superseded.
    pub fn install(&self, generation: &str, view: &ViewId) -> Option<Append> {
        let store = self.lock();
        let replica = store.get(generation).filter(|replica| replica.view() == Some(view))?;
        let install: ReplicaHeader = replica.header().clone();
        Some(Append {
            generation: generation.into(),
            view: view.clone(),
            first_index: 0,
            tokens: replica.tokens().clone(),
            install: Some(install),
            finish: replica.finish().map(Into::into),
        })
    }

    /// Begins a view of `owner` and returns the copy.
    ///
    /// # Errors
    ///
    /// There is no copy that fits the cursor and the account.
    pub fn claim(
        &self,
        cursor: &Cursor,
        account: &AccountName,
        owner: &VmId,
        nonce: u32,
    ) -> Result<Replica, ClaimError> {
        self.lock().claim(cursor, account, owner, nonce, self.clock.now_ms()).cloned()
    }

    /// Number of the newest view and count of the tokens of a copy that fits the cursor and the account.
    ///
    /// # Errors
    ///
    /// There is no such copy.
    pub fn find(&self, cursor: &Cursor, account: &AccountName) -> Result<(u32, u32), ClaimError> {
        let store = self.lock();
        let replica = store.check_claim(cursor, account)?;
        Ok((replica.view().map_or(0, |id| id.number), replica.tokens().len()))
    }

    /// Drops the journals whose time is over and updates the metrics.
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
