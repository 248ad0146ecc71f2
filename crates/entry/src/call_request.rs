//! Call to a plain service, and the parsing of its request identifier and idempotency key.

use crate::api_error::ApiError;
use base::{AccountName, ServiceName};
use bytes::Bytes;
use call::{IdempotencyKey, RequestDigest};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use rand::random;
use web::Method;

/// Header with the identifier of a call. It is sent to the upstream and back to the caller.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Header with the caller's idempotency key.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Longest accepted value of `X-Request-Id`, in bytes.
const REQUEST_ID_SIZE_BYTES: usize = 128;

/// Call to a plain service, with a valid request identifier and idempotency key, and with its whole body.
#[derive(Clone, Debug)]
pub(crate) struct CallRequest {
    pub account: AccountName,
    pub service: ServiceName,
    pub method: Method,
    /// Path and query at the upstream, without the prefix that names the service.
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub request_id: HeaderValue,
    /// Caller's idempotency key; `None` if the caller sent none.
    pub key: Option<IdempotencyKey>,
}

impl CallRequest {
    /// Digest that tells a retry of the same call from another call with the same idempotency key.
    pub fn digest(&self) -> RequestDigest {
        RequestDigest::of(&[
            self.service.as_str().as_bytes(),
            self.method.as_str().as_bytes(),
            self.path.as_bytes(),
            &self.body,
        ])
    }
}

/// Returns the caller's request identifier, or a random one if the caller sent none.
///
/// # Errors
///
/// `InvalidField` if the caller's identifier is empty or too long.
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

/// Returns the caller's idempotency key; `None` if the caller sent none.
///
/// # Errors
///
/// `InvalidField` if the key is not valid or the header is given twice.
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
