//! Model of a fleet with its store, which knows at which version each stream began.
#![allow(dead_code)]

use affinity::{
    CompleteEra, LEASE_MS, Origin, ReplicaRecord, RunCopy, STREAM_LIFE_MS, ServiceVersion,
    SoftwareVersion, Step, VersionRecords,
};
use base::{HashMap, HashSet, ServiceName};

/// How a call to the store ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    Done,
    /// The call is executed and its answer is lost.
    AnswerLost,
    /// The call is executed some seconds after it was reported as failed.
    Delayed,
    Refused,
}

#[derive(Clone, Debug, Default)]
pub struct Store {
    pub versions: HashMap<Box<str>, (ServiceVersion, u64)>,
    /// Value of each record with the time at which its lease ends.
    pub records: HashMap<String, (String, u64)>,
    /// Item that states in which era the versions are complete, with its revision.
    pub complete: Option<(CompleteEra, u64)>,
    pub revision: u64,
}

/// Write that was received by the store.
#[derive(Clone, Debug)]
pub enum Call {
    Create(ServiceVersion),
    Remove(ServiceVersion, u64),
    StateComplete(CompleteEra, u64),
    Put(Vec<(String, String)>, u64),
}

impl Store {
    fn execute(&mut self, call: &Call) {
        self.revision += 1;
        match call {
            Call::Create(software) => {
                let item = (software.clone(), self.revision);
                self.versions.entry(software.key()).or_insert(item);
            }
            Call::Remove(software, revision) => {
                if self.versions.get(&software.key()).is_some_and(|item| item.1 == *revision) {
                    self.versions.remove(&software.key());
                }
            }
            Call::StateComplete(complete, expected) => {
                if self.complete.map_or(0, |(_, revision)| revision) == *expected {
                    self.complete = Some((*complete, self.revision));
                }
            }
            Call::Put(items, until_ms) => {
                for (name, value) in items {
                    self.records.insert(name.clone(), (value.clone(), *until_ms));
                }
            }
        }
    }
}

pub struct Daemon {
    pub versions: VersionRecords,
    /// Versions that the daemon believes to be listed; `None` before it has read them.
    pub listed: Option<HashSet<ServiceVersion>>,
    /// Number of restorations of the store that it has seen.
    restorations: u32,
    /// Lease that it has been granted, with the time at which it ends.
    lease: Option<(u64, u64)>,
}

/// Stream as the model knows it.
#[derive(Clone, Debug)]
pub struct Stream {
    pub id: String,
    pub software: ServiceVersion,
    pub begun_ms: u64,
    /// Whether the version was registered, as far as the daemon knew.
    pub is_registered: bool,
    /// Number of restorations of the store that the daemon had seen when it began the stream.
    pub restorations: u32,
}

pub struct Fleet {
    pub now_ms: u64,
    pub store: Store,
    pub is_down: bool,
    copy: Store,
    pub restorations: u32,
    pub listed: HashSet<ServiceVersion>,
    /// When each version was last listed.
    unlisted_ms: HashMap<ServiceVersion, u64>,
    pub daemons: Vec<Daemon>,
    pub streams: Vec<Stream>,
    delayed: Vec<(u64, Call)>,
    lifetimes: u64,
    /// Number of writes that the store has received.
    pub calls: u64,
}

pub fn service() -> ServiceName {
    "engines".try_into().unwrap()
}

pub fn version(number: u8) -> ServiceVersion {
    let version = SoftwareVersion::try_from(format!("v{number}")).unwrap();
    ServiceVersion { service: service(), version }
}

impl Fleet {
    pub fn start(daemons: usize) -> Self {
        let mut fleet = Self {
            now_ms: 1_000,
            store: Store::default(),
            is_down: false,
            copy: Store::default(),
            restorations: 0,
            listed: HashSet::from_iter([version(0)]),
            unlisted_ms: HashMap::default(),
            daemons: Vec::new(),
            streams: Vec::new(),
            delayed: Vec::new(),
            lifetimes: 0,
            calls: 0,
        };
        for _ in 0..daemons {
            let daemon = fleet.new_daemon();
            fleet.daemons.push(daemon);
        }
        fleet
    }

    fn new_daemon(&mut self) -> Daemon {
        self.lifetimes += 1;
        let versions = VersionRecords::new(format!("vm/{:x}", self.lifetimes), self.lifetimes);
        Daemon { versions, listed: None, restorations: 0, lease: None }
    }

    /// Lets time pass, in which leases end and delayed calls are executed.
    pub fn pass(&mut self, ms: u64) {
        self.now_ms += ms;
        let now_ms = self.now_ms;
        let (due, later) =
            std::mem::take(&mut self.delayed).into_iter().partition(|(at_ms, _)| *at_ms <= now_ms);
        self.delayed = later;
        let due: Vec<(u64, Call)> = due;
        for (_, call) in due {
            self.store.execute(&call);
        }
        self.store.records.retain(|_, (_, until_ms)| now_ms < *until_ms);
    }

