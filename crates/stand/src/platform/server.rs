//! Platform stand-in.

use crate::{
    net::FaultyServer,
    platform::{
        counts::PlatformCounts, fault::PlatformFault, handler::PlatformHandler,
        settings::PlatformSettings,
    },
};
use std::{io::Result as IoResult, net::SocketAddr, sync::Arc};
use tokio::task::JoinHandle;
use wire::platform::{KvWrite, Vm, VmState};

/// Running platform stand-in.
#[derive(Debug)]
pub struct Platform {
    addr: SocketAddr,
    handler: Arc<PlatformHandler>,
    serving: JoinHandle<()>,
    expiring: JoinHandle<()>,
}

impl Platform {
    /// Starts the platform.
    ///
    /// # Errors
    ///
    /// The error of `bind`.
    pub async fn start(settings: PlatformSettings) -> IoResult<Self> {
        let handler = Arc::new(PlatformHandler::new(&settings));
        let server =
            FaultyServer::bind(settings.listen, Arc::clone(&handler.connection_faults)).await?;
        let addr = server.local_addr()?;
        let serving = tokio::spawn(server.run(Arc::clone(&handler)));
        let expired = Arc::clone(&handler);
        let expiring = tokio::spawn(async move { expired.run_expiry().await });
        Ok(Self { addr, handler, serving, expiring })
    }

    /// Address that the platform listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the list of VMs. The first list is published without lag.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.handler.set_vms(vms);
    }

    /// Changes the state of a VM, or removes it with `None`; false if there is no such VM.
    pub fn set_vm_state(&self, id: &str, state: Option<VmState>) -> bool {
        self.handler.change_vm(id, state)
    }

    /// Writes a key without conditions.
    pub fn put(&self, key: &str, value: &str) {
        let write = KvWrite { value: value.to_owned(), expect_revision: None, lease_id: None };
        let _ = self.handler.put(key, write);
    }

    /// Applies a fault.
    pub fn inject_fault(&self, fault: PlatformFault) {
        self.handler.inject_fault(fault);
    }

    /// Counts of calls.
    pub fn counts(&self) -> PlatformCounts {
        self.handler.counts()
    }

    /// Stops the platform at once.
    pub async fn close(self) {
        self.serving.abort();
        self.expiring.abort();
        let _ = self.serving.await;
        let _ = self.expiring.await;
    }
}
