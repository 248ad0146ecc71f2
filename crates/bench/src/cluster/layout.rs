//! What a cluster consists of.

use crate::bench_error::BenchError;
use base::{AccountName, KeyHash, ModelName, ServiceName, VersionName};
use fleet::{Account, CallRules, Document, Model, Preset, Service, ServiceKind};

/// Longest wait for the answer of a plain service.
const SERVICE_WAIT_MS: u64 = 2_000;

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
    /// Plain services.
    pub services: Vec<String>,
    /// Instances of each plain service, spread over the failure domains.
    pub service_instances: usize,
    /// Seed of the engines' sampling.
    pub seed: u64,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            domains: ["lothian", "clyde", "tayside"].map(str::to_owned).to_vec(),
            entries_per_domain: 1,
            engines_per_domain: 2,
            token_gap_ms: 41,
            preset: Preset::Latency,
            services: Vec::new(),
            service_instances: 2,
            seed: 1,
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
        let mut services = vec![Service {
            name: service.clone(),
            kind: ServiceKind::Generation,
            preset: self.preset,
            calls: CallRules::default(),
        }];
        for name in &self.services {
            services.push(Service {
                name: ServiceName::try_from(name.as_str())?,
                kind: ServiceKind::Plain,
                preset: Preset::default(),
                calls: CallRules { answer_wait_ms: SERVICE_WAIT_MS, ..CallRules::default() },
            });
        }
        Ok(Document {
            accounts: vec![Account {
                name: AccountName::try_from("bench")?,
                key_hashes: vec![KeyHash::of(Self::KEY)],
                requests_per_s: 100_000,
            }],
            services,
            models: vec![Model {
                name: ModelName::try_from(Self::MODEL)?,
                service,
                version: VersionName::try_from(Self::VERSION)?,
                adapters: Vec::new(),
            }],
        })
    }
}
