//! Checked request to a plain service.

use crate::api_error::ApiError;
use base::{AccountName, ServiceName};
use bytes::Bytes;
use call::{IdempotencyKey, RequestDigest};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use rand::random;
use web::Method;

/// Header that names a request.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Header with the caller's idempotency key.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Longest accepted request id.
const REQUEST_ID_SIZE_BYTES: usize = 128;

/// Checked request to a plain service.
#[derive(Clone, Debug)]
pub(crate) struct CallRequest {
    pub account: AccountName,
    pub service: ServiceName,
    pub method: Method,
    /// Path and query.
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub request_id: HeaderValue,
    pub key: Option<IdempotencyKey>,
}

impl CallRequest {
    /// Digest that a repeated call must share.
    pub fn digest(&self) -> RequestDigest {
        RequestDigest::of(&[
            self.service.as_str().as_bytes(),
            self.method.as_str().as_bytes(),
            self.path.as_bytes(),
            &self.body,
        ])
    }
}

/// The caller's request id, or a new one.
///
/// # Errors
///
/// `InvalidField` if the caller's is too long.
pub(crate) fn request_id(headers: &HeaderMap) -> Result<HeaderValue, ApiError> {
    match headers.get(REQUEST_ID) {
        Some(id) if (1..=REQUEST_ID_SIZE_BYTES).contains(&id.len()) => Ok(id.clone()),
        Some(_) => Err(ApiError::InvalidField("X-Request-Id", "1 to 128 bytes")),
        None => {
            let id = format!("{:032x}", random::<u128>());
            HeaderValue::try_from(id).map_err(|_| ApiError::Internal)
        }
    }
}

/// The caller's idempotency key.
///
/// # Errors
///
/// `InvalidField` if it is not valid or is given twice.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, ApiError> {
    let refused = || {
        let allowed = "one value of 1 to 128 of a-z A-Z 0-9 . _ : -, with a letter or digit first";
        ApiError::InvalidField("Idempotency-Key", allowed)
    };
    let mut values = headers.get_all(IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(refused());
    }
    let text = value.to_str().map_err(|_| refused())?;
    IdempotencyKey::try_from(text).map(Some).map_err(|_| refused())
}
