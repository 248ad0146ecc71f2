//! Applies changes of the configuration, the instances and the daemons that the platform's store reports.

use crate::{
    config::Config,
    config_share::catch_up,
    core::Core,
    departures::{Departures, Standing},
    instance_entry::InstanceEntry,
    rollout_items::{RolloutDecoders, RolloutItems},
};
use base::{Excerpt, HashMap, HashSet};
use plat::{Change, Position, Source, SourceError, WatchHandler, WatchTiming, list_and_watch};
use std::{fmt::Display, net::SocketAddr, sync::Arc};

/// Changes are collected into a batch for the time within which they must be active, divided by this number. The rest
/// of the time remains for a watch that receives nothing for a second and for a read that has to be retried.
const BATCH_DIVISOR: u64 = 4;

/// Watches wait for the time within which changes must be active, divided by this number. A connection to the store that
/// has gone silent is noticed at the end of a watch; together with the batch before it, this leaves a quarter of the time
/// for a read on a new connection.
const WATCH_DIVISOR: u64 = 2;

/// Shortest and longest wait of a watch.
const WATCH_MS: (u64, u64) = (500, 3_000);

/// Shortest and longest time for which changes are collected before they are read.
const BATCH_MS: (u64, u64) = (100, 1_000);

/// Keys of the items in the platform's store.
#[derive(Clone, Copy, Debug)]
pub struct PlatformKeys {
    /// Key of the item that holds the configuration.
    pub config: &'static str,
    /// Prefix of the keys of instances. The rest of each key is the identifier of the instance.
    pub instances: &'static str,
    /// Prefix of the keys of daemons. The rest of each key is the name of the daemon's VM.
    pub daemons: &'static str,
    /// Prefix of the keys of all items on the software versions of streams.
    pub streams: &'static str,
    /// Prefix of the keys of the software versions at which streams may begin.
    pub stream_versions: &'static str,
    /// Key of the item that states in which era of the store the software versions are complete.
    pub complete_era: &'static str,
    /// Prefix of the keys of the streams that have begun.
    pub begun_streams: &'static str,
    /// Prefix of the keys of operators' rollout orders. The rest of each key is the name of the service.
    pub rollout_orders: &'static str,
    /// Prefix of the keys of the statuses of rollouts. The rest of each key is the name of the service.
    pub rollout_statuses: &'static str,
}

/// Decoders of the items in the platform's store.
#[derive(Debug)]
pub struct Decoders<E> {
    /// Decodes the item that holds the configuration.
    pub config: fn(&[u8]) -> Result<Config, E>,
    /// Decodes the registry entry of the instance with the given identifier.
    pub instance: fn(&str, &[u8]) -> Result<InstanceEntry, E>,
    /// Decoders of the items of rollouts.
    pub rollouts: RolloutDecoders<E>,
}

/// Keeps `core` up to date with the platform, as long as the future is polled.
///
/// One watch covers all keys, which takes half as many calls as one watch for each prefix.
pub async fn follow_platform<E: Display + 'static>(
    core: Arc<Core>,
    source: impl Source,
    keys: PlatformKeys,
    decoders: Decoders<E>,
) {
    let bound_ms = core.options.change_bound_ms;
    let timing = WatchTiming {
        wait_ms: (bound_ms / WATCH_DIVISOR).clamp(WATCH_MS.0, WATCH_MS.1),
        batch_ms: (bound_ms / BATCH_DIVISOR).clamp(BATCH_MS.0, BATCH_MS.1),
    };
    let decode = decoders.config;
    core.config_share.set_decoder(move |text| decode(text).ok());
    let follower = PlatformFollower {
        core,
        keys,
        decode_config: decoders.config,
        decode_instance: decoders.instance,
        rollout_items: RolloutItems::new(keys, decoders.rollouts),
        daemons: HashMap::default(),
        departures: Departures::default(),
        is_restored: false,
        undecodable: HashSet::default(),
        undecodable_config: None,
    };
    list_and_watch(source, "", timing, follower).await;
}

