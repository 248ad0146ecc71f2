//! Fleet configuration document.

use crate::{
    account::Account,
    confirmed_plan::ConfirmedPlan,
    document_error::DocumentError,
    model::Model,
    operator::Operator,
    service::{Service, ServiceKind},
};
use base::{AccountName, HashSet, KeyHash, ModelName, PlanId, ServiceName};
use serde::{Deserialize, Serialize};

/// Maximum size of an encoded document in bytes, which is the maximum size of a value in the platform.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// Everything that operators define, stored as one value in the platform.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Document {
    /// Client accounts with their keys and limits.
    #[serde(default)]
    pub accounts: Vec<Account>,
    /// Services that requests are routed to.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Models that the engines of services run.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Operators who may change the document.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// Number of plans that were confirmed so far; 0 in a document that was written without a plan.
    #[serde(default)]
    pub sequence: u64,
    /// Latest confirmed plans, oldest first, at most `MAX_RECENT_PLANS`.
    #[serde(default)]
    pub recent_plans: Vec<ConfirmedPlan>,
}

impl Document {
    /// Checks that names are unique, that every model belongs to a generation service, and that no model lists its
    /// version for new generations among its older versions.
    ///
    /// # Errors
    ///
    /// The first violation that is found.
    pub fn check(&self) -> Result<(), DocumentError> {
        let mut accounts = HashSet::default();
        for account in &self.accounts {
            if !accounts.insert(&account.name) {
                return Err(DocumentError::DuplicateAccount(account.name.clone()));
            }
        }
        let mut services = HashSet::default();
        for service in &self.services {
            if !services.insert(&service.name) {
                return Err(DocumentError::DuplicateService(service.name.clone()));
            }
        }
        let mut operators = HashSet::default();
        for operator in &self.operators {
            if !operators.insert(&operator.name) {
                return Err(DocumentError::DuplicateOperator(operator.name.clone()));
            }
        }
        let mut models = HashSet::default();
        for model in &self.models {
            if !models.insert(&model.name) {
                return Err(DocumentError::DuplicateModel(model.name.clone()));
            }
            let is_generation = self
                .service(&model.service)
                .is_some_and(|service| service.kind == ServiceKind::Generation);
            if !is_generation {
                return Err(DocumentError::NotGenerationService(
                    model.name.clone(),
                    model.service.clone(),
                ));
            }
            if model.older_versions.contains(&model.version) {
                return Err(DocumentError::DuplicateVersion(
                    model.name.clone(),
                    model.version.clone(),
                ));
            }
        }
        Ok(())
    }

    /// Returns the account that has a key with this hash.
    pub fn account_by_key(&self, key_hash: &KeyHash) -> Option<&Account> {
        self.accounts.iter().find(|account| account.key_hashes.contains(key_hash))
    }

    /// Returns the account with a name.
    pub fn account(&self, name: &AccountName) -> Option<&Account> {
        self.accounts.iter().find(|account| account.name == *name)
    }

    /// Returns the operator who has a key with this hash.
    pub fn operator_by_key(&self, key_hash: &KeyHash) -> Option<&Operator> {
        self.operators.iter().find(|operator| operator.key_hashes.contains(key_hash))
    }

    /// Returns the record of a confirmed plan; `None` if the plan was not confirmed, or if later plans have displaced
    /// its record.
    pub fn confirmed_plan(&self, plan_id: &PlanId) -> Option<&ConfirmedPlan> {
        self.recent_plans.iter().find(|plan| plan.plan_id == *plan_id)
    }

    /// Returns the service with a name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// Returns the model with a name.
    pub fn model(&self, name: &ModelName) -> Option<&Model> {
        self.models.iter().find(|model| model.name == *name)
    }

    /// Decodes a document from JSON and checks it.
    ///
    /// # Errors
    ///
    /// `Json` if the text is not a document in JSON, or an error of `check`.
    pub fn decode(text: &str) -> Result<Self, DocumentError> {
        let document: Self = serde_json::from_str(text)?;
        document.check()?;
        Ok(document)
    }

    /// Encodes the document as JSON.
    ///
    /// # Errors
    ///
    /// `TooLarge` if the text exceeds `MAX_DOCUMENT_BYTES`; `Json` if the encoding fails, which is not expected.
    pub fn encode(&self) -> Result<String, DocumentError> {
        let text = serde_json::to_string(self)?;
        if text.len() > MAX_DOCUMENT_BYTES {
            return Err(DocumentError::TooLarge(text.len()));
        }
        Ok(text)
    }
}
