//! Parser of a model version on the command line.

use wire::engine::LoadedVersion;

/// Parses `model:version` or `model:version:adapter,adapter`. The error text shows both forms.
pub(super) fn parse(text: &str) -> Result<LoadedVersion, String> {
    let mut parts = text.splitn(3, ':');
    let (Some(model), Some(version)) = (parts.next(), parts.next()) else {
        return Err(format!("{text:?} is not model:version or model:version:adapter,adapter"));
    };
    let adapters = parts
        .next()
        .map_or_else(Vec::new, |adapters| adapters.split(',').map(str::to_owned).collect());
    Ok(LoadedVersion { model: model.to_owned(), version: version.to_owned(), adapters })
}
