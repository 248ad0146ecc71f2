//! Start and control of a whole cluster.

use crate::{
    bench_error::BenchError,
    cluster::{layout::Layout, process::Process},
};
use base::{DomainName, ServiceName, VmId};
use stand::EngineState;
use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};
use tempfile::TempDir;
use web::{Client, Method};
use wire::platform::{KvWrite, Vm, VmList, VmRole, VmState};

/// Longest wait for an entry to become ready.
const READY_WAIT_MS: u64 = 10_000;

/// Longest wait for the state of an engine.
const ENGINE_WAIT_MS: u64 = 2_000;

/// Longest wait for an answer of the platform stand-in.
const PLATFORM_WAIT_MS: u64 = 2_000;

/// Engine of a cluster.
#[derive(Debug)]
struct EngineNode {
    vm: Vm,
    seed: u64,
    is_listed: bool,
    process: Option<Process>,
}

/// Daemon of a cluster.
#[derive(Debug)]
struct EntryNode {
    vm: Vm,
    settings: PathBuf,
    process: Option<Process>,
}

/// Cluster of a platform, engines and daemons, each a process.
#[derive(Debug)]
pub struct Cluster {
    program: PathBuf,
    layout: Layout,
    engines: Vec<EngineNode>,
    entries: Vec<EntryNode>,
    platform: Process,
    _files: TempDir,
}

