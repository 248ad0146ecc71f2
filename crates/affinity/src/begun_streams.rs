//! Streams with the versions at which they began.

use crate::{
    item_error::ItemError,
    origin::Origin,
    record_item::{self, MAX_ID_BYTES, RecordedStream},
    replica_record::ReplicaRecord,
    run_copy::RunCopy,
    service_version::ServiceVersion,
    version_records::STREAM_LIFE_MS,
};
use base::{HashMap, ServiceName};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

/// Number of streams begun or resumed by this daemon that it remembers.
const MAX_OWN: usize = 4_096;

/// Number of streams begun by other daemons that this daemon remembers. The store has the others.
const MAX_OTHERS: usize = 16_384;

/// Streams with the versions at which they began, as far as this daemon knows them.
#[derive(Debug, Default)]
pub(crate) struct BegunStreams {
    /// Streams begun by this daemon, and resumed ones with a KV cache replica.
    own: HashMap<Arc<str>, Own>,
    /// Streams in `own` in the order in which they were recorded.
    own_order: BTreeMap<u64, Arc<str>>,
    /// Streams in `own` whose last record the store does not hold.
    unwritten: BTreeSet<u64>,
    next_sequence: u64,
    others: HashMap<Arc<str>, Other>,
    /// Streams begun by other daemons, each with the time at which it was first read.
    others_order: VecDeque<(u64, Arc<str>)>,
}

/// Stream that this daemon has begun or resumed.
#[derive(Debug)]
struct Own {
    sequence: u64,
    software: ServiceVersion,
    begun_ms: u64,
    /// Number of the item that holds the stream; `None` if the store has not acknowledged one.
    item: Option<u64>,
    replica: Option<ReplicaRecord>,
}

/// Stream that another daemon has begun.
#[derive(Debug)]
struct Other {
    /// Version at which the stream began; `None` if two records contradict each other.
    software: Option<Arc<ServiceVersion>>,
    replica: Option<ReplicaRecord>,
}

