//! Tests of readers and relays that continue after a list without sending all items again.

use plat::{
    Change, Changes, Freshness, ItemCache, Relay, RelayOptions, RelayedSource, Source, SourceError,
};
use std::{
    net::SocketAddr,
    sync::{Arc, LazyLock, Mutex},
};

const MAX_AGE_MS: u64 = 60_000;

fn write(key: &str, value: &str, revision: u64) -> Change {
    Change { key: key.into(), value: Some(value.to_owned().into()), revision }
}

fn changes(changes: Vec<Change>, revision: u64) -> Changes {
    Changes { changes, era: 1, revision, age_ms: 0 }
}

fn is_same(key: &str, old: &[u8], new: &[u8]) -> bool {
    key.starts_with("servers/") && old[0] == new[0]
}

/// Guards against a relay that lists again after one failed call and makes all of its readers list again as well.
#[tokio::test]
async fn readers_of_a_relay_that_lists_again_get_the_changes_only() {
    let relay = ItemCache::new(is_same);
    let items = ["servers/a", "servers/b", "servers/c"].map(|key| write(key, "1", 3));
    relay.replace(&changes(items.to_vec(), 3), true);
    relay.apply(&changes(vec![write("servers/a", "2", 5)], 5));
    // After a failed call: `b` was removed, `c` wrote a heartbeat, `d` is new.
    let list = [("servers/a", "2", 5), ("servers/c", "1 beat", 7), ("servers/d", "1", 8)];
    let list = list.map(|(key, value, revision)| write(key, value, revision));
    relay.replace(&changes(list.to_vec(), 9), true);
    let read = relay.watch(5, 0, MAX_AGE_MS).await.unwrap();
    let removal = Change { key: "servers/b".into(), value: None, revision: 9 };
    assert_eq!(read.changes, vec![write("servers/d", "1", 8), removal]);
    assert_eq!(read.revision, 9);
    // A reader that was at another relay may have learned of a key that came and went after revision 5.
    assert!(matches!(relay.watch(6, 0, MAX_AGE_MS).await, Err(SourceError::Compacted)));
    assert!(relay.watch(9, 0, MAX_AGE_MS).await.is_ok());
    // Readers from before the first list, and from before a list that is older than the items, have to list.
    assert!(matches!(relay.watch(2, 0, MAX_AGE_MS).await, Err(SourceError::Compacted)));
    relay.replace(&changes(list.to_vec(), 8), true);
    assert!(matches!(relay.watch(5, 0, MAX_AGE_MS).await, Err(SourceError::Compacted)));
}

/// Guards against gaps that are kept without bound, or forgotten although a reader continues inside of one.
#[tokio::test]
async fn the_oldest_of_many_gaps_is_forgotten_with_all_earlier_history() {
    let relay = ItemCache::new(is_same);
    for revision in 1..=40 {
        relay.replace(&changes(vec![write("servers/a", "1", 1)], revision * 10), true);
    }
    assert!(matches!(relay.watch(10, 0, MAX_AGE_MS).await, Err(SourceError::Compacted)));
    assert!(matches!(relay.watch(395, 0, MAX_AGE_MS).await, Err(SourceError::Compacted)));
    assert!(relay.watch(390, 0, MAX_AGE_MS).await.is_ok());
}

/// Guards against readers that wait at a relay of the second tier until it has read a list after a restoration, and list
/// only then.
#[tokio::test]
async fn readers_of_a_relay_that_has_to_list_are_sent_away_until_it_has() {
    let relay = ItemCache::new(is_same);
    relay.replace(&changes(vec![write("servers/a", "1", 1)], 3), true);
    let wait = relay.watch(3, 30_000, MAX_AGE_MS);
    let (read, ()) = tokio::join!(wait, async { relay.mark_superseded() });
    assert!(matches!(read, Err(SourceError::Compacted)));
    relay.replace(&changes(vec![write("servers/a", "1", 1)], 4), true);
    assert!(relay.watch(3, 0, MAX_AGE_MS).await.is_ok());
}

/// Relay and service of the test below, with the calls that each got.
struct World {
    relay: ItemCache,
    is_down: bool,
    calls: Vec<&'static str>,
}

static WORLD: LazyLock<Mutex<World>> = LazyLock::new(|| {
    let relay = ItemCache::new(is_same);
    Mutex::new(World { relay, is_down: false, calls: Vec::new() })
});

struct Fake {
    is_relay: bool,
}

impl Fake {
    fn call(&self, names: [&'static str; 2]) -> Result<(), SourceError> {
        let mut world = WORLD.lock().unwrap();
        world.calls.push(names[usize::from(self.is_relay)]);
        if world.is_down { Err(SourceError::Outdated) } else { Ok(()) }
    }
}

impl Source for Fake {
    async fn list(&mut self, _: &str, _: Freshness) -> Result<Changes, SourceError> {
        self.call(["store list", "relay list"])?;
        WORLD.lock().unwrap().relay.list(MAX_AGE_MS)
    }

    async fn watch(&mut self, _: &str, after: u64, _: u64) -> Result<Changes, SourceError> {
        self.call(["store watch", "relay watch"])?;
        let world = WORLD.lock().unwrap();
        let mut read = changes(Vec::new(), world.relay.revision());
        read.changes = world.relay.list(MAX_AGE_MS)?.changes;
        read.changes.retain(|change| change.revision > after);
        Ok(read)
    }
}

fn connect(_: SocketAddr) -> Fake {
    Fake { is_relay: true }
}

/// Guards against a list of all items by each reader at the end of an outage.
#[tokio::test]
async fn a_reader_that_lists_again_after_an_outage_gets_the_changes_only() {
    let domain: base::DomainName = "clyde".to_owned().try_into().unwrap();
    let mut items = vec![write("servers/a", "1", 1)];
    for number in 0..6 {
        let relay = Relay {
            vm_name: format!("front-{number}").into(),
            domain: domain.clone(),
            addr: ([10, 0, 0, number], 7202).into(),
            link_mbps: 100 - u64::from(number),
        };
        items.push(write(&format!("relays/front-{number}"), &relay.encode(), 2));
    }
    WORLD.lock().unwrap().relay.replace(&changes(items, 9), true);
    let cache = Arc::new(ItemCache::new(is_same));
    let options =
        RelayOptions { own_name: "front-5".into(), domain, prefix: "relays/", wait_ms: 250 };
    let mut source =
        RelayedSource::new(Fake { is_relay: false }, connect, options, Arc::clone(&cache));
    source.list("", Freshness::Stale).await.unwrap();
    source.watch("", 9, 1).await.unwrap();
    source.watch("", 9, 1).await.unwrap();
    WORLD.lock().unwrap().is_down = true;
    assert!(source.watch("", 9, 1).await.is_err());
    tokio::time::sleep(std::time::Duration::from_millis(1_050)).await;
    {
        let mut world = WORLD.lock().unwrap();
        world.is_down = false;
        world.relay.apply(&changes(vec![write("servers/b", "1", 12)], 12));
        world.calls.clear();
    }
    let list = source.list("", Freshness::Latest).await.unwrap();
    assert_eq!((list.changes.len(), list.revision), (8, 12));
    assert_eq!(WORLD.lock().unwrap().calls, ["relay watch"]);
    assert_eq!(cache.list(MAX_AGE_MS).unwrap().changes, list.changes);
}
