//! Sends calls to plain services, each on a connection of its own.

use crate::service_error::ServiceError;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, header::HeaderName};
use std::{net::SocketAddr, time::Duration};
use web::{ClientError, Connection};

/// Header with the identifier of a request. An upstream may repeat it in its response.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Largest accepted body of a response.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// New connection to a plain service, which is used for one call and then closed.
///
/// Connections are not pooled, because the upstream could close a pooled connection while the request is written. This
/// failure would leave open whether the call ran. A new connection within the site costs less than 1 ms.
#[derive(Debug)]
pub struct ServiceConnection {
    connection: Connection,
}

impl ServiceConnection {
    /// Connects to the upstream at `addr` within `wait_ms`, without sending anything.
    ///
    /// # Errors
    ///
    /// `Client` if the connection cannot be opened. The call was not sent in this case.
    pub async fn open(addr: SocketAddr, wait_ms: u64) -> Result<Self, ServiceError> {
        Ok(Self { connection: Connection::open(addr, wait_ms).await? })
    }

    /// Sends a call and reads the complete response within `wait_ms`. The connection is always closed afterwards.
    ///
    /// # Errors
    ///
    /// After any error the upstream may have run the call.
    pub async fn send(
        self,
        request: Request<Full<Bytes>>,
        wait_ms: u64,
    ) -> Result<Response<Bytes>, ServiceError> {
        let wait = Duration::from_millis(wait_ms);
        tokio::time::timeout(wait, self.exchange(request))
            .await
            .map_err(|_| ServiceError::Timeout(wait_ms))?
    }

    async fn exchange(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, ServiceError> {
        let request_id = request.headers().get(REQUEST_ID).cloned();
        let response = self.connection.send(request).await?;
        let echo = response.headers().get(REQUEST_ID);
        // A response without the header belongs to this call, because the connection carries no other.
        if echo.is_some() && echo != request_id.as_ref() {
            return Err(ServiceError::WrongRequestId);
        }
        let (parts, body) = response.into_parts();
        let body = web::read_body(body, MAX_RESPONSE_BYTES).await.map_err(ClientError::from)?;
        Ok(Response::from_parts(parts, body))
    }
}
