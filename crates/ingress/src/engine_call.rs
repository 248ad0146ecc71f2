//! Calls to the engine's own interface, such as reports and KV cache snapshots.

use crate::{
    core::Core,
    exchange::{connect, return_connection},
    instance::Instance,
    instance_connection::InstanceConnection,
};
use bytes::Bytes;
use hyper::{Method, Response, StatusCode};
use std::{sync::Arc, time::Duration};
use web::{ClientError, Connection, json_request};

/// Largest body of a response that is read.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Makes a call with a JSON body and returns the response.
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
) -> Result<Response<Bytes>, ClientError> {
    let call = async {
        let pooled = instance.connections.take(core.clock.now_ms());
        let mut connection = match pooled {
            Some(connection) => connection,
            None => connect(instance).await?.into(),
        };
        let response = exchange(&mut connection.connection, instance, method, path, body).await?;
        return_connection(core, instance, connection, response.headers());
        Ok(response)
    };
    within(timeout_ms, call).await
}

/// Requests the load report of an engine on `connection`, or on a new connection. Returns the response and the
/// connection, which is not in the pool.
///
/// # Errors
///
/// No complete response arrived within the timeout of reports.
pub(crate) async fn report_call(
    core: &Core,
    instance: &Arc<Instance>,
    connection: Option<InstanceConnection>,
) -> Result<(Response<Bytes>, InstanceConnection), ClientError> {
    let call = async {
        let mut connection = match connection {
            Some(connection) => connection,
            None => connect(instance).await?.into(),
        };
        let path = core.dialect.report_path;
        let response =
            exchange(&mut connection.connection, instance, Method::GET, path, Vec::new()).await?;
        Ok((response, connection))
    };
    within(core.options.report_timeout_ms, call).await
}

/// Makes a call like `engine_call`, on a connection that is used for nothing else.
///
/// The response to such a call does not identify the call. On a connection that has carried another exchange, a late
/// copy of an earlier response could be taken for this one.
///
/// # Errors
///
/// No complete response arrived within `timeout_ms`.
pub(crate) async fn isolated_engine_call(
    instance: &Arc<Instance>,
    method: Method,
    path: &str,
    body: Vec<u8>,
    timeout_ms: u64,
) -> Result<(StatusCode, Bytes), ClientError> {
    let call = async {
        let mut connection = connect(instance).await?;
        let response = exchange(&mut connection, instance, method, path, body).await?;
        Ok((response.status(), response.into_body()))
    };
    within(timeout_ms, call).await
}

async fn exchange(
    connection: &mut Connection,
    instance: &Instance,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<Response<Bytes>, ClientError> {
    let request = json_request(method, instance.entry.addr, path, body)?;
    connection.fetch(request, MAX_RESPONSE_BYTES).await
}

async fn within<T>(
    timeout_ms: u64,
    call: impl Future<Output = Result<T, ClientError>>,
) -> Result<T, ClientError> {
    match tokio::time::timeout(Duration::from_millis(timeout_ms), call).await {
        Ok(result) => result,
        Err(_) => Err(ClientError::Timeout(timeout_ms)),
    }
}
