//! Follows the configuration and the list of instances in the platform.

use crate::{config::Config, core::Core, instance_entry::InstanceEntry};
use plat::{Change, Follower, Source, SourceError, follow};
use std::{fmt::Display, sync::Arc};

/// Keeps the configuration of `core` up to date with the item `key`, as long as the future is polled.
pub async fn follow_config<E: Display>(
    core: Arc<Core>,
    source: impl Source,
    key: &str,
    decode: fn(&[u8]) -> Result<Config, E>,
) {
    follow(source, key, ConfigFollower { core, key, decode }).await;
}

/// Keeps the instances of `core` up to date with the items below `prefix`, as long as the future is polled.
pub async fn follow_instances<E: Display>(
    core: Arc<Core>,
    source: impl Source,
    prefix: &str,
    decode: fn(&str, &[u8]) -> Result<InstanceEntry, E>,
) {
    follow(source, prefix, InstanceFollower { core, prefix, decode }).await;
}

struct ConfigFollower<'a, E> {
    core: Arc<Core>,
    key: &'a str,
    decode: fn(&[u8]) -> Result<Config, E>,
}

impl<E: Display> ConfigFollower<'_, E> {
    fn install(&self, change: &Change) {
        if &*change.key != self.key {
            return;
        }
        let Some(value) = &change.value else {
            log::warn!("config: the item was removed; the version in force stays");
            return;
        };
        match (self.decode)(value) {
            Ok(config) => self.core.install(config),
            Err(err) => log::warn!("config: revision={} is not usable: {err}", change.revision),
        }
    }
}

impl<E: Display> Follower for ConfigFollower<'_, E> {
    fn listed(&mut self, items: Vec<Change>) {
        for item in &items {
            self.install(item);
        }
    }

    fn changed(&mut self, changes: Vec<Change>) {
        for change in &changes {
            self.install(change);
        }
    }

    fn lost(&mut self, err: &SourceError) {
        log::warn!("config: the platform does not answer: {err}");
    }

    fn answered(&mut self, away_ms: Option<u64>) {
        if let Some(away_ms) = away_ms {
            log::info!("config: the platform answers again after {away_ms} ms");
        }
    }
}

struct InstanceFollower<'a, E> {
    core: Arc<Core>,
    prefix: &'a str,
    decode: fn(&str, &[u8]) -> Result<InstanceEntry, E>,
}

impl<E: Display> InstanceFollower<'_, E> {
    fn id<'c>(&self, change: &'c Change) -> Option<&'c str> {
        change.key.strip_prefix(self.prefix)
    }

    /// The entry of an item; an entry that cannot be read names no instance to use.
    fn entry(&self, id: &str, value: &[u8]) -> Option<InstanceEntry> {
        match (self.decode)(id, value) {
            Ok(entry) => Some(entry),
            Err(err) => {
                log::warn!("instances: the entry of {id} is not usable: {err}");
                None
            }
        }
    }
}

impl<E: Display> Follower for InstanceFollower<'_, E> {
    fn listed(&mut self, items: Vec<Change>) {
        let entries = items
            .iter()
            .filter_map(|item| self.entry(self.id(item)?, item.value.as_deref()?))
            .collect();
        self.core.with_registry(|registry, now_ms| registry.replace(entries, now_ms));
        self.core.instances_listed();
    }

    fn changed(&mut self, changes: Vec<Change>) {
        for change in &changes {
            let Some(id) = self.id(change) else { continue };
            let entry = change.value.as_deref().and_then(|value| self.entry(id, value));
            self.core.with_registry(|registry, now_ms| match entry {
                Some(entry) => registry.upsert(entry),
                None => registry.remove(id, now_ms),
            });
        }
    }

    fn lost(&mut self, err: &SourceError) {
        log::warn!("instances: the platform does not answer: {err}");
        self.core.with_registry(|registry, _| registry.platform_lost());
    }

    fn answered(&mut self, away_ms: Option<u64>) {
        if let Some(away_ms) = away_ms {
            log::info!("instances: the platform answers again after {away_ms} ms");
        }
        self.core.with_registry(|registry, now_ms| {
            registry.platform_answered(now_ms);
            registry.expire(now_ms);
        });
    }
}
