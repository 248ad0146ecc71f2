//! Entries that another writer leaves in the store.

use platform_stand::FakeStore;
use rand::{Rng, RngExt};
use std::{
    io::Result as IoResult,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};
use tokio::net::TcpListener;

/// Prefixes of the keys under which daemons read entries.
const PREFIXES: [&str; 3] = ["servers/", "geraniumroad/daemons/", "geraniumroad/relays/"];

/// Parts of keys that have a meaning in paths, queries or JSON.
const ODD_KEYS: [&str; 6] = ["", "a b", "a&b=c", "%zz", "é", "a/b"];

/// Number of entries that are written at a time.
const ENTRIES: usize = 8;

/// Changes to a valid registry entry after which it names no instance: a text of the entry, and the one that replaces it.
const CHANGES: [(&str, &str); 8] = [
    (r#""slots":12"#, r#""slots":99999999999999999999999"#),
    (r#""slots":12"#, r#""slots":1e999"#),
    (r#""slots":12"#, r#""slots":-1"#),
    (r#""slots":12"#, r#""slots":12,"slots":3"#),
    (r#""born":1"#, r#""born":1e999"#),
    (r#""sequence":1"#, r#""sequence":99999999999999999999"#),
    (r#""cold_remaining_ms":0"#, r#""cold_remaining_ms":1e999"#),
    ("}", ""),
];

/// Entries that name no instance, with the address of a server to which no daemon may connect.
#[derive(Debug)]
pub(crate) struct ForeignEntries {
    addr: SocketAddr,
    /// Number of connections to the server.
    connections: Arc<AtomicU64>,
    /// Keys of the entries in the store.
    keys: Vec<String>,
    written: u64,
}

impl ForeignEntries {
    /// Starts the server at the address of the entries.
    pub async fn start() -> IoResult<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let connections = Arc::<AtomicU64>::default();
        let counter = Arc::clone(&connections);
        tokio::spawn(async move {
            while listener.accept().await.is_ok() {
                counter.fetch_add(1, Ordering::SeqCst);
            }
        });
        Ok(Self { addr, connections, keys: Vec::new(), written: 0 })
    }

    /// Removes the entries that were written before, and writes others.
    pub fn write(&mut self, store: &FakeStore, rng: &mut impl Rng) {
        for key in self.keys.drain(..) {
            store.remove(&key);
        }
        for _ in 0..ENTRIES {
            self.written += 1;
            let prefix = PREFIXES[rng.random_range(0..PREFIXES.len())];
            let odd = ODD_KEYS[rng.random_range(0..ODD_KEYS.len())];
            let key = format!("{prefix}other-{}{odd}", self.written);
            match rng.random_range(0..4) {
                0 => store.put_bytes(&key, &[0xff, 0xfe, 0x00, 0x80, 0xc3]),
                1 => store.put_unencoded(&key, "no base64!"),
                2 => store.put(&key, &"[".repeat(rng.random_range(1..100_000))),
                _ => store.put(&key, &self.changed_entry(rng)),
            }
            self.keys.push(key);
        }
    }

    /// Returns a registry entry that names no instance.
    fn changed_entry(&self, rng: &mut impl Rng) -> String {
        let (old, new) = CHANGES[rng.random_range(0..CHANGES.len())];
        let valid = format!(
            r#"{{"service":"desk","address":"{}","zone":"a","version":"v1","slots":12,"state":"ready",
            "cold_remaining_ms":0,"sequence":1,"born":1}}"#,
            self.addr
        );
        valid.replace(old, new)
    }

    /// Describes the connections to the server; `None` if there were none.
    pub fn violation(&self) -> Option<String> {
        let connections = self.connections.load(Ordering::SeqCst);
        (connections > 0)
            .then(|| format!("{connections} connections to an address of another writer's entries"))
    }
}
