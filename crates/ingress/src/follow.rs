//! Follows the configuration, the instances and the daemons in the platform.

use crate::{config::Config, core::Core, instance_entry::InstanceEntry};
use base::HashSet;
use plat::{Change, Follower, Source, SourceError, follow};
use std::{fmt::Display, sync::Arc};

/// Keys of the platform's items.
#[derive(Clone, Copy, Debug)]
pub struct Keys {
    /// Key of the configuration.
    pub config: &'static str,
    /// Prefix of the keys of instances; the identifier follows.
    pub instances: &'static str,
    /// Prefix of the keys of daemons; the name of the VM follows.
    pub daemons: &'static str,
}

/// Decoders of the platform's items.
#[derive(Debug)]
pub struct Decoders<E> {
    /// Decodes a configuration.
    pub config: fn(&[u8]) -> Result<Config, E>,
    /// Decodes the entry of an instance with the given identifier.
    pub instance: fn(&str, &[u8]) -> Result<InstanceEntry, E>,
}

/// Keeps `core` up to date with the platform, as long as the future is polled.
///
/// One watch over all keys takes half of the calls of one for each prefix.
pub async fn follow_platform<E: Display>(
    core: Arc<Core>,
    source: impl Source,
    keys: Keys,
    decoders: Decoders<E>,
) {
    let follower = PlatformFollower { core, keys, decoders, daemons: HashSet::default() };
    follow(source, "", follower).await;
}

struct PlatformFollower<E> {
    core: Arc<Core>,
    keys: Keys,
    decoders: Decoders<E>,
    daemons: HashSet<Box<str>>,
}

impl<E: Display> PlatformFollower<E> {
    fn install(&self, change: &Change) {
        let Some(value) = &change.value else {
            log::warn!("config: the item was removed; the version in force stays");
            return;
        };
        match (self.decoders.config)(value) {
            Ok(config) => self.core.install(config),
            Err(err) => log::warn!("config: revision={} is not usable: {err}", change.revision),
        }
    }

    /// The entry of an item; an entry that cannot be read names no instance to use.
    fn entry(&self, id: &str, value: &[u8]) -> Option<InstanceEntry> {
        match (self.decoders.instance)(id, value) {
            Ok(entry) => Some(entry),
            Err(err) => {
                log::warn!("instances: the entry of {id} is not usable: {err}");
                None
            }
        }
    }

    fn daemon_changed(&mut self, name: &str, is_listed: bool) {
        let is_new = match is_listed {
            true => self.daemons.insert(name.into()),
            false => self.daemons.remove(name),
        };
        if is_new {
            self.core.set_fleet_size(self.daemons.len());
        }
    }
}

impl<E: Display> Follower for PlatformFollower<E> {
    fn listed(&mut self, items: Vec<Change>) {
        let mut entries = Vec::new();
        self.daemons.clear();
        for item in &items {
            if &*item.key == self.keys.config {
                self.install(item);
            } else if let Some(id) = item.key.strip_prefix(self.keys.instances) {
                let value = item.value.as_deref().unwrap_or_default();
                entries.extend(self.entry(id, value));
            } else if let Some(name) = item.key.strip_prefix(self.keys.daemons) {
                self.daemons.insert(name.into());
            }
        }
        self.core.set_fleet_size(self.daemons.len());
        self.core.with_registry(|registry, now_ms| registry.replace(entries, now_ms));
        self.core.instances_listed();
    }

    fn changed(&mut self, changes: Vec<Change>) {
        for change in &changes {
            if &*change.key == self.keys.config {
                self.install(change);
            } else if let Some(id) = change.key.strip_prefix(self.keys.instances) {
                let entry = change.value.as_deref().and_then(|value| self.entry(id, value));
                self.core.with_registry(|registry, now_ms| match entry {
                    Some(entry) => registry.upsert(entry),
                    None => registry.remove(id, now_ms),
                });
            } else if let Some(name) = change.key.strip_prefix(self.keys.daemons) {
                self.daemon_changed(name, change.value.is_some());
            }
        }
        self.core.instances_changed();
    }

    fn lost(&mut self, err: &SourceError) {
        log::warn!("platform: the store does not answer: {err}");
        self.core.with_registry(|registry, _| registry.platform_lost());
    }

    fn answered(&mut self, away_ms: Option<u64>) {
        if let Some(away_ms) = away_ms {
            log::info!("platform: the store answers again after {away_ms} ms");
        }
        self.core.with_registry(|registry, now_ms| {
            registry.platform_answered(now_ms);
            registry.expire(now_ms);
        });
    }
}
