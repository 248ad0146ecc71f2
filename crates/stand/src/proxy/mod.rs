//! Fault-injecting TCP proxy.

mod control;
mod direction;
mod fault;
mod faults;
mod proxied_connection;
mod pump;
mod server;
mod settings;

pub use self::{direction::Direction, fault::ProxyFault, server::Proxy, settings::ProxySettings};
