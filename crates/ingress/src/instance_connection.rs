//! Connection to an instance.

use web::Connection;

/// Connection to an instance, with what is known about it.
#[derive(Debug)]
pub(crate) struct InstanceConnection {
    pub connection: Connection,
    /// Whether the connection has carried an exchange, so that a late copy of its response may arrive.
    pub is_reused: bool,
    /// Whether a load report on this connection has stated the start time of the registry entry. A connection does not
    /// outlive its process, so no other process receives what is sent on it later.
    pub is_verified: bool,
}

impl From<Connection> for InstanceConnection {
    fn from(connection: Connection) -> Self {
        Self { connection, is_reused: false, is_verified: false }
    }
}
