//! Starts, restarts and controls the instances of plain services in a cluster, and reads their ledger.

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

/// Timeout of a control message to an instance.
const CONTROL_TIMEOUT_MS: u64 = 2_000;

/// Instance of a plain service with its VM.
#[derive(Debug)]
pub(super) struct ServiceNode {
    pub vm: Vm,
    /// `None` while the instance is restarted and after a failed restart.
    process: Option<Process>,
}

impl Cluster {
    /// Returns the number of instances of all plain services together.
    pub fn service_count(&self) -> usize {
        self.services.len()
    }

    /// Returns the address of the instance at `position`.
    pub fn service_addr(&self, position: usize) -> SocketAddr {
        self.services[position].vm.addr
    }

    /// Injects a fault into the instance at `position`.
    ///
    /// # Errors
    ///
    /// The instance did not answer.
    pub async fn inject_service_fault(
        &self,
        position: usize,
        fault: ServiceFault,
    ) -> Result<(), BenchError> {
        let client = Client::new(self.service_addr(position), CONTROL_TIMEOUT_MS);
        client.send_json(Method::PUT, "/control/fault", &fault).await?;
        Ok(())
    }

    /// Marks an instance as leaving: in the headers of its responses if `is_announced`, or else in the platform's list
    /// of VMs.
    ///
    /// # Errors
    ///
    /// The instance or the platform did not answer.
    pub async fn mark_service_leaving(
        &mut self,
        position: usize,
        is_announced: bool,
    ) -> Result<(), BenchError> {
        let client = Client::new(self.service_addr(position), CONTROL_TIMEOUT_MS);
        let body = json!({ "is_announced": is_announced });
        client.send_json(Method::PUT, "/control/leaving", &body).await?;
        if !is_announced {
            self.services[position].vm.state = VmState::Leaving;
            self.publish_vms().await?;
        }
        Ok(())
    }

    /// Kills an instance if it is running, and starts it at its previous address. If `is_new_vm`, the instance gets
    /// another VM identifier and the state `Live`, which `publish_vms` writes to the platform's list.
    ///
    /// # Errors
    ///
    /// The process did not become ready.
    pub fn restart_service(&mut self, position: usize, is_new_vm: bool) -> Result<(), BenchError> {
        let ledger = self.ledger();
        let node = &mut self.services[position];
        node.process = None;
        let name = node.vm.service.as_ref().map_or("", ServiceName::as_str);
        node.process = Some(start_service(&self.program, node.vm.addr, name, &ledger)?);
        if is_new_vm {
            node.vm.id = VmId::try_from(format!("{}n", node.vm.id))?;
            node.vm.state = VmState::Live;
        }
        Ok(())
    }

    /// Counts the requests that all instances have executed, including killed ones, from their ledger file. Returns
    /// zero counts if the file does not exist.
    ///
    /// # Errors
    ///
    /// The ledger cannot be read.
    pub fn runs(&self) -> Result<RunReport, BenchError> {
        let ledger = self.ledger();
        if ledger.exists() { Ok(RunReport::read(&ledger)?) } else { Ok(RunReport::default()) }
    }

    /// Requests a graceful shutdown of an entry. Returns its process to wait for, or `None` if the entry was not
    /// running.
    pub fn terminate_entry(&mut self, position: usize) -> Option<Process> {
        let process = self.entries[position].process.take()?;
        process.terminate();
        Some(process)
    }

    /// Starts the instances of all plain services of the layout.
    pub(super) fn add_services(&mut self) -> Result<(), BenchError> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let ledger = self.ledger();
        for name in self.layout.services.clone() {
            for number in 0..self.layout.service_instances {
                let process = start_service(&self.program, any_port, &name, &ledger)?;
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

    /// Returns the path of the file to which all instances append the requests that they execute.
    fn ledger(&self) -> PathBuf {
        self.files.path().join("runs.jsonl")
    }
}

fn start_service(
    program: &Path,
    listen: SocketAddr,
    name: &str,
    ledger: &Path,
) -> Result<Process, BenchError> {
    let (listen, ledger) = (listen.to_string(), ledger.to_string_lossy());
    Process::start(program, &["service", "--listen", &listen, "--name", name, "--ledger", &ledger])
}
