//! Changes that each kind of intent makes to a document.

use crate::{
    account::Account,
    document::Document,
    engine_role::{EngineRole, RoleCount},
    intent::{AccountIntent, Intent, ServiceIntent},
    intent_error::IntentError,
    model::Model,
    operator::Operator,
    plan_context::PlanContext,
    service::Service,
};
use base::{AccountName, KeyHash, ModelName, ServiceName, VersionName};

/// Requests per second of a new account whose intent sets no limit.
const DEFAULT_REQUESTS_PER_S: u32 = 10;

/// Minimum number of digits of a key's hash that identify the key to remove.
const MIN_HASH_PREFIX_DIGITS: usize = 8;

/// Applies one intent to the document. After an error, the document may be partly changed and must be discarded.
///
/// # Errors
///
/// The intent refers to items that don't exist, creates ones that do, lacks a field or a key, changes a fixed field, or
/// removes an item that is in use or that running generations are pinned to.
pub(crate) fn apply(
    document: &mut Document,
    intent: &Intent,
    key_hash: Option<&KeyHash>,
    context: &PlanContext,
) -> Result<(), IntentError> {
    match intent {
        Intent::CreateAccount(wanted) => create_account(document, wanted, key_hash),
        Intent::ChangeAccount(wanted) => {
            set_limits(account_mut(document, &wanted.name)?, wanted);
            Ok(())
        }
        Intent::RemoveAccount { name } => {
            let is_kept = |account: &Account| account.name != *name;
            remove_items(&mut document.accounts, is_kept, || format!("client account {name}"))
        }
        Intent::CreateKey { account: name } => {
            let key_hash = key_hash.ok_or(IntentError::MissingKey)?.clone();
            account_mut(document, name)?.key_hashes.push(key_hash);
            Ok(())
        }
        Intent::RemoveKey { account: name, hash } => {
            let key_hashes = &mut account_mut(document, name)?.key_hashes;
            let is_kept = |known: &KeyHash| {
                hash.len() < MIN_HASH_PREFIX_DIGITS || !known.as_str().starts_with(hash.as_str())
            };
            remove_items(key_hashes, is_kept, || format!("key {hash} of client account {name}"))
        }
        Intent::CreateService(wanted) => create_service(document, wanted),
        Intent::ChangeService(wanted) => change_service(document, wanted),
        Intent::RemoveService { name } => {
            if document.models.iter().any(|model| model.service == *name) {
                return Err(IntentError::InUse(format!("service {name}")));
            }
            let is_kept = |service: &Service| service.name != *name;
            remove_items(&mut document.services, is_kept, || format!("service {name}"))
        }
        Intent::CreateModel { name, service, version } => {
            create_model(document, name, service, version)
        }
        Intent::RemoveModel { name } => remove_model(document, name, context),
        Intent::CreateVersion { model: name, version } => {
            let model = model_mut(document, name)?;
            if model.has_version(version) {
                return Err(IntentError::AlreadyExists(format!(
                    "version {version} of model {name}"
                )));
            }
            let older = std::mem::replace(&mut model.version, version.clone());
            model.older_versions.push(older);
            Ok(())
        }
        Intent::ChangeVersion { model: name, version } => change_version(document, name, version),
        Intent::RemoveVersion { model: name, version } => {
            remove_version(document, name, version, context)
        }
        Intent::CreateAdapter { model: name, adapter } => {
            ModelName::try_from(adapter.as_str())?;
            let adapters = &mut model_mut(document, name)?.adapters;
            if adapters.contains(adapter) {
                return Err(IntentError::AlreadyExists(format!(
                    "adapter {adapter} of model {name}"
                )));
            }
            adapters.push(adapter.clone());
            Ok(())
        }
        Intent::RemoveAdapter { model: name, adapter } => {
            let adapters = &mut model_mut(document, name)?.adapters;
            remove_items(adapters, |known| known != adapter, || format!("adapter {adapter}"))
        }
        Intent::CreateRole { model: name, role, engines } => {
            let model = model_mut(document, name)?;
            if model.roles.iter().any(|known| known.role == *role) {
                return Err(IntentError::AlreadyExists(format!("role {role:?} of model {name}")));
            }
            model.roles.push(RoleCount { role: *role, engines: *engines });
            Ok(())
        }
        Intent::ChangeRole { model: name, role, engines } => {
            change_role(document, name, *role, *engines)
        }
        Intent::RemoveRole { model: name, role } => {
            let roles = &mut model_mut(document, name)?.roles;
            remove_items(roles, |known| known.role != *role, || format!("role {role:?}"))
        }
        Intent::CreateOperator { name } => {
            let key_hash = key_hash.ok_or(IntentError::MissingKey)?.clone();
            if document.operators.iter().any(|operator| operator.name == *name) {
                return Err(IntentError::AlreadyExists(format!("operator {name}")));
            }
            document.operators.push(Operator { name: name.clone(), key_hashes: vec![key_hash] });
            Ok(())
        }
        Intent::RemoveOperator { name } => {
            let is_kept = |operator: &Operator| operator.name != *name;
            remove_items(&mut document.operators, is_kept, || format!("operator {name}"))
        }
    }
}

fn create_account(
    document: &mut Document,
    wanted: &AccountIntent,
    key_hash: Option<&KeyHash>,
) -> Result<(), IntentError> {
    if document.account(&wanted.name).is_some() {
        return Err(IntentError::AlreadyExists(format!("client account {}", wanted.name)));
    }
    let key_hash = key_hash.ok_or(IntentError::MissingKey)?;
    let mut account = Account::new(&wanted.name, key_hash.clone(), DEFAULT_REQUESTS_PER_S);
    set_limits(&mut account, wanted);
    document.accounts.push(account);
    Ok(())
}

