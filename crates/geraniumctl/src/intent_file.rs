//! Reads the intents of a new plan from a file.

use crate::ctl_error::CtlError;
use admin::PlanRequest;
use fleet::Intent;
use std::{fs, path::Path};

/// Reads the request for a plan from a file in TOML (`*.toml`) or JSON. A JSON file may also contain only the list of
/// intents.
///
/// # Errors
///
/// The file cannot be read, or its content is not a valid request.
pub(crate) fn read(path: &Path) -> Result<PlanRequest, CtlError> {
    let text = fs::read_to_string(path).map_err(|cause| CtlError::Read(path.to_owned(), cause))?;
    if path.extension().is_some_and(|extension| extension == "toml") {
        return Ok(toml::from_str(&text)?);
    }
    if text.trim_start().starts_with('[') {
        let intents: Vec<Intent> = serde_json::from_str(&text)?;
        return Ok(PlanRequest { intents, texts: Vec::new() });
    }
    Ok(serde_json::from_str(&text)?)
}
