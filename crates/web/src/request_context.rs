//! What a server knows about a request beside its head and body.

use crate::{
    arriving_body::ArrivingBody, byte_account::ByteAccount, connection_use::ConnectionUse,
    held_bytes::HeldBytes,
};
use hyper::Request;
use std::sync::Arc;
use tokio::time::Instant;

/// Arrival and connection of a request, which the server attaches to it.
#[derive(Clone, Debug)]
pub struct RequestContext {
    arrived_at: Instant,
    connection: Arc<ConnectionUse>,
}

impl RequestContext {
    pub(crate) fn new(arrived_at: Instant, connection: Arc<ConnectionUse>) -> Self {
        Self { arrived_at, connection }
    }

    /// Context of a request; `None` if the request does not come from a `Server`.
    pub fn of<B>(request: &Request<B>) -> Option<&Self> {
        request.extensions().get()
    }

    /// Time in milliseconds since the head of the request arrived. A request that was sent ahead of the response to an
    /// earlier one has waited until its caller had read that.
    pub fn waited_ms(&self) -> u64 {
        self.arrived_at.elapsed().as_millis() as u64
    }

    /// Holds `bytes` for the body of the request as soon as `account` has room for them. Meanwhile the connection may be closed
    /// if its port is full. Dropping the future ends the wait.
    pub async fn hold(&self, account: &Arc<ByteAccount>, bytes: usize) -> HeldBytes {
        let _waiting = RoomWait::start(&self.connection);
        account.hold(bytes).await
    }

    /// Wraps the body of the request, for which `held_bytes` are held in the account and which has to arrive within
    /// `wait_ms`. While the account has no room, the connection is closed if the body is late.
    pub fn receive<B>(&self, body: B, held_bytes: usize, wait_ms: u64) -> ArrivingBody<B> {
        ArrivingBody::new(body, Arc::clone(&self.connection), held_bytes, wait_ms)
    }
}

/// Marks a connection as one whose request waits for room, until the value is dropped.
struct RoomWait<'a>(&'a ConnectionUse);

impl<'a> RoomWait<'a> {
    fn start(connection: &'a ConnectionUse) -> Self {
        connection.set_waits_for_room(true);
        Self(connection)
    }
}

impl Drop for RoomWait<'_> {
    fn drop(&mut self) {
        self.0.set_waits_for_room(false);
    }
}
