//! Software versions at which the streams that can still be taken up may have begun.

use crate::{
    service_version::ServiceVersion, software_version::SoftwareVersion,
    version_records::STREAM_LIFE_MS,
};
use base::{HashMap, HashSet, ServiceName, stable_hash};
use std::hash::Hash;

/// Time over which the daemons of a fleet spread a write that one of them has to make, for each daemon. The first of
/// them writes after about this time, whatever the size of the fleet, and the others see its item.
const SPREAD_PER_DAEMON_MS: u64 = 20;

/// Largest age of the list of instances at which a version counts as no longer listed.
const MAX_LIST_AGE_MS: u64 = 10_000;

/// Largest age of the list of instances at which a version counts as registered. Other daemons can remove the item of a
/// version that was not listed for the longest life of a stream.
const MAX_REGISTERED_AGE_MS: u64 = STREAM_LIFE_MS / 2;

/// Software versions that are listed, registered in the store, or were within the longest life of a stream.
#[derive(Debug)]
pub(crate) struct VersionsInPlay {
    seed: u64,
    listed: HashSet<ServiceVersion>,
    /// When each version was last known to be listed. For one that this daemon has only seen registered, that is when it
    /// first saw the item.
    last_listed: HashMap<ServiceVersion, u64>,
    /// Registered versions with the revisions of their items.
    registered: HashMap<ServiceVersion, u64>,
    /// When the item of a version in play was first missing.
    missing_since: HashMap<ServiceVersion, u64>,
    /// When the list of instances was last known to be up to date.
    confirmed_ms: Option<u64>,
}

