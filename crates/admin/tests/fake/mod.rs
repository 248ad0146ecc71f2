//! In-memory key-value store that injects faults.

use base::HashMap;
use fleet::Document;
use plat::{Kv, PlatformError};
use quickcheck::{Arbitrary, Gen};
use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
};
use web::ClientError;
use wire::platform::{KvEntry, KvWrite};

/// Fault that is injected into one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A write takes effect some calls later, and the call gets no answer. A read succeeds.
    Delayed,
    /// The call has no effect and gets no answer.
    Down,
    /// A write takes effect at once, but the call gets no answer. A read gets no answer either.
    Lost,
    /// The call succeeds.
    None,
}

impl Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Self {
        let faults = [Self::None, Self::None, Self::None, Self::Delayed, Self::Down, Self::Lost];
        *g.choose(&faults).unwrap()
    }
}

#[derive(Default)]
struct State {
    items: HashMap<String, KvEntry>,
    revision: u64,
    faults: VecDeque<Fault>,
    /// Delayed writes: the number of calls until each takes effect, its key and the write.
    delayed: Vec<(u32, String, KvWrite)>,
    configs: Vec<(u64, Document)>,
}

impl State {
    fn put(&mut self, key: &str, write: &KvWrite) -> Result<u64, PlatformError> {
        let missing = KvEntry { key: key.to_owned(), value: String::new(), revision: 0 };
        let current = self.items.get(key).cloned().unwrap_or(missing);
        if write.expect_revision.is_some_and(|expected| expected != current.revision) {
            return Err(PlatformError::Conflict(Box::new(current)));
        }
        self.revision += 1;
        let (key, revision) = (key.to_owned(), self.revision);
        if key == "config/current" {
            self.configs.push((revision, Document::decode(&write.value).unwrap()));
        }
        let item = KvEntry { key: key.clone(), value: write.value.clone(), revision };
        self.items.insert(key, item);
        Ok(revision)
    }

    /// Starts a call: performs the delayed writes that are due and returns the call's fault.
    fn start_call(&mut self) -> Fault {
        for (remaining_calls, _, _) in &mut self.delayed {
            *remaining_calls = remaining_calls.saturating_sub(1);
        }
        let (due, later) = std::mem::take(&mut self.delayed).into_iter().partition(|d| d.0 == 0);
        self.delayed = later;
        let due: Vec<(u32, String, KvWrite)> = due;
        for (_, key, write) in due {
            let _ = self.put(&key, &write);
        }
        self.faults.pop_front().unwrap_or(Fault::None)
    }
}

/// Key-value store that all planners of a test share.
#[derive(Clone, Default)]
pub struct FakeKv(Arc<Mutex<State>>);

impl FakeKv {
    /// Adds faults, one for each of the next calls.
    pub fn add_faults(&self, faults: &[Fault]) {
        self.lock().faults.extend(faults);
    }

    /// Drops the remaining faults and performs all delayed writes.
    pub fn heal(&self) {
        let mut state = self.lock();
        state.faults.clear();
        for (_, key, write) in std::mem::take(&mut state.delayed) {
            let _ = state.put(&key, &write);
        }
    }

    /// Returns every configuration document that was written, with its revision, the oldest first.
    pub fn configs(&self) -> Vec<(u64, Document)> {
        self.lock().configs.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }
}

fn unavailable() -> PlatformError {
    PlatformError::Unavailable(ClientError::Timeout(0))
}

impl Kv for FakeKv {
    async fn get(&self, key: &str) -> Result<Option<KvEntry>, PlatformError> {
        // Yields, so that the calls of concurrent requests interleave.
        tokio::task::yield_now().await;
        let mut state = self.lock();
        match state.start_call() {
            Fault::None | Fault::Delayed => Ok(state.items.get(key).cloned()),
            Fault::Down | Fault::Lost => Err(unavailable()),
        }
    }

    async fn put(&self, key: &str, write: &KvWrite) -> Result<u64, PlatformError> {
        tokio::task::yield_now().await;
        let mut state = self.lock();
        match state.start_call() {
            Fault::None => state.put(key, write),
            Fault::Delayed => {
                state.delayed.push((4, key.to_owned(), write.clone()));
                Err(unavailable())
            }
            Fault::Down => Err(unavailable()),
            Fault::Lost => {
                let _ = state.put(key, write);
                Err(unavailable())
            }
        }
    }
}
