//! Errors in the text of an intent or in its application to a document.

use base::{ModelName, VersionName};
use quick_error::quick_error;

quick_error! {
    /// Error of an intent that cannot be planned.
    #[derive(Debug)]
    pub enum IntentError {
        /// The text is not `VERB KIND NAME… FIELD=VALUE…`.
        Syntax(text: String) {
            display("{text:?} is not VERB KIND NAME... FIELD=VALUE...")
        }
        /// A field is given twice.
        DuplicateField(name: String) {
            display("field {name} is given twice")
        }
        /// The fields don't match the intent.
        Json(cause: serde_json::Error) {
            display("the intent is not valid: {cause}")
            source(cause)
            from()
        }
        /// The item to create exists already.
        AlreadyExists(what: String) {
            display("{what} exists already")
        }
        /// The item to change or remove doesn't exist.
        NotFound(what: String) {
            display("{what} does not exist")
        }
        /// A required field is missing.
        MissingField(name: &'static str) {
            display("field {name} is needed")
        }
        /// The field cannot be changed after the creation of the item.
        ImmutableField(name: &'static str) {
            display("field {name} cannot be changed")
        }
        /// A name in the intent is not valid.
        InvalidName(cause: base::NameError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// Running generations are pinned to the version.
        Pinned(model: ModelName, version: VersionName) {
            display("running generations are pinned to version {version} of model {model}")
        }
        /// The version to remove is the one for new generations.
        CurrentVersion(model: ModelName, version: VersionName) {
            display("version {version} is the one for new generations of model {model}")
        }
        /// The service to remove is used by models.
        InUse(what: String) {
            display("{what} is still in use")
        }
        /// The plan has no intents, or they change nothing.
        NoChange {
            display("the plan changes nothing")
        }
        /// No key was generated for an intent that creates one.
        MissingKey {
            display("no key was generated for the intent")
        }
        /// The resulting document is not valid.
        Document(cause: crate::document_error::DocumentError) {
            display("{cause}")
            source(cause)
            from()
        }
    }
}
