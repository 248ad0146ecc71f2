//! Errors of the configuration document.

use base::{AccountName, ModelName, OperatorName, ServiceName, VersionName};
use quick_error::quick_error;

quick_error! {
    /// Error of an invalid configuration document.
    #[derive(Debug)]
    pub enum DocumentError {
        /// The text is not JSON, or it doesn't match the document's schema.
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
        /// Two operators have the same name.
        DuplicateOperator(name: OperatorName) {
            display("operator {name} is defined twice")
        }
        /// The version for new generations is also listed as an older version.
        DuplicateVersion(model: ModelName, version: VersionName) {
            display("version {version} of model {model} is defined twice")
        }
        /// The document exceeds the maximum size of a value in the platform.
        TooLarge(size_bytes: usize) {
            display("the document has {size_bytes} bytes, at most 1000000 are allowed")
        }
        /// Two models have the same name.
        DuplicateModel(name: ModelName) {
            display("model {name} is defined twice")
        }
        /// A model names a service that is not defined or not a generation service.
        NotGenerationService(model: ModelName, service: ServiceName) {
            display("model {model} needs a generation service, {service} is none")
        }
    }
}