/// Sets the limits that the intent names, and leaves the others unchanged.
fn set_limits(account: &mut Account, wanted: &AccountIntent) {
    account.requests_per_s = wanted.requests_per_s.unwrap_or(account.requests_per_s);
    account.tokens_per_s = wanted.tokens_per_s.or(account.tokens_per_s);
    account.concurrent_generations =
        wanted.concurrent_generations.or(account.concurrent_generations);
}

fn create_service(document: &mut Document, wanted: &ServiceIntent) -> Result<(), IntentError> {
    if document.service(&wanted.name).is_some() {
        return Err(IntentError::AlreadyExists(format!("service {}", wanted.name)));
    }
    let kind = wanted.kind.ok_or(IntentError::MissingField("kind"))?;
    let mut service = Service::new(&wanted.name, kind);
    set_fields(&mut service, wanted);
    document.services.push(service);
    Ok(())
}

fn change_service(document: &mut Document, wanted: &ServiceIntent) -> Result<(), IntentError> {
    let service = document
        .services
        .iter_mut()
        .find(|service| service.name == wanted.name)
        .ok_or_else(|| IntentError::NotFound(format!("service {}", wanted.name)))?;
    if wanted.kind.is_some_and(|kind| kind != service.kind) {
        return Err(IntentError::ImmutableField("kind"));
    }
    set_fields(service, wanted);
    Ok(())
}

/// Sets the fields that the intent names, and leaves the others unchanged.
fn set_fields(service: &mut Service, wanted: &ServiceIntent) {
    service.preset = wanted.preset.unwrap_or(service.preset);
    let objectives = &mut service.objectives;
    objectives.availability_millipct =
        wanted.availability_millipct.or(objectives.availability_millipct);
    objectives.availability_window_s =
        wanted.availability_window_s.or(objectives.availability_window_s);
    objectives.latency_p95_ms = wanted.latency_p95_ms.or(objectives.latency_p95_ms);
    objectives.latency_window_s = wanted.latency_window_s.or(objectives.latency_window_s);
    let queue = &mut service.queue;
    queue.max_requests = wanted.max_requests.unwrap_or(queue.max_requests);
    queue.max_wait_ms = wanted.max_wait_ms.unwrap_or(queue.max_wait_ms);
    let orders = &mut service.orders;
    orders.checks_fencing_token =
        wanted.checks_fencing_token.unwrap_or(orders.checks_fencing_token);
    orders.checks_sender = wanted.checks_sender.unwrap_or(orders.checks_sender);
}

fn create_model(
    document: &mut Document,
    name: &ModelName,
    service: &ServiceName,
    version: &VersionName,
) -> Result<(), IntentError> {
    if document.model(name).is_some() {
        return Err(IntentError::AlreadyExists(format!("model {name}")));
    }
    document.models.push(Model::new(name, service, version));
    Ok(())
}

fn remove_model(
    document: &mut Document,
    name: &ModelName,
    context: &PlanContext,
) -> Result<(), IntentError> {
    if let Some((_, version)) = context.pinned.iter().find(|(model, _)| model == name) {
        return Err(IntentError::Pinned(name.clone(), version.clone()));
    }
    remove_items(&mut document.models, |model| model.name != *name, || format!("model {name}"))
}

/// Swaps the version for new generations with an older one.
fn change_version(
    document: &mut Document,
    name: &ModelName,
    version: &VersionName,
) -> Result<(), IntentError> {
    let model = model_mut(document, name)?;
    let position =
        model.older_versions.iter().position(|older| older == version).ok_or_else(|| {
            IntentError::NotFound(format!("older version {version} of model {name}"))
        })?;
    std::mem::swap(&mut model.version, &mut model.older_versions[position]);
    Ok(())
}

fn remove_version(
    document: &mut Document,
    name: &ModelName,
    version: &VersionName,
    context: &PlanContext,
) -> Result<(), IntentError> {
    let model = model_mut(document, name)?;
    if context.pinned.contains(&(name.clone(), version.clone())) {
        return Err(IntentError::Pinned(name.clone(), version.clone()));
    }
    if model.version == *version {
        return Err(IntentError::CurrentVersion(name.clone(), version.clone()));
    }
    let what = || format!("version {version} of model {name}");
    remove_items(&mut model.older_versions, |older| older != version, what)
}

fn change_role(
    document: &mut Document,
    name: &ModelName,
    role: EngineRole,
    engines: u32,
) -> Result<(), IntentError> {
    let count = model_mut(document, name)?
        .roles
        .iter_mut()
        .find(|known| known.role == role)
        .ok_or_else(|| IntentError::NotFound(format!("role {role:?} of model {name}")))?;
    count.engines = engines;
    Ok(())
}

fn account_mut<'d>(
    document: &'d mut Document,
    name: &AccountName,
) -> Result<&'d mut Account, IntentError> {
    let missing = || IntentError::NotFound(format!("client account {name}"));
    document.accounts.iter_mut().find(|account| account.name == *name).ok_or_else(missing)
}

fn model_mut<'d>(
    document: &'d mut Document,
    name: &ModelName,
) -> Result<&'d mut Model, IntentError> {
    let missing = || IntentError::NotFound(format!("model {name}"));
    document.models.iter_mut().find(|model| model.name == *name).ok_or_else(missing)
}

/// Removes the items for which `is_kept` is false. Fails with `NotFound`, which names the item by `what`, if there is
/// nothing to remove.
fn remove_items<T>(
    items: &mut Vec<T>,
    is_kept: impl Fn(&T) -> bool,
    what: impl Fn() -> String,
) -> Result<(), IntentError> {
    let count = items.len();
    items.retain(is_kept);
    if items.len() == count { Err(IntentError::NotFound(what())) } else { Ok(()) }
}
