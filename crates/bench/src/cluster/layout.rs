//! What a cluster consists of.

use crate::bench_error::BenchError;
use base::{AccountName, KeyHash, ModelName, ServiceName, VersionName};
use fleet::{Account, Document, Model, Preset, Service, ServiceKind};

/// Keys of each further client account, so that 450 of them make a document of several hundred KB.
const KEYS_PER_ACCOUNT: usize = 8;

/// Shape of a cluster.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Failure domains.
    pub domains: Vec<String>,
    /// Daemons in each failure domain.
    pub entries_per_domain: usize,
    /// Engines in each failure domain.
    pub engines_per_domain: usize,
    /// Whether daemons exchange journal copies.
    pub has_peers: bool,
    /// Time between tokens.
    pub token_gap_ms: u64,
    /// Recovery preset.
    pub preset: Preset,
    /// Seed of the engines' sampling.
    pub seed: u64,
    /// Whether the entries reach each engine through a proxy of its own.
    pub has_engine_proxies: bool,
    /// Whether the entries reach the platform through a proxy.
    pub has_platform_proxy: bool,
    /// Whether daemons reach other failure domains and the platform through the proxies of a `Network`.
    pub has_network: bool,
    /// Threads of each daemon.
    pub worker_threads: u64,
    /// Time between two reads of the VM list by one daemon.
    pub vm_list_interval_ms: u64,
    /// Client accounts besides the one that asks.
    pub accounts: usize,
    /// Models besides the one that is served.
    pub models: usize,
    /// More arguments of the engines, for example `--batch-limit`.
    pub engine_args: Vec<String>,
    /// More arguments of the platform, for example `--vm-list-lag-ms`.
    pub platform_args: Vec<String>,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            domains: ["lothian", "clyde", "tayside"].map(str::to_owned).to_vec(),
            entries_per_domain: 1,
            engines_per_domain: 2,
            has_peers: true,
            token_gap_ms: 41,
            preset: Preset::Latency,
            seed: 1,
            has_engine_proxies: false,
            has_platform_proxy: false,
            has_network: false,
            worker_threads: 4,
            vm_list_interval_ms: 200,
            accounts: 0,
            models: 0,
            engine_args: Vec::new(),
            platform_args: Vec::new(),
        }
    }
}

impl Layout {
    /// Key of the client account.
    pub const KEY: &str = "bench-key";

    /// Model, and the service whose engines run it.
    pub const MODEL: &str = "composer";

    /// Version of the model.
    pub const VERSION: &str = "v1";

    /// Configuration document of the cluster.
    ///
    /// # Errors
    ///
    /// A name is not valid.
    pub fn document(&self) -> Result<Document, BenchError> {
        let service = ServiceName::try_from(Self::MODEL)?;
        let mut document = Document {
            accounts: vec![Account {
                name: AccountName::try_from("bench")?,
                key_hashes: vec![KeyHash::of(Self::KEY)],
                requests_per_s: 100_000,
            }],
            services: vec![Service {
                name: service.clone(),
                kind: ServiceKind::Generation,
                preset: self.preset,
            }],
            models: vec![Model {
                name: ModelName::try_from(Self::MODEL)?,
                service: service.clone(),
                version: VersionName::try_from(Self::VERSION)?,
                adapters: Vec::new(),
            }],
        };
        for number in 0..self.accounts {
            let keys = 0..KEYS_PER_ACCOUNT;
            document.accounts.push(Account {
                name: AccountName::try_from(format!("account-{number:04}"))?,
                key_hashes: keys.map(|key| KeyHash::of(&format!("key-{number}-{key}"))).collect(),
                requests_per_s: 100,
            });
        }
        for number in 0..self.models {
            document.models.push(Model {
                name: ModelName::try_from(format!("model-{number}"))?,
                service: service.clone(),
                version: VersionName::try_from(Self::VERSION)?,
                adapters: (0..8).map(|adapter| format!("adapter-{adapter}")).collect(),
            });
        }
        Ok(document)
    }
}
