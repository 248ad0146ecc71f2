//! Calls to the engine's own interface, such as reports and KV cache snapshots.

use crate::{
    core::Core,
    exchange::{connect, return_connection},
    instance::Instance,
};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use std::{sync::Arc, time::Duration};
use web::{ClientError, json_request};

/// Largest body of a response that is read.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Makes a call with a JSON body and returns the status and the body of the response.
///
/// # Errors
///
/// No complete response arrived within `timeout_ms`.
pub(crate) async fn engine_call(
    core: &Core,
    instance: &Arc<Instance>,
    method: Method,
    path: &str,
    body: Vec<u8>,
    timeout_ms: u64,
) -> Result<(StatusCode, Bytes), ClientError> {
    let call = async {
        let mut connection = match instance.connections.take(core.clock.now_ms()) {
            Some(connection) => connection,
            None => connect(instance).await?,
        };
        let request = json_request(method, instance.entry.addr, path, body)?;
        let (head, body) = connection.fetch(request, MAX_RESPONSE_BYTES).await?.into_parts();
        return_connection(core, instance, connection, &head.headers);
        Ok((head.status, body))
    };
    match tokio::time::timeout(Duration::from_millis(timeout_ms), call).await {
        Ok(result) => result,
        Err(_) => Err(ClientError::Timeout(timeout_ms)),
    }
}