    /// Lists a version or ends it, as far as that leaves one. A version is not listed again in the seconds in which its
    /// item is being removed: a daemon may still hold the item for present then.
    pub fn toggle(&mut self, number: u8) {
        let software = version(number);
        if self.listed.contains(&software) {
            if self.listed.len() > 1 {
                self.listed.remove(&software);
                self.unlisted_ms.insert(software, self.now_ms);
            }
            return;
        }
        let is_ending = self.unlisted_ms.get(&software).is_some_and(|at_ms| {
            self.now_ms + 15_000 > at_ms + STREAM_LIFE_MS
                && (self.store.versions.contains_key(&software.key())
                    || self.now_ms < at_ms + STREAM_LIFE_MS + 30_000)
        });
        if !is_ending {
            self.listed.insert(software);
        }
    }

    /// Replaces all instances by those of one version while a daemon is cut off or stands still. The others begin streams
    /// before the version is registered.
    pub fn join_without(&mut self, cut_off: usize, number: u8) {
        let before: Vec<ServiceVersion> = self.listed.iter().cloned().collect();
        self.toggle(number);
        if !self.listed.contains(&version(number)) {
            return;
        }
        for software in before.iter().filter(|software| **software != version(number)) {
            self.listed.remove(software);
            self.unlisted_ms.insert(software.clone(), self.now_ms);
        }
        let others = (0..self.daemons.len()).filter(|daemon| *daemon != cut_off);
        for daemon in others.collect::<Vec<_>>() {
            self.sync(daemon);
            self.begin(daemon, 0);
        }
    }

    /// Lets some time pass in which all daemons read the store and make their steps.
    pub fn settle(&mut self, seconds: u64) {
        for _ in 0..seconds * 2 {
            self.pass(500);
            for daemon in 0..self.daemons.len() {
                self.sync(daemon);
                self.step(daemon, CallOutcome::Done);
            }
        }
    }

    /// Starts a daemon again, which loses its memory.
    pub fn kill(&mut self, daemon: usize) {
        self.daemons[daemon] = self.new_daemon();
    }

    pub fn save_copy(&mut self) {
        self.copy = self.store.clone();
    }

    /// Restores the store from the copy, unless that is from before the first daemon.
    pub fn restore(&mut self) {
        if self.copy.complete.is_none() {
            return;
        }
        self.store = self.copy.clone();
        self.restorations += 1;
        self.delayed.clear();
        for daemon in &mut self.daemons {
            daemon.lease = None;
        }
    }

    /// Lets a version join, and loses it, its streams and all daemons by a restoration from a copy that was made before.
    pub fn lose_version(&mut self, number: u8) {
        self.save_copy();
        let before = self.listed.clone();
        self.listed.insert(version(number));
        self.settle(1);
        for choice in 0..2 {
            (0..self.daemons.len()).for_each(|daemon| self.begin(daemon, choice));
        }
        self.restore();
        self.listed = before;
        (0..self.daemons.len()).for_each(|daemon| self.kill(daemon));
        (0..self.daemons.len()).for_each(|daemon| self.sync(daemon));
    }

    /// Lets a daemon read all items.
    pub fn sync(&mut self, daemon: usize) {
        if self.is_down {
            return;
        }
        let daemon = &mut self.daemons[daemon];
        let versions = &mut daemon.versions;
        versions.set_era(u64::from(self.restorations), self.now_ms);
        versions.set_complete_era(self.store.complete);
        versions.set_registered(self.store.versions.values().cloned(), self.now_ms);
        versions.set_records(self.store.records.keys().map(|name| &**name));
        merge(versions, &self.store, self.now_ms);
        versions.set_listed(self.listed.clone(), self.now_ms);
        daemon.listed = Some(self.listed.clone());
        daemon.restorations = self.restorations;
    }

    /// Begins a stream at a daemon, which prefers registered versions.
    pub fn begin(&mut self, daemon: usize, choice: usize) {
        let number = self.streams.len();
        let daemon = &mut self.daemons[daemon];
        let Some(listed) = &daemon.listed else { return };
        let mut candidates: Vec<&ServiceVersion> = listed.iter().collect();
        candidates.sort_by_key(|software| software.version.to_string());
        let registered: Vec<&ServiceVersion> = candidates
            .iter()
            .copied()
            .filter(|software| {
                daemon.versions.may_begin_at(&software.service, &software.version, self.now_ms)
            })
            .collect();
        let is_registered = !registered.is_empty();
        let candidates = if is_registered { registered } else { candidates };
        let software = candidates[choice % candidates.len()].clone();
        let id = format!("{number:016x}");
        daemon.versions.record_begun(&id, software.clone(), self.now_ms);
        self.streams.push(Stream {
            id,
            software,
            begun_ms: self.now_ms,
            is_registered,
            restorations: daemon.restorations,
        });
    }

