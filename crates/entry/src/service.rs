//! Requests to plain services.

use crate::{api_error::ApiError, config::Config, shared::Shared};
use base::ServiceName;
use bytes::Bytes;
use fleet::ServiceKind;
use hyper::Response;
use web::{Client, ClientError, Method, ResponseBody};

/// Longest wait for the answer of a plain service.
const ANSWER_WAIT_MS: u64 = 10_000;

/// Sends a request to an upstream of a plain service and returns its answer.
///
/// # Errors
///
/// `Service`; `NoUpstream` if nothing was sent; `UnknownOutcome` if the upstream may have run it.
pub(crate) async fn forward(
    shared: &Shared,
    name: &str,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Response<ResponseBody>, ApiError> {
    let service = find(&shared.config(), name)?;
    let guard = shared.upstreams.choose(&service, &[]).ok_or(ApiError::NoUpstream)?;
    let client = Client::new(guard.addr(), ANSWER_WAIT_MS);
    let reply = client.send_bytes(method, path, body).await.map_err(|err| match err {
        ClientError::Connect(_) => ApiError::NoUpstream,
        _ => ApiError::UnknownOutcome,
    })?;
    let mut response = Response::new(web::full(reply.body));
    *response.status_mut() = reply.status;
    Ok(response)
}

/// The plain service with a name.
///
/// # Errors
///
/// `Service`.
pub(crate) fn find(config: &Config, name: &str) -> Result<ServiceName, ApiError> {
    let unknown = || ApiError::Service(name.chars().take(100).collect::<String>().into());
    let service = ServiceName::try_from(name).map_err(|_| unknown())?;
    let is_plain =
        config.document.service(&service).is_some_and(|service| service.kind == ServiceKind::Plain);
    if is_plain { Ok(service) } else { Err(unknown()) }
}