impl BegunStreams {
    /// Records a stream that this daemon has begun.
    pub fn record(&mut self, id: &str, software: ServiceVersion, now_ms: u64) {
        let id: Arc<str> = id.into();
        self.forget(&id);
        if self.own.len() >= MAX_OWN
            && let Some((_, oldest)) = self.own_order.pop_first()
        {
            self.forget(&oldest);
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if id.len() <= MAX_ID_BYTES {
            self.unwritten.insert(sequence);
        }
        self.own_order.insert(sequence, Arc::clone(&id));
        let own = Own { sequence, software, begun_ms: now_ms, item: None, replica: None };
        self.own.insert(id, own);
    }

    /// Records the KV cache replica of a stream that runs at this daemon, whichever daemon has begun it. `software` is
    /// the version at which it began. A replica that contradicts the recorded version, or is older than the recorded
    /// one, is ignored.
    pub fn record_replica(
        &mut self,
        id: &str,
        software: ServiceVersion,
        replica: ReplicaRecord,
        now_ms: u64,
    ) {
        let is_contradicted = match self.own.get(id) {
            Some(own) => own.software != software,
            None => self
                .others
                .get(id)
                .is_some_and(|other| other.software.as_deref() != Some(&software)),
        };
        if is_contradicted || !replica.is_valid() || !replica.supersedes(self.replica(id)) {
            return;
        }
        // The new sequence number keeps a write in progress, which holds the earlier record, from counting for this one.
        self.record(id, software, now_ms);
        if let Some(own) = self.own.get_mut(id) {
            own.replica = Some(replica);
        }
    }

    /// Whether a sequence number belongs to a stream that is remembered.
    pub fn holds(&self, sequence: u64) -> bool {
        self.own_order.contains_key(&sequence)
    }

    /// Last recorded KV cache replica of a stream; `None` if none is recorded.
    pub fn replica(&self, id: &str) -> Option<&ReplicaRecord> {
        let own = self.own.get(id).and_then(|own| own.replica.as_ref());
        let other = self.others.get(id).and_then(|other| other.replica.as_ref());
        match own {
            Some(replica) if replica.supersedes(other) => Some(replica),
            _ => other,
        }
    }

    /// Adds the streams in an item of another daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if the item cannot be read.
    pub fn merge(&mut self, value: &[u8], now_ms: u64) -> Result<(), ItemError> {
        for (software, streams) in record_item::decode(value)? {
            let software = Arc::new(software);
            for stream in streams.into_iter().filter(|stream| stream.id.len() <= MAX_ID_BYTES) {
                self.insert_other(stream, &software, now_ms);
            }
        }
        Ok(())
    }

    /// Adds the stream of a message of another daemon. One that is too large is ignored.
    pub fn merge_copy(&mut self, copy: RunCopy, now_ms: u64) {
        let RunCopy { stream_id: id, software, replica } = copy;
        if id.len() <= MAX_ID_BYTES && replica.is_valid() {
            let stream = RecordedStream { id, replica: Some(replica) };
            self.insert_other(stream, &Arc::new(software), now_ms);
        }
    }

    /// What other daemons are told of a stream; `None` if its version or its replica is not known, or if its identifier is
    /// too long.
    pub fn copy(&self, id: &str) -> Option<RunCopy> {
        let software = match self.own.get(id) {
            Some(own) => &own.software,
            None => self.others.get(id)?.software.as_deref()?,
        };
        let replica = self.replica(id).filter(|_| id.len() <= MAX_ID_BYTES)?;
        Some(RunCopy { stream_id: id.into(), software: software.clone(), replica: replica.clone() })
    }

    /// Service at which a stream began; `None` if there is no record of the stream.
    pub fn service(&self, id: &str) -> Option<&ServiceName> {
        let software = match self.own.get(id) {
            Some(own) => &own.software,
            None => self.others.get(id)?.software.as_deref()?,
        };
        Some(&software.service)
    }

    /// Version at which a stream of `service` began; `None` if there is no record of the stream.
    pub fn origin(&self, id: &str, service: &ServiceName) -> Option<Origin> {
        let recorded = match self.own.get(id) {
            Some(own) => Some(&own.software),
            None => self.others.get(id)?.software.as_deref(),
        };
        let of_service = recorded.filter(|software| software.service == *service);
        Some(of_service.map_or(Origin::Unknown, |software| Origin::Known(software.version.clone())))
    }

    /// Forgets the streams that began before the longest life of a stream.
    pub fn prune(&mut self, now_ms: u64) {
        while let Some(id) = self.own_order.first_key_value().map(|(_, id)| Arc::clone(id)) {
            if self.own.get(&id).is_some_and(|own| now_ms < own.begun_ms + STREAM_LIFE_MS) {
                break;
            }
            self.own_order.pop_first();
            self.forget(&id);
        }
        while let Some((read_ms, _)) = self.others_order.front() {
            if now_ms < read_ms + STREAM_LIFE_MS {
                break;
            }
            self.forget_oldest_other();
        }
    }

    /// Sequence numbers of the streams to be written, newest first, of the services for which `is_written` holds.
    pub fn unwritten(
        &self,
        is_written: impl Fn(&ServiceName) -> bool,
    ) -> impl Iterator<Item = u64> {
        self.unwritten.iter().rev().copied().filter(move |sequence| {
            self.get(*sequence).is_some_and(|(_, own)| is_written(&own.software.service))
        })
    }

    /// Value of an item with the given streams, without those that are forgotten.
    pub fn encode(&self, sequences: &[u64]) -> String {
        let streams = sequences.iter().filter_map(|sequence| self.get(*sequence));
        record_item::encode(streams.map(|(id, own)| (id, &own.software, own.replica.as_ref())))
    }

    /// Records that the store has acknowledged the item `number` with the given streams.
    pub fn mark_written(&mut self, sequences: &[u64], number: u64) {
        for sequence in sequences {
            let own = self.own_order.get(sequence).and_then(|id| self.own.get_mut(id));
            if let Some(own) = own {
                own.item = Some(number);
                self.unwritten.remove(sequence);
            }
        }
    }

    /// Records that the store holds only those of the items for which `is_held` holds. The streams in the others are to
    /// be written again.
    pub fn retain_items(&mut self, is_held: impl Fn(u64) -> bool) {
        for own in self.own.values_mut() {
            if own.item.is_some_and(|number| !is_held(number)) {
                own.item = None;
                self.unwritten.insert(own.sequence);
            }
        }
    }

    /// Number of streams that this daemon remembers: its own and those of other daemons.
    pub fn len(&self) -> (usize, usize) {
        (self.own.len(), self.others.len())
    }

    fn get(&self, sequence: u64) -> Option<(&str, &Own)> {
        let id = self.own_order.get(&sequence)?;
        Some((id, self.own.get(id)?))
    }

    fn forget(&mut self, id: &str) {
        if let Some(own) = self.own.remove(id) {
            self.own_order.remove(&own.sequence);
            self.unwritten.remove(&own.sequence);
        }
    }

    fn insert_other(
        &mut self,
        stream: RecordedStream,
        software: &Arc<ServiceVersion>,
        now_ms: u64,
    ) {
        let RecordedStream { id, replica } = stream;
        if let Some(recorded) = self.others.get_mut(&*id) {
            if recorded.software.as_ref().is_some_and(|recorded| recorded != software) {
                recorded.software = None;
            }
            if let Some(replica) = replica
                && replica.supersedes(recorded.replica.as_ref())
            {
                recorded.replica = Some(replica);
            }
            return;
        }
        let id: Arc<str> = id.into();
        if self.others.len() >= MAX_OTHERS {
            self.forget_oldest_other();
        }
        self.others_order.push_back((now_ms, Arc::clone(&id)));
        self.others.insert(id, Other { software: Some(Arc::clone(software)), replica });
    }

    fn forget_oldest_other(&mut self) {
        if let Some((_, id)) = self.others_order.pop_front() {
            self.others.remove(&id);
        }
    }
}
