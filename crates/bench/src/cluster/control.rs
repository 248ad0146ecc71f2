//! Injects faults into the fakes of a cluster and reads their states.

use crate::{
    bench_error::BenchError,
    cluster::{node::Cluster, process::Process},
};
use base::VmId;
use stand::{EngineFault, PlatformCounts, PlatformFault, ProxyFault, VmChange};
use std::net::SocketAddr;
use web::{Client, Method, Reply};
use wire::{
    engine::{EngineCounters, EngineState},
    platform::VmState,
};

/// Timeout of a control message to a fake.
const CONTROL_TIMEOUT_MS: u64 = 2_000;

impl Cluster {
    /// Injects a fault into the engine at `position`.
    ///
    /// # Errors
    ///
    /// The engine did not answer or does not know the fault.
    pub async fn inject_engine_fault(
        &self,
        position: usize,
        fault: EngineFault,
    ) -> Result<(), BenchError> {
        let client = control_client(self.engine_addr(position));
        check_status(client.send_json(Method::PUT, "/control/fault", &fault).await?)?;
        Ok(())
    }

    /// Returns the state of the engine at `position`. An engine with the injected fault `Freeze` or `Silence` still
    /// answers.
    ///
    /// # Errors
    ///
    /// The engine did not answer.
    pub async fn engine_state(&self, position: usize) -> Result<EngineState, BenchError> {
        let client = control_client(self.engine_addr(position));
        Ok(check_status(client.send(Method::GET, "/control/state").await?)?.json()?)
    }

    /// Returns the counters of all running engines. The counters of a killed engine are lost.
    ///
    /// # Errors
    ///
    /// An engine did not answer.
    pub async fn engine_counters(&self) -> Result<Vec<EngineCounters>, BenchError> {
        let mut counters = Vec::new();
        for position in 0..self.engine_count() {
            if self.engine(position).is_some() {
                counters.push(self.engine_state(position).await?.counters);
            }
        }
        Ok(counters)
    }

    /// Injects a fault into the proxy of the engine at `position`.
    ///
    /// # Errors
    ///
    /// The layout has no engine proxies, or the proxy did not answer.
    pub async fn inject_engine_proxy_fault(
        &self,
        position: usize,
        fault: ProxyFault,
    ) -> Result<(), BenchError> {
        let proxy = self.engine_proxy(position).ok_or(BenchError::NoProxy)?;
        inject_proxy_fault(proxy, fault).await
    }

    /// Injects a fault into the proxy of the platform.
    ///
    /// # Errors
    ///
    /// The layout has no platform proxy, or the proxy did not answer.
    pub async fn inject_platform_proxy_fault(&self, fault: ProxyFault) -> Result<(), BenchError> {
        let proxy = self.platform_proxy().ok_or(BenchError::NoProxy)?;
        inject_proxy_fault(proxy, fault).await
    }

    /// Injects a fault into the platform.
    ///
    /// # Errors
    ///
    /// The platform did not answer or does not know the fault.
    pub async fn inject_platform_fault(&self, fault: PlatformFault) -> Result<(), BenchError> {
        let client = control_client(self.platform_addr()?);
        check_status(client.send_json(Method::PUT, "/control/fault", &fault).await?)?;
        Ok(())
    }

    /// Returns the numbers of calls that the platform has received since its start.
    ///
    /// # Errors
    ///
    /// The platform did not answer.
    pub async fn platform_counts(&self) -> Result<PlatformCounts, BenchError> {
        let client = control_client(self.platform_addr()?);
        Ok(check_status(client.send(Method::GET, "/control/counts").await?)?.json()?)
    }

    /// Changes the state of a VM in the platform's list; `None` removes the VM from the list.
    ///
    /// # Errors
    ///
    /// The platform did not answer or does not know the VM.
    pub async fn set_vm_state(&self, id: &VmId, state: Option<VmState>) -> Result<(), BenchError> {
        let client = control_client(self.platform_addr()?);
        let path = format!("/control/vms/{id}");
        check_status(client.send_json(Method::PUT, &path, &VmChange { state }).await?)?;
        Ok(())
    }
}

async fn inject_proxy_fault(proxy: &Process, fault: ProxyFault) -> Result<(), BenchError> {
    let client = control_client(proxy.addr("control")?);
    check_status(client.send_json(Method::PUT, "/control", &fault).await?)?;
    Ok(())
}

fn control_client(addr: SocketAddr) -> Client {
    Client::new(addr, CONTROL_TIMEOUT_MS)
}

fn check_status(reply: Reply) -> Result<Reply, BenchError> {
    if reply.status.is_success() {
        Ok(reply)
    } else {
        Err(BenchError::ControlRefused(reply.status.as_u16()))
    }
}