    /// Tells a daemon where the KV cache replica of one of the last streams is, as the daemon that has begun it does.
    pub fn tell(&mut self, daemon: usize, choice: usize) {
        let recent = self.streams.len().min(64);
        if recent == 0 {
            return;
        }
        let stream = &self.streams[self.streams.len() - 1 - choice % recent];
        let replica = ReplicaRecord {
            holder: "holder".into(),
            fingerprint: "f".into(),
            reference: stream.id.as_str().into(),
            take_ups: 0,
            last_event_id: 1,
            weights_version: None,
        };
        let copy = RunCopy {
            stream_id: stream.id.as_str().into(),
            software: stream.software.clone(),
            replica,
        };
        self.daemons[daemon].versions.merge_copy(copy, self.now_ms);
    }

    /// Lets the recorder of a daemon make one step.
    pub fn step(&mut self, daemon: usize, outcome: CallOutcome) {
        let outcome = if self.is_down { CallOutcome::Refused } else { outcome };
        let count = self.daemons.len();
        let daemon = &mut self.daemons[daemon];
        if daemon.listed.is_none() {
            return;
        }
        let now_ms = self.now_ms;
        let step = daemon.versions.next_step(count, now_ms);
        let call = match &step {
            Step::Wait(until_ms) => {
                assert!(*until_ms > now_ms, "a wait ends in the future");
                return;
            }
            Step::Register(software) => Call::Create(software.clone()),
            Step::Unregister(software, revision) => Call::Remove(software.clone(), *revision),
            Step::StateComplete(complete, revision) => Call::StateComplete(*complete, *revision),
            Step::Write(batch) => {
                if outcome == CallOutcome::Refused {
                    daemon.versions.mark_failed(now_ms);
                    return;
                }
                if daemon.lease.is_none_or(|(number, _)| number != batch.lease) {
                    if daemon.lease.is_none() && batch.lease > 1 && self.restorations > 0 {
                        // The restoration has ended the lease.
                        daemon.lease = Some((batch.lease, 0));
                    } else {
                        daemon.lease = Some((batch.lease, now_ms + LEASE_MS));
                    }
                }
                let until_ms = daemon.lease.map_or(0, |(_, until_ms)| until_ms);
                if until_ms <= now_ms {
                    daemon.versions.mark_lease_lost(now_ms);
                    return;
                }
                assert!(until_ms >= now_ms + STREAM_LIFE_MS, "a record outlives the stream");
                let items = batch.items.iter().map(|item| (item.name.clone(), item.value.clone()));
                Call::Put(items.collect(), until_ms)
            }
        };
        self.calls += 1;
        match outcome {
            CallOutcome::Refused => {}
            CallOutcome::Delayed => self.delayed.push((now_ms + 3_000, call)),
            CallOutcome::Done | CallOutcome::AnswerLost => self.store.execute(&call),
        }
        if outcome != CallOutcome::Done {
            daemon.versions.mark_failed(now_ms);
            return;
        }
        match step {
            Step::Register(software) => {
                daemon.versions.insert_registered(software, self.store.revision, now_ms);
            }
            Step::Unregister(software, revision) => {
                daemon.versions.remove_registered(&software.key(), revision, now_ms);
            }
            Step::StateComplete(complete, _) => {
                if self.store.complete == Some((complete, self.store.revision)) {
                    daemon.versions.set_complete_era(self.store.complete);
                } else {
                    daemon.versions.mark_failed(now_ms);
                }
            }
            Step::Write(batch) => daemon.versions.mark_written(&batch, now_ms),
            Step::Wait(_) => {}
        }
    }

    /// Takes up a stream at a daemon, which reads the store if it has no record of the stream. `None` if the daemon is
    /// not ready.
    pub fn take_up(&mut self, daemon: usize, stream: usize) -> Option<Origin> {
        let stream = &self.streams[stream];
        let daemon = &mut self.daemons[daemon];
        daemon.listed.as_ref()?;
        let versions = &mut daemon.versions;
        if let Some(origin) = versions.recorded_origin(&stream.id, &service()) {
            return Some(origin);
        }
        if self.is_down {
            return Some(Origin::Unknown);
        }
        for (software, revision) in self.store.versions.values() {
            versions.insert_registered(software.clone(), *revision, self.now_ms);
        }
        merge(versions, &self.store, self.now_ms);
        for software in &self.listed {
            versions.insert_listed(software.clone(), self.now_ms);
        }
        let recorded = versions.recorded_origin(&stream.id, &service());
        let stated = self.store.complete.map(|(complete, _)| complete.era);
        let is_complete = stated == Some(u64::from(self.restorations));
        Some(recorded.unwrap_or_else(|| match is_complete {
            true => versions.unrecorded_origin(&service(), self.now_ms),
            false => Origin::Unknown,
        }))
    }

    /// Whether the store lacks the version of the stream, because the stream began when no version was registered, and no
    /// instance of the version is listed any more.
    pub fn is_exempt(&self, stream: &Stream) -> bool {
        let is_lost = !self.store.versions.contains_key(&stream.software.key())
            && !self.listed.contains(&stream.software);
        is_lost && !stream.is_registered
    }
}

fn merge(versions: &mut VersionRecords, store: &Store, now_ms: u64) {
    for (name, (value, _)) in &store.records {
        versions.merge_record(name, value.as_bytes(), now_ms).unwrap();
    }
}
