//! Connection to a plain service that carries one call.

use crate::service_error::ServiceError;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, header::HeaderName};
use std::{net::SocketAddr, time::Duration};
use web::{ClientError, Connection};

/// Header that names a request and that the upstream echoes.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Largest accepted answer.
const ANSWER_SIZE_BYTES: usize = 16 * 1024 * 1024;

/// Fresh connection to a plain service.
///
/// It is used for one call and then closed. A pooled connection could be closed by the upstream at the moment of the
/// write; the failure would then leave open whether the call ran. A connection inside the site costs less than 1 ms.
#[derive(Debug)]
pub struct ServiceConnection {
    connection: Connection,
}

impl ServiceConnection {
    /// Connects to the upstream at `addr` within `wait_ms`. Nothing is written.
    ///
    /// # Errors
    ///
    /// `Client`; the call was not sent.
    pub async fn open(addr: SocketAddr, wait_ms: u64) -> Result<Self, ServiceError> {
        Ok(Self { connection: Connection::open(addr, wait_ms).await? })
    }

    /// Sends a call and reads the whole answer within `wait_ms`. The connection is closed in any case.
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
        // An answer without echo cannot be crossed, since the connection carries one call only.
        if echo.is_some() && echo != request_id.as_ref() {
            return Err(ServiceError::WrongRequestId);
        }
        let (parts, body) = response.into_parts();
        let body = web::read_body(body, ANSWER_SIZE_BYTES).await.map_err(ClientError::from)?;
        Ok(Response::from_parts(parts, body))
    }
}