/// Applies the items of the platform's store and their changes to `core`.
struct PlatformFollower<E> {
    core: Arc<Core>,
    keys: PlatformKeys,
    decode_config: fn(&[u8]) -> Result<Config, E>,
    decode_instance: fn(&str, &[u8]) -> Result<InstanceEntry, E>,
    rollout_items: RolloutItems<E>,
    /// Peer addresses of the daemons, by name of the VM.
    daemons: HashMap<Box<str>, SocketAddr>,
    /// Instances that have left or are leaving.
    departures: Departures,
    /// Whether the next list is the first one since the store was restored from an older copy.
    is_restored: bool,
    /// Identifiers of the entries that cannot be decoded. Each is logged once, although it comes with each list.
    undecodable: HashSet<Box<str>>,
    /// Revision of the last configuration that could not be decoded.
    undecodable_config: Option<u64>,
}

impl<E: Display> PlatformFollower<E> {
    /// Decodes and installs a configuration. One that was removed or cannot be decoded leaves the active one unchanged.
    fn install(&mut self, change: &Change) {
        let Some(value) = &change.value else {
            log::warn!("config: the item was removed, the active version stays");
            return;
        };
        match (self.decode_config)(value) {
            Ok(config) => {
                self.core.config_share.record(config.version, value.clone());
                self.core.install(config);
            }
            Err(err) => {
                if self.undecodable_config.replace(change.revision) != Some(change.revision) {
                    let revision = change.revision;
                    log::warn!("config: revision={revision} cannot be decoded: {}", Excerpt(err));
                }
            }
        }
    }

    /// Decodes the registry entry of an instance; `None` if the entry is malformed.
    fn decode_entry(&mut self, id: &str, value: &[u8]) -> Option<InstanceEntry> {
        match (self.decode_instance)(id, value) {
            Ok(mut entry) => {
                self.undecodable.remove(id);
                self.core.rollouts.record_entry(&entry);
                // A time that counts down does not make each heartbeat a changed entry.
                entry.cold_remaining_ms = 0;
                Some(entry)
            }
            Err(err) => {
                if self.undecodable.insert(id.into()) {
                    log::warn!(
                        "instances: the entry of {} cannot be decoded: {}",
                        Excerpt(id),
                        Excerpt(err)
                    );
                }
                None
            }
        }
    }

    /// Decodes the registry entries in a list of all items, oldest first, without those of instances that have left.
    fn listed_entries(&mut self, items: &[Change]) -> Vec<InstanceEntry> {
        let instances = self.keys.instances;
        let ids: HashSet<&str> =
            items.iter().filter_map(|item| item.key.strip_prefix(instances)).collect();
        self.undecodable.retain(|id| ids.contains(&**id));
        if self.is_restored {
            self.departures.begin_era();
        } else {
            self.departures.record_missing(&ids);
        }
        let mut by_revision: Vec<&Change> = items.iter().collect();
        by_revision.sort_by_key(|item| item.revision);
        let mut entries = Vec::new();
        for item in by_revision {
            let Some(id) = item.key.strip_prefix(instances) else { continue };
            let value = item.value.as_deref().unwrap_or_default();
            let Some(mut entry) = self.decode_entry(id, value) else { continue };
            match self.departures.judge_listed(&entry, item.revision) {
                Standing::Current => {}
                Standing::Draining => {
                    log::info!("instances: {id} is listed as ready by an older copy, it drains");
                    entry.is_draining = true;
                }
                Standing::Left => {
                    log::info!("instances: {id} is listed by an older copy, it has left");
                    continue;
                }
            }
            entries.push(entry);
        }
        entries
    }

    /// Decodes an entry that an instance has written since the last list.
    fn written_entry(&mut self, id: &str, change: &Change) -> Option<InstanceEntry> {
        let Some(value) = change.value.as_deref() else {
            self.undecodable.remove(id);
            self.departures.record_removal(id);
            return None;
        };
        let mut entry = self.decode_entry(id, value)?;
        let standing = self.departures.judge_written(&entry, change.revision);
        entry.is_draining |= standing == Standing::Draining;
        Some(entry)
    }