impl VersionsInPlay {
    /// Creates the state of a daemon that knows of no version. `seed` differs between daemons.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            listed: HashSet::default(),
            last_listed: HashMap::default(),
            registered: HashMap::default(),
            missing_since: HashMap::default(),
            confirmed_ms: None,
        }
    }

    /// Replaces the listed versions. Returns those that have appeared, and those that have left.
    pub fn set_listed(
        &mut self,
        listed: HashSet<ServiceVersion>,
        now_ms: u64,
    ) -> (Vec<ServiceVersion>, Vec<ServiceVersion>) {
        // Any version may have been listed while this daemon did not read the list.
        if self.is_older_than(MAX_LIST_AGE_MS, now_ms) {
            self.last_listed.values_mut().for_each(|last_ms| *last_ms = now_ms);
        }
        self.confirmed_ms = Some(now_ms);
        for software in self.listed.union(&listed) {
            self.last_listed.insert(software.clone(), now_ms);
        }
        let appeared = listed.difference(&self.listed).cloned().collect();
        let left = self.listed.difference(&listed).cloned().collect();
        self.listed = listed;
        self.update_missing(now_ms);
        (appeared, left)
    }

    /// Records that an instance of a version was found at the store.
    pub fn insert_listed(&mut self, software: ServiceVersion, now_ms: u64) {
        self.last_listed.insert(software, now_ms);
        self.update_missing(now_ms);
    }

    /// Replaces the registered versions.
    pub fn set_registered(
        &mut self,
        registered: impl IntoIterator<Item = (ServiceVersion, u64)>,
        now_ms: u64,
    ) {
        self.registered.clear();
        for (software, revision) in registered {
            self.insert_registered(software, revision, now_ms);
        }
        self.update_missing(now_ms);
    }

    /// Records that a version is registered by an item of the given revision.
    pub fn insert_registered(&mut self, software: ServiceVersion, revision: u64, now_ms: u64) {
        self.last_listed.entry(software.clone()).or_insert(now_ms);
        self.missing_since.remove(&software);
        self.registered.insert(software, revision);
    }

    /// Records that the item with the given key was removed at `revision`, unless the item is known to be newer. Another
    /// daemon removes the item of a version that was not listed for the longest life of a stream, so the version is no
    /// longer in play here either, unless it is listed.
    pub fn remove_registered(&mut self, key: &str, revision: u64, now_ms: u64) {
        let removed = self.registered.iter().find(|(software, _)| *software.key() == *key);
        let Some((software, _)) = removed.filter(|(_, written)| **written <= revision) else {
            return;
        };
        let software = software.clone();
        self.registered.remove(&software);
        if !self.listed.contains(&software) {
            self.last_listed.remove(&software);
        }
        self.update_missing(now_ms);
    }

    /// Whether the store holds the item of a version, and will not lose it before this daemon learns of it.
    pub fn may_begin_at(
        &self,
        service: &ServiceName,
        version: &SoftwareVersion,
        now_ms: u64,
    ) -> bool {
        let is_same = |software: &ServiceVersion| {
            software.version == *version && software.service == *service
        };
        !self.is_older_than(MAX_REGISTERED_AGE_MS, now_ms) && self.registered.keys().any(is_same)
    }

    /// Records that a stream began at a version.
    pub fn record_begun(&mut self, software: &ServiceVersion, now_ms: u64) {
        self.last_listed.insert(software.clone(), now_ms);
        self.update_missing(now_ms);
    }

    /// Versions of a service at which a stream that can still be taken up may have begun.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a ServiceVersion> {
        self.last_listed.keys().filter(move |software| {
            software.service == *service && self.is_in_play(software, now_ms)
        })
    }

    /// Version whose item this daemon has to create now, or else when it next has to create one.
    pub fn next_registration(
        &self,
        daemons: usize,
        now_ms: u64,
    ) -> Result<ServiceVersion, Option<u64>> {
        let due =
            self.missing_since.iter().filter(|(software, _)| self.is_wanted(software, now_ms));
        earliest(
            due.map(|(software, since_ms)| (software, since_ms + self.delay_ms(software, daemons))),
            now_ms,
        )
    }

    /// Version whose item this daemon has to remove now, with the revision of the item, or else when it next has to
    /// remove one.
    pub fn next_removal(
        &self,
        daemons: usize,
        now_ms: u64,
    ) -> Result<(ServiceVersion, u64), Option<u64>> {
        let is_current = !self.is_older_than(MAX_LIST_AGE_MS, now_ms);
        let unlisted =
            self.registered.keys().filter(|software| is_current && !self.listed.contains(software));
        let due = unlisted.map(|software| {
            let last_ms = self.last_listed.get(software).copied().unwrap_or(now_ms);
            (software, last_ms + STREAM_LIFE_MS + self.delay_ms(software, daemons))
        });
        let software = earliest(due, now_ms)?;
        let revision = self.registered.get(&software).copied().unwrap_or(0);
        Ok((software, revision))
    }

    /// Whether no version is registered.
    pub fn has_none_registered(&self) -> bool {
        self.registered.is_empty()
    }

    /// Whether the item of a version is missing that has to be registered.
    pub fn has_missing(&self, now_ms: u64) -> bool {
        self.missing_since.keys().any(|software| self.is_wanted(software, now_ms))
    }

    /// Forgets the versions that are no longer in play.
    pub fn prune(&mut self, now_ms: u64) {
        let ended: Vec<ServiceVersion> = self
            .last_listed
            .keys()
            .filter(|software| !self.is_in_play(software, now_ms))
            .cloned()
            .collect();
        for software in ended {
            self.last_listed.remove(&software);
            self.missing_since.remove(&software);
        }
    }

    /// Whether the list of instances is older than `age_ms`.
    fn is_older_than(&self, age_ms: u64, now_ms: u64) -> bool {
        self.confirmed_ms.is_none_or(|at_ms| now_ms >= at_ms + age_ms)
    }

    fn is_registered(&self, software: &ServiceVersion) -> bool {
        self.registered.contains_key(software)
    }

    fn is_in_play(&self, software: &ServiceVersion, now_ms: u64) -> bool {
        self.is_wanted(software, now_ms) || self.is_registered(software)
    }

    /// Whether the version has to be registered.
    fn is_wanted(&self, software: &ServiceVersion, now_ms: u64) -> bool {
        let last_ms = self.last_listed.get(software);
        self.listed.contains(software)
            || last_ms.is_some_and(|at_ms| now_ms < at_ms + STREAM_LIFE_MS)
    }

    fn update_missing(&mut self, now_ms: u64) {
        let (registered, last_listed) = (&self.registered, &self.last_listed);
        self.missing_since.retain(|software, _| last_listed.contains_key(software));
        for software in last_listed.keys() {
            if !registered.contains_key(software) {
                self.missing_since.entry(software.clone()).or_insert(now_ms);
            }
        }
    }

    /// Time by which this daemon delays a write that each daemon of the fleet could make, for `subject`.
    pub fn delay_ms(&self, subject: impl Hash, daemons: usize) -> u64 {
        stable_hash(&(self.seed, subject)) % (daemons.max(1) as u64 * SPREAD_PER_DAEMON_MS)
    }
}

/// The version that is due first if that is at or before `now_ms`, or else when it is due; `None` if there is none.
fn earliest<'a>(
    due: impl Iterator<Item = (&'a ServiceVersion, u64)>,
    now_ms: u64,
) -> Result<ServiceVersion, Option<u64>> {
    match due.min_by_key(|(_, due_ms)| *due_ms) {
        Some((software, due_ms)) if due_ms <= now_ms => Ok(software.clone()),
        first => Err(first.map(|(_, due_ms)| due_ms)),
    }
}
