//! Sends calls to plain services, each on a connection of its own.

use crate::service_error::ServiceError;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, header::HeaderName};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use web::{ByteAccount, ClientError, Connection, HeldBodyError, read_held_body};

/// Header with the identifier of a request. An upstream may repeat it in its response.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Largest accepted body of a response.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Part of the time of a call that its response may wait for room, as a divisor.
const ROOM_WAIT_DIVISOR: u64 = 2;

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
        let account = Arc::new(ByteAccount::new(usize::MAX));
        self.send_held(request, wait_ms, &account).await
    }

    /// Like `send`. The body of the response is held in `account` until its last copy is dropped.
    ///
    /// # Errors
    ///
    /// After any error the upstream may have run the call. `NoRoom` is no fault of the upstream.
    pub async fn send_held(
        self,
        request: Request<Full<Bytes>>,
        wait_ms: u64,
        account: &Arc<ByteAccount>,
    ) -> Result<Response<Bytes>, ServiceError> {
        let wait = Duration::from_millis(wait_ms);
        let exchange = self.exchange(request, account, wait_ms / ROOM_WAIT_DIVISOR);
        tokio::time::timeout(wait, exchange).await.map_err(|_| ServiceError::Timeout(wait_ms))?
    }

    async fn exchange(
        mut self,
        request: Request<Full<Bytes>>,
        account: &Arc<ByteAccount>,
        room_wait_ms: u64,
    ) -> Result<Response<Bytes>, ServiceError> {
        let request_id = request.headers().get(REQUEST_ID).cloned();
        let response = self.connection.send(request).await?;
        let echo = response.headers().get(REQUEST_ID);
        // A response without the header belongs to this call, because the connection carries no other.
        if echo.is_some() && echo != request_id.as_ref() {
            return Err(ServiceError::WrongRequestId);
        }
        let (parts, body) = response.into_parts();
        let body = read_held_body(body, MAX_RESPONSE_BYTES, account, room_wait_ms).await;
        let body = body.map_err(|err| match err {
            HeldBodyError::Body(cause) => ClientError::from(cause).into(),
            HeldBodyError::NoRoom(wait_ms) => ServiceError::NoRoom(wait_ms),
        })?;
        Ok(Response::from_parts(parts, body))
    }
}
