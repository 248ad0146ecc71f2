//! Interpretation of the head of an upstream's response.

use crate::dialect::Dialect;
use hyper::{
    HeaderMap, StatusCode,
    header::{
        CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING,
    },
};

/// Class of a response by its head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ResponseClass {
    /// The response belongs to the request that was sent, and the upstream has proved that it created the response.
    Valid,
    /// Another instance has the address, or the instance has other weights. The request has not run.
    Misdirected,
    /// The upstream states that it has not run the request and never will.
    NotRun,
    /// The response belongs to another request, or lacks the proof that the upstream created it.
    Invalid,
}

/// Classifies a response to the request `id` by its head.
///
/// A late response to another request may arrive in place of the expected one. Therefore a response must carry the
/// identifier of this request, unless the response states that the request has not run. Even that statement must carry
/// the identifier if the connection was reused, because it may be a late copy of an earlier one.
pub(crate) fn classify_response(
    status: StatusCode,
    headers: &HeaderMap,
    id: &HeaderValue,
    is_reused: bool,
    dialect: &Dialect,
) -> ResponseClass {
    let answered_id = headers.get(&dialect.request_id);
    if answered_id.is_some_and(|answered| answered != id) {
        return ResponseClass::Invalid;
    }
    if is_reused && answered_id.is_none() {
        return ResponseClass::Invalid;
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return ResponseClass::Misdirected;
    }
    if headers.contains_key(&dialect.not_run) {
        return ResponseClass::NotRun;
    }
    let is_for_request = answered_id.is_some() && !headers.contains_key(CONTENT_ENCODING);
    let has_proof = !status.is_success() || headers.contains_key(&dialect.server_stamp);
    if is_for_request && has_proof { ResponseClass::Valid } else { ResponseClass::Invalid }
}

/// Headers of a response that are forwarded to the caller: all but those that concern the upstream connection.
pub(crate) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_hop_by_hop = [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING].contains(name);
        if !is_hop_by_hop && name.as_str() != "keep-alive" {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Limit in requests per second that the upstream names; `None` if it names none, or a number that is no rate.
pub(crate) fn named_limit_per_s(headers: &HeaderMap, dialect: &Dialect) -> Option<f64> {
    let value = headers.get(&dialect.upstream_limit)?.to_str().ok()?;
    value.trim().parse().ok().filter(|rate: &f64| rate.is_finite() && *rate >= 0.0)
}

/// Whether the upstream states that it leaves.
pub(crate) fn states_leaving(headers: &HeaderMap, dialect: &Dialect) -> bool {
    let mut values = headers.get_all(&dialect.leaving).iter();
    values.any(|value| value.as_bytes().trim_ascii() == b"1")
}

/// Time for which the upstream wants no requests, by the header `Retry-After` in seconds. The longest of several values
/// counts; dates, negative numbers and other text are ignored.
pub(crate) fn stated_pause_ms(headers: &HeaderMap) -> Option<u64> {
    let seconds = headers.get_all(RETRY_AFTER).iter().filter_map(|value| {
        let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
        (seconds.is_finite() && seconds > 0.0).then_some(seconds)
    });
    seconds.reduce(f64::max).map(|seconds| (seconds * 1_000.0).ceil() as u64)
}

/// Seconds for which the upstream keeps the connection open while idle: 0 if it closes the connection after this
/// response, `None` if it states nothing.
pub(crate) fn keep_alive_s(headers: &HeaderMap) -> Option<u64> {
    let closes = headers
        .get(CONNECTION)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    if closes {
        return Some(0);
    }
    let stated = headers.get("keep-alive")?.to_str().ok()?;
    stated.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok())
}
