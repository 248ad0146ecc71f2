//! Errors of the configuration document.

use base::{AccountName, ModelName, ServiceName};
use quick_error::quick_error;

quick_error! {
    /// Why a document is not valid.
    #[derive(Debug)]
    pub enum DocumentError {
        /// The text is not the expected JSON.
        Json(cause: serde_json::Error) {
            display("the document is not valid JSON: {cause}")
            source(cause)
            from()
        }
        /// Two accounts have the same name.
        DuplicateAccount(name: AccountName) {
            display("client account {name} is defined twice")
        }
        /// Two services have the same name.
        DuplicateService(name: ServiceName) {
            display("service {name} is defined twice")
        }
        /// Two models have the same name.
        DuplicateModel(name: ModelName) {
            display("model {name} is defined twice")
        }
        /// A model names a service that is not defined, or one of plain upstreams.
        ModelService(model: ModelName, service: ServiceName) {
            display("model {model} needs a generation service, {service} is none")
        }
    }
}