    /// Applies the item of a daemon, or its removal if `value` is `None` or malformed. Returns whether the list of
    /// daemons has changed.
    fn update_daemon(&mut self, name: &str, value: Option<&[u8]>) -> bool {
        let addr = value.and_then(|value| std::str::from_utf8(value).ok()?.parse().ok());
        match addr {
            Some(addr) => self.daemons.insert(name.into(), addr) != Some(addr),
            None => self.daemons.remove(name).is_some(),
        }
    }

    fn publish_daemons(&self) {
        let daemons: Vec<SocketAddr> = self.daemons.values().copied().collect();
        self.core.rollouts.set_daemons(daemons.clone());
        self.core.versions.copies.set_daemons(daemons.clone());
        self.core.set_daemons(daemons);
    }
}

impl<E: Display> WatchHandler for PlatformFollower<E> {
    fn on_list(&mut self, items: Vec<Change>) {
        // The list of daemons comes first: a daemon that knows of no other takes itself for the judge of an order.
        self.daemons.clear();
        for item in &items {
            if let Some(name) = item.key.strip_prefix(self.keys.daemons) {
                self.update_daemon(name, item.value.as_deref());
            }
        }
        self.publish_daemons();
        // Orders are applied before instances, which must get no request without the limits of their order.
        self.rollout_items.apply_list(&self.core.rollouts, &items, self.is_restored);
        let entries = self.listed_entries(&items);
        self.is_restored = false;
        let config = self.keys.config;
        for item in items.iter().filter(|item| &*item.key == config) {
            self.install(item);
        }
        self.core.versions.replace(&items, self.keys);
        self.core.with_registry(|registry, now_ms| registry.replace(entries, now_ms));
        self.core.update_listed_versions();
        self.core.forget_limits();
    }

    fn on_restored(&mut self) {
        self.is_restored = true;
        self.core.with_registry(|registry, now_ms| registry.platform_restored(now_ms));
    }

    fn on_caught_up(&mut self) {
        catch_up(&self.core);
    }

    fn on_changes(&mut self, changes: Vec<Change>) {
        let mut have_daemons_changed = false;
        for change in &changes {
            self.rollout_items.apply(&self.core.rollouts, change);
        }
        // Changes come from watches only. A list of the latest state is not enough: it is read in pages, between which an
        // order may be written.
        self.core.rollouts.confirm_list();
        for change in &changes {
            if &*change.key == self.keys.config {
                self.install(change);
            } else if let Some(id) = change.key.strip_prefix(self.keys.instances) {
                let entry = self.written_entry(id, change);
                self.core.with_registry(|registry, now_ms| match entry {
                    Some(entry) => registry.upsert(entry),
                    None => registry.remove(id, now_ms),
                });
            } else if let Some(name) = change.key.strip_prefix(self.keys.daemons) {
                have_daemons_changed |= self.update_daemon(name, change.value.as_deref());
            } else if change.key.starts_with(self.keys.streams) {
                self.core.versions.apply(change, self.keys);
            }
        }
        if have_daemons_changed {
            self.publish_daemons();
        }
        self.core.update_listed_versions();
        self.core.forget_limits();
        self.core.notify_instances_changed();
    }

    fn on_position(&mut self, position: Position) {
        self.core.versions.set_position(position);
    }

    fn on_outage(&mut self, err: &SourceError) {
        log::warn!("platform: the store does not respond: {err}");
        self.core.with_registry(|registry, now_ms| registry.platform_lost(now_ms));
    }

    fn on_answer(&mut self, outage_ms: Option<u64>) {
        if let Some(outage_ms) = outage_ms {
            log::info!("platform: the store responds again after {outage_ms} ms");
        }
        self.core.with_registry(|registry, now_ms| {
            registry.platform_recovered(now_ms);
            registry.expire(now_ms);
        });
    }
}
