//! What a cluster consists of.

use crate::bench_error::BenchError;
use base::{AccountName, KeyHash, ModelName, ServiceName, VersionName};
use fleet::{Account, Document, Model, Preset, Service, ServiceKind};

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
    /// Whether daemons exchange journal copies.
    pub has_peers: bool,
    /// Lines of the section `[orders]` of the daemons; none without it.
    pub orders: Option<String>,
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
    /// Whether the entries reach each engine through a proxy of its own.
    pub has_engine_proxies: bool,
    /// Whether the entries reach the platform through a proxy.
    pub has_platform_proxy: bool,
    /// Whether the engines load versions from the platform's weight store.
    pub has_weight_store: bool,
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
            orders: None,
            token_gap_ms: 41,
            preset: Preset::Latency,
            services: Vec::new(),
            service_instances: 2,
            seed: 1,
            has_engine_proxies: false,
            has_platform_proxy: false,
            has_weight_store: false,
            engine_args: Vec::new(),
            platform_args: Vec::new(),
        }
    }
}

impl Layout {
    /// Key of the client account.
    pub const KEY: &str = "bench-key";

    /// Bootstrap key of operators.
    pub const OPERATOR_KEY: &str = "bench-operator-key";

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
        let account = AccountName::try_from("bench")?;
        let model = ModelName::try_from(Self::MODEL)?;
        let version = VersionName::try_from(Self::VERSION)?;
        let mut composer = Service::new(&service, ServiceKind::Generation);
        composer.preset = self.preset;
        let mut services = vec![composer];
        for name in &self.services {
            let mut plain =
                Service::new(&ServiceName::try_from(name.as_str())?, ServiceKind::Plain);
            plain.calls.answer_wait_ms = SERVICE_WAIT_MS;
            services.push(plain);
        }
        Ok(Document {
            accounts: vec![Account::new(&account, KeyHash::of(Self::KEY), 100_000)],
            services,
            models: vec![Model::new(&model, &service, &version)],
            ..Document::default()
        })
    }
}
