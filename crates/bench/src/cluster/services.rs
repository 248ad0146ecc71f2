//! Plain services of a cluster.

use crate::{
    bench_error::BenchError,
    cluster::{node::Cluster, process::Process},
};
use base::{DomainName, ServiceName, VmId};
use serde_json::json;
use stand::{RunReport, ServiceFault};
use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};
use web::{Client, Method};
use wire::platform::{Vm, VmRole, VmState};

/// Longest wait for an answer to a control message.
const CONTROL_WAIT_MS: u64 = 2_000;

/// Instance of a plain service.
#[derive(Debug)]
pub(super) struct ServiceNode {
    pub vm: Vm,
    process: Option<Process>,
}

impl Cluster {
    /// Number of instances of all plain services.
    pub fn service_count(&self) -> usize {
        self.services.len()
    }

    /// Addresses of all instances.
    pub fn service_addr(&self, position: usize) -> SocketAddr {
        self.services[position].vm.addr
    }

    /// Applies a fault to an instance.
    ///
    /// # Errors
    ///
    /// The instance did not answer.
    pub async fn service_fault(
        &self,
        position: usize,
        fault: ServiceFault,
    ) -> Result<(), BenchError> {
        let client = Client::new(self.service_addr(position), CONTROL_WAIT_MS);
        client.send_json(Method::PUT, "/control/fault", &fault).await?;
        Ok(())
    }

    /// Lets an instance leave: by its own announcement, or else by the platform's list.
    ///
    /// # Errors
    ///
    /// The instance or the platform did not answer.
    pub async fn leave_service(
        &mut self,
        position: usize,
        is_announced: bool,
    ) -> Result<(), BenchError> {
        let client = Client::new(self.service_addr(position), CONTROL_WAIT_MS);
        let body = json!({ "is_announced": is_announced });
        client.send_json(Method::PUT, "/control/leaving", &body).await?;
        if !is_announced {
            self.services[position].vm.state = VmState::Leaving;
            self.publish_vms().await?;
        }
        Ok(())
    }

    /// Kills an instance, if it is running, and starts it again at its address. A new one has a new VM.
    ///
    /// # Errors
    ///
    /// The process did not become ready.
    pub fn restart_service(&mut self, position: usize, is_new_vm: bool) -> Result<(), BenchError> {
        let ledger = self.ledger();
        let node = &mut self.services[position];
        node.process = None;
        let name = node.vm.service.as_ref().map_or("", ServiceName::as_str);
        node.process = Some(start(&self.program, node.vm.addr, name, &ledger)?);
        if is_new_vm {
            node.vm.id = VmId::try_from(format!("{}n", node.vm.id))?;
            node.vm.state = VmState::Live;
        }
        Ok(())
    }

    /// Runs of all instances, also of those that died.
    ///
    /// # Errors
    ///
    /// The ledger cannot be read.
    pub fn runs(&self) -> Result<RunReport, BenchError> {
        let ledger = self.ledger();
        if ledger.exists() { Ok(RunReport::read(&ledger)?) } else { Ok(RunReport::default()) }
    }

    /// Asks an entry to shut down; the process is returned for waiting.
    pub fn terminate_entry(&mut self, position: usize) -> Option<Process> {
        let process = self.entries[position].process.take()?;
        process.terminate();
        Some(process)
    }

    pub(super) fn add_services(&mut self) -> Result<(), BenchError> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let ledger = self.ledger();
        for name in self.layout.services.clone() {
            for number in 0..self.layout.service_instances {
                let process = start(&self.program, any, &name, &ledger)?;
                let domains = &self.layout.domains;
                let vm = Vm {
                    id: VmId::try_from(format!("{name}-{number}"))?,
                    role: VmRole::Service,
                    service: Some(ServiceName::try_from(name.as_str())?),
                    domain: DomainName::try_from(domains[number % domains.len()].as_str())?,
                    addr: process.addr("addr")?,
                    peer_addr: None,
                    state: VmState::Live,
                };
                self.services.push(ServiceNode { vm, process: Some(process) });
            }
        }
        Ok(())
    }

    fn ledger(&self) -> PathBuf {
        self.files.path().join("runs.jsonl")
    }
}

fn start(
    program: &Path,
    listen: SocketAddr,
    name: &str,
    ledger: &Path,
) -> Result<Process, BenchError> {
    let (listen, ledger) = (listen.to_string(), ledger.to_string_lossy());
    Process::start(program, &["service", "--listen", &listen, "--name", name, "--ledger", &ledger])
}
