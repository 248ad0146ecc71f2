//! HTTP server whose connections can be reset or silenced.

mod connection;
mod server;
mod stream;
mod switch;

pub(crate) use self::{connection::Connection, server::FaultyServer, switch::Switch};
