//! Selects the headers that a proxy forwards.

use hyper::header::{
    CONNECTION, HeaderMap, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};

/// Headers that apply to a single connection, according to RFC 9110, section 7.6.1, and older practice.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
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

/// Returns the headers of a message without the hop-by-hop headers and without those that the message's `Connection`
/// header lists.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    let listed = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    for name in listed.flat_map(|list| list.split(',')) {
        forwarded.remove(name.trim());
    }
    for name in HOP_BY_HOP_HEADERS {
        forwarded.remove(name);
    }
    forwarded
}
