//! Fake of a plain service.

mod fault;
mod handler;
mod ledger;
mod options;
mod run;
mod server;
mod settings;

pub use self::{
    fault::{ServiceFault, ServiceFaultKind},
    ledger::RunReport,
    options::ServiceOptions,
    run::Run,
    server::Service,
    settings::ServiceSettings,
};