impl Cluster {
    /// Starts all processes of `layout` with `program` and waits until the entries are ready.
    ///
    /// # Errors
    ///
    /// A process did not become ready.
    pub async fn start(program: &Path, layout: Layout) -> Result<Self, BenchError> {
        let files = tempfile::tempdir()?;
        let platform = Process::start(program, &["platform", "--listen", "127.0.0.1:0"])?;
        let mut cluster = Self {
            program: program.to_owned(),
            layout,
            engines: Vec::new(),
            entries: Vec::new(),
            platform,
            _files: files,
        };
        cluster.write_document().await?;
        for domain in cluster.layout.domains.clone() {
            for number in 0..cluster.layout.engines_per_domain {
                cluster.add_engine(&domain, number)?;
            }
        }
        for domain in cluster.layout.domains.clone() {
            for number in 0..cluster.layout.entries_per_domain {
                cluster.add_entry(&domain, number)?;
            }
        }
        cluster.publish_vms().await?;
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    /// Addresses of the entries that are running.
    pub fn entry_addrs(&self) -> Vec<SocketAddr> {
        let running = self.entries.iter().filter(|entry| entry.process.is_some());
        running.map(|entry| entry.vm.addr).collect()
    }

    /// Number of engines.
    pub fn engine_count(&self) -> usize {
        self.engines.len()
    }

    /// Process of an engine, if it is running.
    pub fn engine(&self, position: usize) -> Option<&Process> {
        self.engines[position].process.as_ref()
    }

    /// Process of an entry, if it is running.
    pub fn entry(&self, position: usize) -> Option<&Process> {
        self.entries[position].process.as_ref()
    }

    /// Kills an engine.
    pub fn kill_engine(&mut self, position: usize) {
        self.engines[position].process = None;
    }

    /// Starts a killed engine again at its address, with another seed.
    ///
    /// # Errors
    ///
    /// The process did not become ready.
    pub fn restart_engine(&mut self, position: usize) -> Result<(), BenchError> {
        let token_gap_ms = self.layout.token_gap_ms;
        let engine = &mut self.engines[position];
        engine.seed += 1_000;
        engine.process = None;
        let process = start_engine(&self.program, engine.vm.addr, engine.seed, token_gap_ms)?;
        engine.process = Some(process);
        Ok(())
    }

    /// Stops an engine without notice.
    pub fn freeze_engine(&self, position: usize) {
        if let Some(process) = self.engine(position) {
            process.freeze();
        }
    }

    /// Lets a frozen engine go on.
    pub fn thaw_engine(&self, position: usize) {
        if let Some(process) = self.engine(position) {
            process.thaw();
        }
    }

    /// Takes an engine off the list of VMs.
    ///
    /// # Errors
    ///
    /// The platform did not answer.
    pub async fn remove_engine(&mut self, position: usize) -> Result<(), BenchError> {
        self.engines[position].is_listed = false;
        self.publish_vms().await
    }

    /// Lists an engine as leaving.
    ///
    /// # Errors
    ///
    /// The platform did not answer.
    pub async fn leave_engine(&mut self, position: usize) -> Result<(), BenchError> {
        self.engines[position].vm.state = VmState::Leaving;
        self.publish_vms().await
    }

    /// What an engine has done and does.
    ///
    /// # Errors
    ///
    /// The engine did not answer.
    pub async fn engine_state(&self, position: usize) -> Result<EngineState, BenchError> {
        let vm = &self.engines[position].vm;
        let client = Client::new(vm.addr, ENGINE_WAIT_MS);
        let state = client.send(Method::GET, "/state").await.and_then(|reply| reply.json());
        state.map_err(|cause| BenchError::Engine(vm.id.clone(), cause))
    }

    /// Kills an entry.
    pub fn kill_entry(&mut self, position: usize) {
        self.entries[position].process = None;
    }

    /// Starts a killed entry again at its address.
    ///
    /// # Errors
    ///
    /// The process did not become ready.
    pub fn restart_entry(&mut self, position: usize) -> Result<(), BenchError> {
        let entry = &mut self.entries[position];
        entry.process = None;
        entry.process = Some(start_entry(&self.program, &entry.settings)?);
        Ok(())
    }

    /// Address of the platform.
    ///
    /// # Errors
    ///
    /// The platform named none.
    pub fn platform_addr(&self) -> Result<SocketAddr, BenchError> {
        self.platform.addr("addr")
    }

    /// Gives the platform the list of all VMs.
    ///
    /// # Errors
    ///
    /// The platform did not answer.
    pub async fn publish_vms(&self) -> Result<(), BenchError> {
        let listed = self.engines.iter().filter(|engine| engine.is_listed);
        let engines = listed.map(|engine| engine.vm.clone());
        let entries = self.entries.iter().map(|entry| entry.vm.clone());
        let list = VmList { vms: engines.chain(entries).collect() };
        let client = Client::new(self.platform_addr()?, PLATFORM_WAIT_MS);
        client.send_json(Method::PUT, "/control/vms", &list).await?;
        Ok(())
    }

    async fn write_document(&self) -> Result<(), BenchError> {
        let value = self.layout.document()?.encode()?;
        let write = KvWrite { value, expect_revision: None, lease_id: None };
        let client = Client::new(self.platform_addr()?, PLATFORM_WAIT_MS);
        client.send_json(Method::PUT, "/kv/config/current", &write).await?;
        Ok(())
    }

    fn add_engine(&mut self, domain: &str, number: usize) -> Result<(), BenchError> {
        let seed = self.layout.seed * 100 + self.engines.len() as u64;
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let process = start_engine(&self.program, any, seed, self.layout.token_gap_ms)?;
        let vm = Vm {
            id: VmId::try_from(format!("engine-{domain}-{number}"))?,
            role: VmRole::Engine,
            service: Some(ServiceName::try_from(Layout::MODEL)?),
            domain: DomainName::try_from(domain)?,
            addr: process.addr("addr")?,
            peer_addr: None,
            state: VmState::Live,
        };
        self.engines.push(EngineNode { vm, seed, is_listed: true, process: Some(process) });
        Ok(())
    }

    fn add_entry(&mut self, domain: &str, number: usize) -> Result<(), BenchError> {
        let id = VmId::try_from(format!("entry-{domain}-{number}"))?;
        let settings = self._files.path().join(format!("{id}.toml"));
        let platform = self.platform_addr()?;
        let recovery = self.layout.recovery.clone();
        let text = |listen: SocketAddr| {
            format!(
                "[entry]\nvm_id = \"{id}\"\ndomain = \"{domain}\"\nlisten = \"{listen}\"\n\n\
                 [platform]\naddr = \"{platform}\"\nvm_list_interval_ms = 200\n\n\
                 [recovery]\n{recovery}\n[log]\nlevel = \"error\"\n"
            )
        };
        std::fs::write(&settings, text(SocketAddr::from(([127, 0, 0, 1], 0))))?;
        let process = start_entry(&self.program, &settings)?;
        let addr = process.addr("addr")?;
        // A restart takes the same address.
        std::fs::write(&settings, text(addr))?;
        let vm = Vm {
            id,
            role: VmRole::Entry,
            service: None,
            domain: DomainName::try_from(domain)?,
            addr,
            peer_addr: None,
            state: VmState::Live,
        };
        self.entries.push(EntryNode { vm, settings, process: Some(process) });
        Ok(())
    }

    async fn wait_ready(&self) -> Result<(), BenchError> {
        let deadline = Instant::now() + Duration::from_millis(READY_WAIT_MS);
        for addr in self.entry_addrs() {
            let client = Client::new(addr, PLATFORM_WAIT_MS);
            loop {
                let reply = client.send(Method::GET, "/readyz").await;
                if reply.is_ok_and(|reply| reply.status.is_success()) {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(BenchError::NotReady(addr.to_string()));
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }
}

fn start_engine(
    program: &Path,
    listen: SocketAddr,
    seed: u64,
    token_gap_ms: u64,
) -> Result<Process, BenchError> {
    let (listen, seed, gap) = (listen.to_string(), seed.to_string(), token_gap_ms.to_string());
    let args = ["engine", "--listen", &listen, "--seed", &seed, "--token-gap-ms", &gap];
    Process::start(program, &args)
}

fn start_entry(program: &Path, settings: &Path) -> Result<Process, BenchError> {
    let settings = settings.to_string_lossy();
    Process::start(program, &["daemon", "--settings", &settings])
}
