//! Headers that pass from one connection to another.

use hyper::header::{
    CONNECTION, HeaderMap, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};

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

/// Headers of a message that are not meant for its connection only.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
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
