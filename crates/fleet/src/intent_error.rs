//! Errors of intents.

use base::{ModelName, VersionName};
use quick_error::quick_error;

quick_error! {
    /// Why an intent cannot be planned.
    #[derive(Debug)]
    pub enum IntentError {
        /// The text is not `VERB KIND NAME… FIELD=VALUE…`.
        Words(text: String) {
            display("{text:?} is not VERB KIND NAME... FIELD=VALUE...")
        }
        /// A field is given twice.
        Repeated(name: String) {
            display("field {name} is given twice")
        }
        /// The fields do not fit the intent.
        Json(cause: serde_json::Error) {
            display("the intent is not valid: {cause}")
            source(cause)
            from()
        }
        /// What is to be created exists.
        Exists(what: String) {
            display("{what} exists already")
        }
        /// What is to be changed or removed does not exist.
        Missing(what: String) {
            display("{what} does not exist")
        }
        /// A field that the intent needs is missing.
        FieldMissing(name: &'static str) {
            display("field {name} is needed")
        }
        /// A field cannot be changed after the creation.
        Fixed(name: &'static str) {
            display("field {name} cannot be changed")
        }
        /// A name in the intent is not valid.
        Name(cause: base::NameError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// Generations that are running use the version.
        Pinned(model: ModelName, version: VersionName) {
            display("running generations are pinned to version {version} of model {model}")
        }
        /// The version is the one for new generations.
        LastVersion(model: ModelName, version: VersionName) {
            display("version {version} is the one for new generations of model {model}")
        }
        /// A service that models use cannot be removed.
        InUse(what: String) {
            display("{what} is still in use")
        }
        /// The plan has no intents, or it changes nothing.
        Nothing {
            display("the plan changes nothing")
        }
        /// No key was generated for an intent that needs one.
        KeyMissing {
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
