//! Maps the bearer key of a request to the client account that owns the key.

use crate::{api_error::ApiError, config::Config};
use base::KeyHash;
use fleet::Account;
use hyper::header::{AUTHORIZATION, HeaderMap};

/// Finds the client account of a request by its bearer key.
///
/// # Errors
///
/// `InvalidKey` if the key is missing or unknown, `NotReady` if there is no configuration yet.
pub(crate) fn authenticate<'c>(
    headers: &HeaderMap,
    config: &'c Config,
) -> Result<&'c Account, ApiError> {
    // Without a configuration no account is known, so a valid key would be rejected as invalid.
    if config.revision == 0 {
        return Err(ApiError::NotReady);
    }
    let header = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = header.and_then(|text| text.strip_prefix("Bearer ")).ok_or(ApiError::InvalidKey)?;
    config.document.account_by_key(&KeyHash::of(key)).ok_or(ApiError::InvalidKey)
}
