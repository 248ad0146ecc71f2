//! Parser of the text form of intents, for example `create account borders requests_per_s=10`.

use crate::{intent::Intent, intent_error::IntentError};
use serde_json::{Map, Value};

/// Fields whose values are names even if they look like numbers.
const NAME_FIELDS: [&str; 4] = ["kind", "preset", "service", "version"];

/// Parses an intent from `VERB KIND NAME… FIELD=VALUE…`.
///
/// # Errors
///
/// `Syntax` if a word is missing or unexpected, `DuplicateField` if a field is given twice, `Json` if the fields don't
/// match the intent.
pub fn parse_intent(text: &str) -> Result<Intent, IntentError> {
    let mut words = text.split_whitespace();
    let (Some(verb), Some(kind)) = (words.next(), words.next()) else {
        return Err(IntentError::Syntax(text.to_owned()));
    };
    let mut names = positional_fields(verb, kind).iter();
    let mut fields = Map::new();
    fields.insert("intent".to_owned(), format!("{verb}_{kind}").into());
    for word in words {
        let (name, value) = match word.split_once('=') {
            Some((name, value)) => (name, field_value(name, value)),
            None => {
                let name = names.next().ok_or_else(|| IntentError::Syntax(text.to_owned()))?;
                (*name, Value::from(word))
            }
        };
        if fields.insert(name.to_owned(), value).is_some() {
            return Err(IntentError::DuplicateField(name.to_owned()));
        }
    }
    Ok(serde_json::from_value(Value::Object(fields))?)
}

/// Returns the names of the fields that are given by position.
fn positional_fields(verb: &str, kind: &str) -> &'static [&'static str] {
    match (verb, kind) {
        (_, "adapter") => &["model", "adapter"],
        (_, "role") => &["model", "role"],
        (_, "version") => &["model", "version"],
        ("remove", "key") => &["account", "hash"],
        (_, "key") => &["account"],
        _ => &["name"],
    }
}

fn field_value(name: &str, value: &str) -> Value {
    if NAME_FIELDS.contains(&name) {
        return value.into();
    }
    match (value.parse::<u32>(), value.parse::<bool>()) {
        (Ok(number), _) => number.into(),
        (_, Ok(flag)) => flag.into(),
        _ => value.into(),
    }
}
