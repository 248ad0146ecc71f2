//! Selection of the headers that are forwarded between callers and plain services.

use hyper::header::{AUTHORIZATION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName};
use web::{Method, end_to_end_headers};

/// Header with which an upstream announces that it is leaving.
pub(crate) const LEAVING: HeaderName = HeaderName::from_static("x-leaving");

/// Headers of a caller's request that are forwarded to the upstream. The caller's bearer key is not among them.
pub(crate) fn request_headers(headers: &HeaderMap) -> HeaderMap {
    let mut passed = end_to_end_headers(headers);
    for name in [AUTHORIZATION, CONTENT_LENGTH, EXPECT, HOST] {
        passed.remove(name);
    }
    passed
}

/// Headers of an upstream's response that are forwarded to the caller. `method` is the method of the call.
pub(crate) fn response_headers(headers: &HeaderMap, method: &Method) -> HeaderMap {
    let mut passed = end_to_end_headers(headers);
    passed.remove(LEAVING);
    // The HTTP library sets the length of the body that it sends. In a response to HEAD, the length describes a body
    // that is not sent, so the upstream's value is kept.
    if method != Method::HEAD {
        passed.remove(CONTENT_LENGTH);
    }
    passed
}

/// Whether the headers of a response contain `x-leaving: true`, which announces that the upstream will be removed soon.
pub(crate) fn is_leaving(headers: &HeaderMap) -> bool {
    headers.get(LEAVING).is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"true"))
}
