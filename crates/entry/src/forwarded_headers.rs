//! Headers that pass between callers and plain services.

use hyper::header::{AUTHORIZATION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName};
use web::{Method, end_to_end};

/// Header by which an upstream announces that it leaves.
pub(crate) const LEAVING: HeaderName = HeaderName::from_static("x-leaving");

/// Headers of a caller's request that the upstream receives. The caller's bearer key is not among them.
pub(crate) fn request_headers(headers: &HeaderMap) -> HeaderMap {
    let mut passed = end_to_end(headers);
    for name in [AUTHORIZATION, CONTENT_LENGTH, EXPECT, HOST] {
        passed.remove(name);
    }
    passed
}

/// Headers of an upstream's answer that the caller receives.
pub(crate) fn response_headers(headers: &HeaderMap, method: &Method) -> HeaderMap {
    let mut passed = end_to_end(headers);
    passed.remove(LEAVING);
    // The length of the body is set anew; for HEAD it describes a body that is not sent.
    if method != Method::HEAD {
        passed.remove(CONTENT_LENGTH);
    }
    passed
}

/// Whether the upstream announces that it leaves.
pub(crate) fn is_leaving(headers: &HeaderMap) -> bool {
    headers.get(LEAVING).is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"true"))
}
