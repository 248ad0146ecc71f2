//! Describes which processes a cluster has, and builds its configuration document.

use crate::bench_error::BenchError;
use base::{AccountName, KeyHash, ModelName, ServiceName, VersionName};
use fleet::{Account, Document, Model, Preset, Service, ServiceKind};

/// Time for which an entry (a daemon that serves callers) waits for the answer of a plain service.
const SERVICE_TIMEOUT_MS: u64 = 2_000;

/// API keys of each additional client account. With 8 keys each, 450 accounts make a document of several hundred KB.
const KEYS_PER_ACCOUNT: usize = 8;

/// Processes of a cluster and their settings.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Names of the failure domains.
    pub domains: Vec<String>,
    /// Daemons in each failure domain.
    pub entries_per_domain: usize,
    /// Engines in each failure domain.
    pub engines_per_domain: usize,
    /// Whether daemons know each other as peers and exchange journal replicas, configuration and membership.
    pub has_peers: bool,
    /// Lines of the section `[orders]` of the daemons' settings; `None` leaves out the section.
    pub orders: Option<String>,
    /// Time between two steps of an engine, which is the time between two tokens of a stream.
    pub token_gap_ms: u64,
    /// Recovery preset of the generation service.
    pub preset: Preset,
    /// Names of the plain services.
    pub services: Vec<String>,
    /// Number of instances of each plain service. They are assigned to the failure domains in turn.
    pub service_instances: usize,
    /// Lines of the section `[recovery]` of the daemons' settings; may be empty.
    pub recovery: String,
    /// Seed from which the seed of each engine's sampling is derived.
    pub seed: u64,
    /// Whether the entries connect to each engine through a separate proxy.
    pub has_engine_proxies: bool,
    /// Whether the entries connect to the platform through a proxy.
    pub has_platform_proxy: bool,
    /// Whether daemons connect to other failure domains and to the platform through the proxies of `Network`, which can
    /// simulate a partition.
    pub has_network: bool,
    /// Worker threads of each daemon.
    pub worker_threads: u64,
    /// Time between two reads of the list of VMs by one daemon.
    pub vm_list_interval_ms: u64,
    /// Client accounts in the configuration document besides the one that sends requests.
    pub extra_accounts: usize,
    /// Models in the configuration document besides the one that is served.
    pub extra_models: usize,
    /// Whether the engines load versions from the platform's weight store.
    pub has_weight_store: bool,
    /// Further arguments of the engines, for example `--batch-limit`.
    pub engine_args: Vec<String>,
    /// Rate limit of the client account in requests per second.
    pub requests_per_s: u32,
    /// Further sections of the daemons' settings, for example `[route]`.
    pub entry_settings: String,
    /// Further arguments of the platform, for example `--vm-list-lag-ms`.
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
            recovery: String::new(),
            seed: 1,
            has_engine_proxies: false,
            has_platform_proxy: false,
            has_network: false,
            worker_threads: 4,
            vm_list_interval_ms: 200,
            extra_accounts: 0,
            extra_models: 0,
            has_weight_store: false,
            engine_args: Vec::new(),
            requests_per_s: 100_000,
            entry_settings: String::new(),
            platform_args: Vec::new(),
        }
    }
}

impl Layout {
    /// API key of the client account that sends requests.
    pub const KEY: &str = "bench-key";

    /// Bootstrap key with which operators authenticate.
    pub const OPERATOR_KEY: &str = "bench-operator-key";

    /// Name of the model, and also of the service whose engines generate with that model.
    pub const MODEL: &str = "composer";

    /// Version of the model that engines have loaded at the start.
    pub const VERSION: &str = "v1";

    /// Returns the configuration document of the cluster.
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
            let mut plain_service =
                Service::new(&ServiceName::try_from(name.as_str())?, ServiceKind::Plain);
            plain_service.calls.answer_wait_ms = SERVICE_TIMEOUT_MS;
            services.push(plain_service);
        }
        let mut document = Document {
            accounts: vec![Account::new(&account, KeyHash::of(Self::KEY), self.requests_per_s)],
            services,
            models: vec![Model::new(&model, &service, &version)],
            ..Document::default()
        };
        for number in 0..self.extra_accounts {
            let name = AccountName::try_from(format!("account-{number:04}"))?;
            let mut account = Account::new(&name, KeyHash::of(&format!("key-{number}-0")), 100);
            let extra_keys =
                (1..KEYS_PER_ACCOUNT).map(|key| KeyHash::of(&format!("key-{number}-{key}")));
            account.key_hashes.extend(extra_keys);
            document.accounts.push(account);
        }
        for number in 0..self.extra_models {
            let name = ModelName::try_from(format!("model-{number}"))?;
            let mut model = Model::new(&name, &service, &version);
            model.adapters = (0..8).map(|adapter| format!("adapter-{adapter}")).collect();
            document.models.push(model);
        }
        Ok(document)
    }
}
