//! Headers that pass between callers and plain services.

use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName,
    PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use web::Method;

/// Header by which an upstream announces that it leaves.
pub(crate) const LEAVING: HeaderName = HeaderName::from_static("x-leaving");

/// Headers of one connection, by RFC 9110, section 7.6.1, and older practice.
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

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

fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    let listed = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    for name in listed.flat_map(|list| list.split(',')) {
        passed.remove(name.trim());
    }
    for name in HOP_BY_HOP {
        passed.remove(name);
    }
    passed
}
