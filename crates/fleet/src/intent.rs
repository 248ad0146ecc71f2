//! What an operator wants.

use crate::{
    engine_role::EngineRole,
    service::{Preset, ServiceKind},
};
use base::{AccountName, ModelName, OperatorName, ServiceName, VersionName};
use serde::{Deserialize, Serialize};

/// Limits of a client account; a missing one stays as it is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AccountIntent {
    /// Account.
    pub name: AccountName,
    /// Requests a second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<u32>,
    /// Tokens a second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_per_s: Option<u32>,
    /// Generations at a time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrent_generations: Option<u32>,
}

/// Fields of a service; a missing one stays as it is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceIntent {
    /// Service.
    pub name: ServiceName,
    /// Kind; needed for a new service and fixed afterwards.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<ServiceKind>,
    /// Recovery preset.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub preset: Option<Preset>,
    /// Availability target in thousandths of a percent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub availability_millipct: Option<u32>,
    /// Window of the availability target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub availability_window_s: Option<u32>,
    /// Latency target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub latency_p95_ms: Option<u32>,
    /// Window of the latency target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub latency_window_s: Option<u32>,
    /// Largest number of waiting requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_requests: Option<u32>,
    /// Longest wait.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_wait_ms: Option<u32>,
    /// Whether upstreams check the fencing token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checks_fencing_token: Option<bool>,
    /// Whether upstreams check the sender.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checks_sender: Option<bool>,
}

/// One change that an operator wants.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "intent")]
pub enum Intent {
    /// Creates a client account with a new key.
    CreateAccount(AccountIntent),
    /// Changes limits of a client account.
    ChangeAccount(AccountIntent),
    /// Removes a client account.
    RemoveAccount { name: AccountName },
    /// Gives a client account another key.
    CreateKey { account: AccountName },
    /// Removes the keys of a client account whose hash starts with these digits, at least 8.
    RemoveKey { account: AccountName, hash: String },
    /// Creates a service.
    CreateService(ServiceIntent),
    /// Changes a service.
    ChangeService(ServiceIntent),
    /// Removes a service.
    RemoveService { name: ServiceName },
    /// Creates a model.
    CreateModel { name: ModelName, service: ServiceName, version: VersionName },
    /// Removes a model.
    RemoveModel { name: ModelName },
    /// Serves another version, which new generations use; the present one becomes an older version.
    CreateVersion { model: ModelName, version: VersionName },
    /// Makes an older version the one for new generations.
    ChangeVersion { model: ModelName, version: VersionName },
    /// Stops serving an older version.
    RemoveVersion { model: ModelName, version: VersionName },
    /// Adds an adapter.
    CreateAdapter { model: ModelName, adapter: String },
    /// Removes an adapter.
    RemoveAdapter { model: ModelName, adapter: String },
    /// Sets the number of engines with a role.
    CreateRole { model: ModelName, role: EngineRole, engines: u32 },
    /// Changes the number of engines with a role.
    ChangeRole { model: ModelName, role: EngineRole, engines: u32 },
    /// Removes a role.
    RemoveRole { model: ModelName, role: EngineRole },
    /// Creates an operator with a new key.
    CreateOperator { name: OperatorName },
    /// Removes an operator.
    RemoveOperator { name: OperatorName },
}

impl Intent {
    /// Name of the account or operator that gets a new key.
    pub fn key_owner(&self) -> Option<&str> {
        match self {
            Self::CreateAccount(account) => Some(account.name.as_str()),
            Self::CreateKey { account } => Some(account.as_str()),
            Self::CreateOperator { name } => Some(name.as_str()),
            _ => None,
        }
    }
}
