//! Store of the journals of this entry and of the replicas that it holds for its peers.

use base::{AccountName, Clock, VmId, lock};
use recovery::{
    Append, AppendStatus, ClaimError, Cursor, Replica, ReplicaHeader, ReplicaLimits, ReplicaStore,
    ViewId,
};
use std::{
    ops::{Deref, DerefMut},
    sync::{Arc, Mutex, MutexGuard},
};
use web::{ByteAccount, HeldBytes};

/// Part of the account that replicas of other daemons' journals may use, as a divisor.
const REPLICAS_DIVISOR: usize = 4;

/// Journals of this entry and replicas of its peers' journals, shared by requests and by the thread that serves peers.
#[derive(Debug)]
pub(crate) struct Journals {
    clock: Clock,
    store: Mutex<HeldStore>,
}

/// Store whose size is held in the account of the daemon.
#[derive(Debug)]
struct HeldStore {
    store: ReplicaStore,
    held: HeldBytes,
}

/// Access to the store. When it ends, the account is brought up to date.
struct StoreGuard<'a>(MutexGuard<'a, HeldStore>);

impl Deref for StoreGuard<'_> {
    type Target = ReplicaStore;

    fn deref(&self) -> &ReplicaStore {
        &self.0.store
    }
}

impl DerefMut for StoreGuard<'_> {
    fn deref_mut(&mut self) -> &mut ReplicaStore {
        &mut self.0.store
    }
}

impl Drop for StoreGuard<'_> {
    fn drop(&mut self) {
        let HeldStore { store, held } = &mut *self.0;
        // Journals whose requests were admitted are kept in any case.
        held.resize_beyond_limit(store.size_bytes());
    }
}

impl Journals {
    /// Creates a store whose size is held in `account`, in which the replicas of other daemons' journals may use a part.
    pub fn new(clock: Clock, account: &Arc<ByteAccount>) -> Self {
        let limits = ReplicaLimits {
            size_bytes: account.limit_bytes() / REPLICAS_DIVISOR,
            ..ReplicaLimits::default()
        };
        let store = ReplicaStore::new(limits);
        Self { clock, store: Mutex::new(HeldStore { store, held: account.hold_none() }) }
    }

    /// Adds a journal that this entry owns. The status is `Superseded` if another entry has claimed the journal.
    pub fn open(&self, generation: &str, replica: Replica) -> AppendStatus {
        self.lock().insert_owned(generation, replica, self.clock.now_ms())
    }

    /// Appends tokens to a journal of this entry or to a replica that it holds for a peer. A new replica is refused if the
    /// account has no room for it.
    pub fn append(&self, append: &Append) -> AppendStatus {
        let mut store = self.lock();
        let is_new = store.get(&append.generation).is_none();
        let status = store.append(append, self.clock.now_ms());
        let HeldStore { store, held } = &mut *store.0;
        if is_new && status == AppendStatus::Accepted && !held.try_resize(store.size_bytes()) {
            store.remove(&append.generation);
            metrics::counter!("journal_replicas_refused_total").increment(1);
            return AppendStatus::Full;
        }
        status
    }

    /// Begins a new view of a journal that this entry owns in the view `current`; `None` if `current` was superseded,
    /// because another entry has claimed the journal.
    pub fn renew_view(&self, generation: &str, current: &ViewId) -> Option<ViewId> {
        self.lock().begin_view(generation, current, rand::random())
    }

    /// Message that transfers the whole journal to a replica holder; `None` if `view` was superseded.
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

    /// Claims a journal: begins a view that `owner` owns, unless the answer is finished, and returns the replica.
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

    /// Number of the newest view of a replica (0 if it has none) and number of its tokens. The replica is not claimed.
    ///
    /// # Errors
    ///
    /// There is no replica of this journal, it belongs to another account, or it lacks the position of the cursor.
    pub fn find(&self, cursor: &Cursor, account: &AccountName) -> Result<(u32, u32), ClaimError> {
        let store = self.lock();
        let replica = store.check_claim(cursor, account)?;
        Ok((replica.view().map_or(0, |id| id.number), replica.tokens().len()))
    }

    /// Drops journals and replicas that have not changed for too long, and updates their metrics.
    pub fn expire(&self) {
        let mut store = self.lock();
        store.expire(self.clock.now_ms());
        metrics::gauge!("journals").set(store.len() as f64);
        metrics::gauge!("journals_size_bytes").set(store.size_bytes() as f64);
    }

    fn lock(&self) -> StoreGuard<'_> {
        StoreGuard(lock(&self.store))
    }
}
