//! Start and control of a whole cluster.

use crate::{
    bench_error::BenchError,
    cluster::{layout::Layout, process::Process},
};
use base::{DomainName, ServiceName, VmId};
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

/// Longest wait for an answer of the platform stand-in.
const PLATFORM_WAIT_MS: u64 = 2_000;

/// Engine of a cluster.
#[derive(Debug)]
struct EngineNode {
    vm: Vm,
    /// Address of the engine itself; that of the VM may be a proxy's.
    addr: SocketAddr,
    seed: u64,
    proxy: Option<Process>,
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
    platform_proxy: Option<Process>,
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
        let mut platform_args = vec!["platform", "--listen", "127.0.0.1:0"];
        platform_args.extend(layout.platform_args.iter().map(String::as_str));
        let platform = Process::start(program, &platform_args)?;
        let platform_proxy = match layout.has_platform_proxy {
            true => Some(start_proxy(program, platform.addr("addr")?)?),
            false => None,
        };
        let mut cluster = Self {
            program: program.to_owned(),
            layout,
            engines: Vec::new(),
            entries: Vec::new(),
            platform,
            platform_proxy,
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

    /// Adds an engine that this process runs itself; `publish_vms` makes it known.
    ///
    /// # Errors
    ///
    /// The name is not valid.
    pub fn add_external_engine(&mut self, name: &str, addr: SocketAddr) -> Result<(), BenchError> {
        let domain = &self.layout.domains[0];
        let vm = engine_vm(name, domain, addr)?;
        self.engines.push(EngineNode { vm, addr, seed: 0, proxy: None, process: None });
        Ok(())
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
        let engine = &mut self.engines[position];
        engine.seed += 1_000;
        engine.process = None;
        let process = start_engine(&self.program, engine.addr, engine.seed, &self.layout)?;
        engine.process = Some(process);
        Ok(())
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
        let engines = self.engines.iter().map(|engine| engine.vm.clone());
        let entries = self.entries.iter().map(|entry| entry.vm.clone());
        let list = VmList { vms: engines.chain(entries).collect() };
        let client = Client::new(self.platform_addr()?, PLATFORM_WAIT_MS);
        client.send_json(Method::PUT, "/control/vms", &list).await?;
        Ok(())
    }

    /// Address of an engine itself, not of its proxy.
    pub fn engine_addr(&self, position: usize) -> SocketAddr {
        self.engines[position].addr
    }

    /// Proxy of an engine, if the layout has one.
    pub fn engine_proxy(&self, position: usize) -> Option<&Process> {
        self.engines[position].proxy.as_ref()
    }

    /// Proxy of the platform, if the layout has one.
    pub fn platform_proxy(&self) -> Option<&Process> {
        self.platform_proxy.as_ref()
    }

    /// Identifier of an engine's VM.
    pub fn engine_id(&self, position: usize) -> &VmId {
        &self.engines[position].vm.id
    }

    /// Failure domain of an engine.
    pub fn engine_domain(&self, position: usize) -> &DomainName {
        &self.engines[position].vm.domain
    }

    /// Identifier of an entry's VM.
    pub fn entry_id(&self, position: usize) -> &VmId {
        &self.entries[position].vm.id
    }
}

impl Cluster {
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
        let process = start_engine(&self.program, any, seed, &self.layout)?;
        let addr = process.addr("addr")?;
        let proxy = match self.layout.has_engine_proxies {
            true => Some(start_proxy(&self.program, addr)?),
            false => None,
        };
        let public_addr = match &proxy {
            Some(proxy) => proxy.addr("addr")?,
            None => addr,
        };
        let vm = engine_vm(&format!("engine-{domain}-{number}"), domain, public_addr)?;
        self.engines.push(EngineNode { vm, addr, seed, proxy, process: Some(process) });
        Ok(())
    }

    fn add_entry(&mut self, domain: &str, number: usize) -> Result<(), BenchError> {
        let id = VmId::try_from(format!("entry-{domain}-{number}"))?;
        let settings = self._files.path().join(format!("{id}.toml"));
        let platform = match &self.platform_proxy {
            Some(proxy) => proxy.addr("addr")?,
            None => self.platform_addr()?,
        };
        let more = &self.layout.entry_settings;
        let text = |listen: SocketAddr| {
            format!(
                "[entry]\nvm_id = \"{id}\"\ndomain = \"{domain}\"\nlisten = \"{listen}\"\n\n\
                 [platform]\naddr = \"{platform}\"\nvm_list_interval_ms = 200\n\n\
                 [log]\nlevel = \"error\"\n\n{more}\n"
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

fn engine_vm(name: &str, domain: &str, addr: SocketAddr) -> Result<Vm, BenchError> {
    Ok(Vm {
        id: VmId::try_from(name)?,
        role: VmRole::Engine,
        service: Some(ServiceName::try_from(Layout::MODEL)?),
        domain: DomainName::try_from(domain)?,
        addr,
        peer_addr: None,
        state: VmState::Live,
    })
}

fn start_engine(
    program: &Path,
    listen: SocketAddr,
    seed: u64,
    layout: &Layout,
) -> Result<Process, BenchError> {
    let (listen, seed) = (listen.to_string(), seed.to_string());
    let gap = layout.token_gap_ms.to_string();
    let loaded = format!("{}:{}", Layout::MODEL, Layout::VERSION);
    let mut args = vec!["engine", "--listen", &listen, "--seed", &seed, "--token-gap-ms", &gap];
    args.extend(["--load", &loaded]);
    args.extend(layout.engine_args.iter().map(String::as_str));
    Process::start(program, &args)
}

fn start_proxy(program: &Path, target: SocketAddr) -> Result<Process, BenchError> {
    let target = target.to_string();
    Process::start(program, &["proxy", "--listen", "127.0.0.1:0", "--target", &target])
}

fn start_entry(program: &Path, settings: &Path) -> Result<Process, BenchError> {
    let settings = settings.to_string_lossy();
    Process::start(program, &["daemon", "--settings", &settings])
}
