//! Follows the configuration, the instances and the daemons in the platform.

use crate::{config::Config, core::Core, instance_entry::InstanceEntry};
use base::HashMap;
use plat::{Change, Follower, Source, SourceError, follow};
use std::{fmt::Display, net::SocketAddr, sync::Arc};

/// Part of the time in which changes must be in force that may pass before they are read. A watch may hear nothing for a
/// second, and a read may have to be made again.
const BATCH_DIVISOR: u64 = 4;

/// Shortest and longest time for which changes are collected.
const BATCH_MS: (u64, u64) = (100, 1_000);

/// Keys of the platform's items.
#[derive(Clone, Copy, Debug)]
pub struct PlatformKeys {
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
    keys: PlatformKeys,
    decoders: Decoders<E>,
) {
    let batch_ms = (core.options.change_bound_ms / BATCH_DIVISOR).clamp(BATCH_MS.0, BATCH_MS.1);
    let follower = PlatformFollower { core, keys, decoders, daemons: HashMap::default() };
    follow(source, "", batch_ms, follower).await;
}

struct PlatformFollower<E> {
    core: Arc<Core>,
    keys: PlatformKeys,
    decoders: Decoders<E>,
    /// Addresses of the daemons' loan desks, by name.
    daemons: HashMap<Box<str>, SocketAddr>,
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

    /// Takes over the item of a daemon; whether that changes the list.
    fn daemon_changed(&mut self, name: &str, value: Option<&[u8]>) -> bool {
        let addr = value.and_then(|value| std::str::from_utf8(value).ok()?.parse().ok());
        match addr {
            Some(addr) => self.daemons.insert(name.into(), addr) != Some(addr),
            None => self.daemons.remove(name).is_some(),
        }
    }

    fn daemons_changed(&self) {
        self.core.set_daemons(self.daemons.values().copied().collect());
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
                self.daemon_changed(name, item.value.as_deref());
            }
        }
        self.daemons_changed();
        self.core.with_registry(|registry, now_ms| registry.replace(entries, now_ms));
    }

    fn caught_up(&mut self) {
        self.core.mark_instances_listed();
    }

    fn changed(&mut self, changes: Vec<Change>) {
        let mut has_daemons = false;
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
                has_daemons |= self.daemon_changed(name, change.value.as_deref());
            }
        }
        if has_daemons {
            self.daemons_changed();
        }
        self.core.instances_changed();
    }

    fn lost(&mut self, err: &SourceError) {
        log::warn!("platform: the store does not answer: {err}");
        self.core.with_registry(|registry, now_ms| registry.platform_lost(now_ms));
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
