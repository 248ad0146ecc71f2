//! Command line of an instance of the fake plain service that runs as a separate process.

use crate::service::{server::Service, settings::ServiceSettings};
use argh::FromArgs;
use std::{io::Result as IoResult, net::SocketAddr, path::PathBuf};

/// Plain service stand-in.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "service")]
pub struct ServiceOptions {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// name of the service
    #[argh(option, default = "String::from(\"service\")")]
    name: String,
    /// file that all runs are appended to
    #[argh(option)]
    ledger: Option<PathBuf>,
}

impl ServiceOptions {
    /// Starts the service and serves until the process is terminated.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or the ledger cannot be opened.
    pub async fn run(&self) -> IoResult<()> {
        let settings = ServiceSettings {
            listen: self.listen,
            name: self.name.clone(),
            ledger: self.ledger.clone(),
        };
        let service = Service::start(settings).await?;
        println!("ready addr={}", service.addr());
        std::future::pending().await
    }
}
