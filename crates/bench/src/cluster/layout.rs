//! What a cluster consists of.

use crate::bench_error::BenchError;
use base::{AccountName, KeyHash, ModelName, ServiceName, VersionName};
use fleet::{Account, Document, Model, Preset, Service, ServiceKind};

/// Shape of a cluster.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Failure domains.
    pub domains: Vec<String>,
    /// Daemons in each failure domain.
    pub entries_per_domain: usize,
    /// Engines in each failure domain.
    pub engines_per_domain: usize,
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
    /// More arguments of the engines, for example `--batch-limit`.
    pub engine_args: Vec<String>,
    /// Requests a second of the client account.
    pub requests_per_s: u32,
    /// More sections of the daemons' settings, for example `[route]`.
    pub entry_settings: String,
    /// More arguments of the platform, for example `--vm-list-lag-ms`.
    pub platform_args: Vec<String>,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            domains: ["lothian", "clyde", "tayside"].map(str::to_owned).to_vec(),
            entries_per_domain: 1,
            engines_per_domain: 2,
            token_gap_ms: 41,
            preset: Preset::Latency,
            seed: 1,
            has_engine_proxies: false,
            has_platform_proxy: false,
            engine_args: Vec::new(),
            requests_per_s: 100_000,
            entry_settings: String::new(),
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
        Ok(Document {
            accounts: vec![Account {
                name: AccountName::try_from("bench")?,
                key_hashes: vec![KeyHash::of(Self::KEY)],
                requests_per_s: self.requests_per_s,
            }],
            services: vec![Service {
                name: service.clone(),
                kind: ServiceKind::Generation,
                preset: self.preset,
            }],
            models: vec![Model {
                name: ModelName::try_from(Self::MODEL)?,
                service,
                version: VersionName::try_from(Self::VERSION)?,
                adapters: Vec::new(),
            }],
        })
    }
}
