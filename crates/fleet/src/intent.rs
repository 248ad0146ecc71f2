//! Changes that an operator requests.

use crate::{
    engine_role::EngineRole,
    service::{Preset, ServiceKind},
};
use base::{AccountName, ModelName, OperatorName, ServiceName, VersionName};
use serde::{Deserialize, Serialize};

/// Limits of a client account. A limit that is `None` remains unchanged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AccountIntent {
    /// Name of the account to create or change.
    pub name: AccountName,
    /// Maximum requests per second, summed over all entries.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<u32>,
    /// Maximum generated tokens per second, summed over all entries.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_per_s: Option<u32>,
    /// Maximum concurrent generations, summed over all entries.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrent_generations: Option<u32>,
}

/// Fields of a service. A field that is `None` remains unchanged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceIntent {
    /// Name of the service to create or change.
    pub name: ServiceName,
    /// Kind of the upstreams. It is required for a new service and cannot be changed afterwards.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<ServiceKind>,
    /// Preset of the recovery policy.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub preset: Option<Preset>,
    /// Target share of successful requests, in thousandths of a percent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub availability_millipct: Option<u32>,
    /// Window of the availability target in seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub availability_window_s: Option<u32>,
    /// Target of the 95th percentile of the latency in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub latency_p95_ms: Option<u32>,
    /// Window of the latency target in seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub latency_window_s: Option<u32>,
    /// Maximum number of queued requests at each entry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_requests: Option<u32>,
    /// Maximum wait in the queue in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_wait_ms: Option<u32>,
    /// Whether upstreams reject orders with an old fencing token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checks_fencing_token: Option<bool>,
    /// Whether upstreams authenticate the sender of an order.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checks_sender: Option<bool>,
}

/// One change of the configuration that an operator requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "intent")]
pub enum Intent {
    /// Creates a client account with a new key.
    CreateAccount(AccountIntent),
    /// Changes the limits of a client account.
    ChangeAccount(AccountIntent),
    /// Removes a client account with its keys.
    RemoveAccount { name: AccountName },
    /// Adds a new key to a client account.
    CreateKey { account: AccountName },
    /// Removes the keys of a client account whose hash starts with `hash`, which has at least 8 digits.
    RemoveKey { account: AccountName, hash: String },
    /// Creates a service. Fields that the intent leaves out get their defaults.
    CreateService(ServiceIntent),
    /// Changes the fields of a service that the intent contains.
    ChangeService(ServiceIntent),
    /// Removes a service that no model uses.
    RemoveService { name: ServiceName },
    /// Creates a model that the engines of a generation service run, with its first version.
    CreateModel { name: ModelName, service: ServiceName, version: VersionName },
    /// Removes a model that no running generation is pinned to.
    RemoveModel { name: ModelName },
    /// Adds a version for new generations. The current version becomes an older version.
    CreateVersion { model: ModelName, version: VersionName },
    /// Selects an older version for new generations. The current version becomes an older version.
    ChangeVersion { model: ModelName, version: VersionName },
    /// Stops serving an older version that no running generation is pinned to.
    RemoveVersion { model: ModelName, version: VersionName },
    /// Adds an adapter to a model.
    CreateAdapter { model: ModelName, adapter: String },
    /// Removes an adapter from a model.
    RemoveAdapter { model: ModelName, adapter: String },
    /// Adds a role with its number of engines to a model.
    CreateRole { model: ModelName, role: EngineRole, engines: u32 },
    /// Changes the number of engines with a role.
    ChangeRole { model: ModelName, role: EngineRole, engines: u32 },
    /// Removes a role from a model.
    RemoveRole { model: ModelName, role: EngineRole },
    /// Creates an operator with a new key.
    CreateOperator { name: OperatorName },
    /// Removes an operator with the operator's keys.
    RemoveOperator { name: OperatorName },
}

impl Intent {
    /// Returns the name of the account or operator that the intent creates a key for; `None` if it creates no key.
    pub fn key_owner(&self) -> Option<&str> {
        match self {
            Self::CreateAccount(account) => Some(account.name.as_str()),
            Self::CreateKey { account } => Some(account.as_str()),
            Self::CreateOperator { name } => Some(name.as_str()),
            _ => None,
        }
    }
}
