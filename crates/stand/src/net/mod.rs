//! HTTP server whose connections can be reset or silenced on demand.

mod connection;
mod connection_faults;
mod server;
mod stream;

pub(crate) use self::{
    connection::Connection, connection_faults::ConnectionFaults, server::FaultyServer,
};
