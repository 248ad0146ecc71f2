//! Errors of intents.

use base::{ModelName, VersionName};
use quick_error::quick_error;

quick_error! {
    /// Why an intent cannot be planned.
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
        /// The fields do not fit the intent.
        Json(cause: serde_json::Error) {
            display("the intent is not valid: {cause}")
            source(cause)
            from()
        }
        /// What is to be created exists.
        AlreadyExists(what: String) {
            display("{what} exists already")
        }
        /// What is to be changed or removed does not exist.
        NotFound(what: String) {
            display("{what} does not exist")
        }
        /// A field that the intent needs is missing.
        MissingField(name: &'static str) {
            display("field {name} is needed")
        }
        /// A field cannot be changed after the creation.
        ImmutableField(name: &'static str) {
            display("field {name} cannot be changed")
        }
        /// A name in the intent is not valid.
        InvalidName(cause: base::NameError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// Generations that are running use the version.
        Pinned(model: ModelName, version: VersionName) {
            display("running generations are pinned to version {version} of model {model}")
        }
        /// The version is the one for new generations.
        CurrentVersion(model: ModelName, version: VersionName) {
            display("version {version} is the one for new generations of model {model}")
        }
        /// A service that models use cannot be removed.
        InUse(what: String) {
            display("{what} is still in use")
        }
        /// The plan has no intents, or it changes nothing.
        NoChange {
            display("the plan changes nothing")
        }
        /// No key was generated for an intent that needs one.
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
