//! Builds requests with a JSON body.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request,
    header::{CONTENT_TYPE, HOST},
};
use std::net::SocketAddr;

/// Builds a request to the server at `addr`. `body` is encoded JSON, or empty.
///
/// # Errors
///
/// Fails if the path is not valid.
pub fn json_request(
    method: Method,
    addr: SocketAddr,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, addr.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body.into()))
}
