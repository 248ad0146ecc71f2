//! What the head of an upstream's answer says.

use crate::dialect::Dialect;
use hyper::{
    HeaderMap, StatusCode,
    header::{CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING},
};

/// Verdict on the head of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Verdict {
    /// It answers this request.
    Answer,
    /// Another instance has the address, or the instance has other weights; the request has not run.
    Misdirected,
    /// The request has not run and never will.
    NotRun,
    /// It does not answer this request, or is no valid answer.
    Foreign,
}

/// Judges the head of an answer to the request `id`.
///
/// A late answer to another request may stand where this one's is expected, so everything but a refusal must carry the
/// identifier of this request.
pub(crate) fn judge(
    status: StatusCode,
    headers: &HeaderMap,
    id: &HeaderValue,
    dialect: &Dialect,
) -> Verdict {
    let answered_id = headers.get(&dialect.request_id);
    if answered_id.is_some_and(|answered| answered != id) {
        return Verdict::Foreign;
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Verdict::Misdirected;
    }
    if headers.contains_key(&dialect.not_run) {
        return Verdict::NotRun;
    }
    let is_whole = answered_id.is_some() && !headers.contains_key(CONTENT_ENCODING);
    let is_proved = !status.is_success() || headers.contains_key(&dialect.server_stamp);
    if is_whole && is_proved { Verdict::Answer } else { Verdict::Foreign }
}

/// Headers of an answer that the caller gets.
pub(crate) fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let mut passed = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_framing = [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING].contains(name);
        if !is_framing && name.as_str() != "keep-alive" {
            passed.append(name.clone(), value.clone());
        }
    }
    passed
}

/// Seconds for which the upstream keeps an idle connection: 0 if it closes it, `None` if it does not say.
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
