//! Starts, controls and stops a fake platform within the process.

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

/// Running fake platform. It is controlled by its methods or over HTTP under `/control/`.
#[derive(Debug)]
pub struct Platform {
    addr: SocketAddr,
    handler: Arc<PlatformHandler>,
    server_task: JoinHandle<()>,
    expiry_task: JoinHandle<()>,
}

impl Platform {
    /// Starts the platform.
    ///
    /// # Errors
    ///
    /// Returns the error of `bind`.
    pub async fn start(settings: PlatformSettings) -> IoResult<Self> {
        let handler = Arc::new(PlatformHandler::new(&settings));
        let server =
            FaultyServer::bind(settings.listen, Arc::clone(&handler.connection_faults)).await?;
        let addr = server.local_addr()?;
        let server_task = tokio::spawn(server.run(Arc::clone(&handler)));
        let expiry_handler = Arc::clone(&handler);
        let expiry_task = tokio::spawn(async move { expiry_handler.run_expiry().await });
        Ok(Self { addr, handler, server_task, expiry_task })
    }

    /// Returns the address that the platform listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the list of VMs. The first list is published at once, later ones after `vm_list_lag_ms`.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.handler.set_vms(vms);
    }

    /// Changes the state of a VM, or removes the VM if `state` is `None`. Returns false if there is no such VM.
    pub fn set_vm_state(&self, id: &str, state: Option<VmState>) -> bool {
        self.handler.change_vm(id, state)
    }

    /// Writes a key unconditionally.
    pub fn put(&self, key: &str, value: &str) {
        let write = KvWrite { value: value.to_owned(), expect_revision: None, lease_id: None };
        let _ = self.handler.put(key, write);
    }

    /// Activates a fault, like `PUT /control/fault`.
    pub fn inject_fault(&self, fault: PlatformFault) {
        self.handler.inject_fault(fault);
    }

    /// Returns the numbers of calls since the start, like `GET /control/counts`.
    pub fn counts(&self) -> PlatformCounts {
        self.handler.counts()
    }

    /// Stops the platform immediately.
    pub async fn close(self) {
        self.server_task.abort();
        self.expiry_task.abort();
        let _ = self.server_task.await;
        let _ = self.expiry_task.await;
    }
}
