//! Starts, kills and restarts the processes of a cluster, and publishes their VMs.

use crate::{
    bench_error::BenchError,
    cluster::{
        daemon_settings::DaemonSettings, layout::Layout, network::Network, process::Process,
        services::ServiceNode,
    },
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

/// Time within which all entries (daemons that serve callers) must become ready.
const READY_TIMEOUT_MS: u64 = 30_000;

/// Most seed addresses in the settings of each daemon.
const MAX_SEEDS: usize = 3;

/// Timeout of a request to the fake platform or to an entry.
const REPLY_TIMEOUT_MS: u64 = 2_000;

/// Engine with its VM and its processes.
#[derive(Debug)]
struct EngineNode {
    vm: Vm,
    /// Address of the engine process. The address in `vm` is that of the proxy, if there is one.
    addr: SocketAddr,
    /// Seed of the sampling.
    seed: u64,
    /// Proxy between the entries and the engine; `None` if entries connect to the engine directly.
    proxy: Option<Process>,
    /// Whether the list of VMs contains the engine.
    is_listed: bool,
    /// `None` for a killed engine and for one that runs in this process.
    process: Option<Process>,
}

/// Entry with its VM, its settings file and its process.
#[derive(Debug)]
pub(super) struct EntryNode {
    vm: Vm,
    /// Path of the settings file, which restarts of the daemon use again.
    settings: PathBuf,
    /// `None` for a killed or terminated daemon.
    pub process: Option<Process>,
}

/// Cluster of a platform, engines, entries and instances of plain services, each in its own process. An entry is a
/// daemon that serves callers.
///
/// Engines, entries and service instances are addressed by their position from 0, which does not change when a process
/// is killed or restarted. The engines and the entries of the layout are sorted by failure domain.
#[derive(Debug)]
pub struct Cluster {
    pub(super) program: PathBuf,
    pub(super) layout: Layout,
    engines: Vec<EngineNode>,
    platform_proxy: Option<Process>,
    pub(super) entries: Vec<EntryNode>,
    pub(super) platform: Process,
    pub(super) services: Vec<ServiceNode>,
    pub(super) files: TempDir,
    network: Network,
}

impl Cluster {
    /// Starts all processes of `layout` with `program` and waits until the entries are ready.
    ///
    /// # Errors
    ///
    /// A process did not become ready.
    pub async fn start(program: &Path, mut layout: Layout) -> Result<Self, BenchError> {
        let files = tempfile::tempdir()?;
        let mut platform_args = vec!["platform", "--listen", "127.0.0.1:0"];
        platform_args.extend(layout.platform_args.iter().map(String::as_str));
        let platform = Process::start(program, &platform_args)?;
        if layout.has_weight_store {
            let store = platform.addr("addr")?.to_string();
            layout.engine_args.extend(["--weight-store".to_owned(), store]);
        }
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
            services: Vec::new(),
            files,
            network: Network::default(),
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
        cluster.add_services()?;
        if cluster.layout.has_network {
            cluster.add_network().await?;
        }
        for position in 0..cluster.entries.len() {
            cluster.write_settings(position)?;
            if cluster.layout.has_network {
                cluster.restart_entry(position)?;
            }
        }
        cluster.publish_vms().await?;
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    /// Returns the proxies between the failure domains.
    pub fn network(&self) -> &Network {
        &self.network
    }

    /// Returns the layout from which the cluster was started.
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Kills the platform, starts it again at its address with an empty store, and writes the current list of VMs and
    /// the configuration document of the layout.
    ///
    /// # Errors
    ///
    /// The process did not become ready.
    pub async fn reset_platform(&mut self) -> Result<(), BenchError> {
        let listen = self.platform_addr()?.to_string();
        let mut args = vec!["platform", "--listen", &listen];
        args.extend(self.layout.platform_args.iter().map(String::as_str));
        self.platform.kill_and_wait();
        self.platform = Process::start(&self.program, &args)?;
        self.publish_vms().await?;
        self.write_document().await
    }

    /// Returns the addresses at which the running entries accept requests of callers.
    pub fn entry_addrs(&self) -> Vec<SocketAddr> {
        let running_entries = self.entries.iter().filter(|entry| entry.process.is_some());
        running_entries.map(|entry| entry.vm.addr).collect()
    }

    /// Returns the addresses at which the running entries accept requests of operators.
    ///
    /// # Errors
    ///
    /// An entry printed no address with the key `admin` when it started.
    pub fn admin_addrs(&self) -> Result<Vec<SocketAddr>, BenchError> {
        let running_entries = self.entries.iter().filter_map(|entry| entry.process.as_ref());
        running_entries.map(|process| process.addr("admin")).collect()
    }

    /// Returns the directory for files of the cluster. It is removed when the cluster is dropped.
    pub fn files_path(&self) -> &Path {
        self.files.path()
    }

    /// Returns the process of the platform.
    pub fn platform(&self) -> &Process {
        &self.platform
    }

    /// Returns the address at which an entry accepts requests of callers, whether the entry is running or not.
    pub fn entry_addr(&self, position: usize) -> SocketAddr {
        self.entries[position].vm.addr
    }

    /// Returns the position of the entry whose VM has the identifier `id`; `None` if there is none.
    pub fn entry_position(&self, id: &str) -> Option<usize> {
        self.entries.iter().position(|entry| entry.vm.id.as_str() == id)
    }

    /// Returns the number of entries, running or not.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Adds an engine at `addr` that runs inside this process. Entries learn of it after `publish_vms`.
    ///
    /// # Errors
    ///
    /// The name is not valid.
    pub fn add_external_engine(&mut self, name: &str, addr: SocketAddr) -> Result<(), BenchError> {
        let domain = &self.layout.domains[0];
        let vm = engine_vm(name, domain, addr)?;
        self.engines.push(EngineNode {
            vm,
            addr,
            seed: 0,
            proxy: None,
            is_listed: true,
            process: None,
        });
        Ok(())
    }

    /// Returns the number of engines, running or not.
    pub fn engine_count(&self) -> usize {
        self.engines.len()
    }

    /// Returns the process of an engine; `None` if it was killed or runs inside this process.
    pub fn engine(&self, position: usize) -> Option<&Process> {
        self.engines[position].process.as_ref()
    }

    /// Returns the process of an entry; `None` if it was killed or terminated.
    pub fn entry(&self, position: usize) -> Option<&Process> {
        self.entries[position].process.as_ref()
    }

    /// Kills an engine with SIGKILL.
    pub fn kill_engine(&mut self, position: usize) {
        self.engines[position].process = None;
    }

    /// Kills an engine if it is running, and starts it at its previous address with another seed.
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

    /// Stops an engine with SIGSTOP, like a paused VM.
    pub fn freeze_engine(&self, position: usize) {
        if let Some(process) = self.engine(position) {
            process.freeze();
        }
    }

    /// Resumes a frozen engine with SIGCONT.
    pub fn thaw_engine(&self, position: usize) {
        if let Some(process) = self.engine(position) {
            process.thaw();
        }
    }

    /// Removes an engine from the platform's list of VMs. Its process keeps running.
    ///
    /// # Errors
    ///
    /// The platform did not answer.
    pub async fn remove_engine(&mut self, position: usize) -> Result<(), BenchError> {
        self.engines[position].is_listed = false;
        self.publish_vms().await
    }

    /// Marks an engine as leaving in the platform's list of VMs.
    ///
    /// # Errors
    ///
    /// The platform did not answer.
    pub async fn mark_engine_leaving(&mut self, position: usize) -> Result<(), BenchError> {
        self.engines[position].vm.state = VmState::Leaving;
        self.publish_vms().await
    }

    /// Kills an entry with SIGKILL.
    pub fn kill_entry(&mut self, position: usize) {
        self.entries[position].process = None;
    }

    /// Kills an entry if it is running, and starts it at its previous address.
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

    /// Returns the address of the platform.
    ///
    /// # Errors
    ///
    /// The platform printed no address when it started.
    pub fn platform_addr(&self) -> Result<SocketAddr, BenchError> {
        self.platform.addr("addr")
    }

    /// Replaces the platform's list of VMs with the VMs of this cluster.
    ///
    /// # Errors
    ///
    /// The platform did not answer.
    pub async fn publish_vms(&self) -> Result<(), BenchError> {
        let listed_engines = self.engines.iter().filter(|engine| engine.is_listed);
        let engines = listed_engines.map(|engine| engine.vm.clone());
        let entries = self.entries.iter().map(|entry| entry.vm.clone());
        let services = self.services.iter().map(|service| service.vm.clone());
        let list = VmList { vms: engines.chain(entries).chain(services).collect() };
        let client = Client::new(self.platform_addr()?, REPLY_TIMEOUT_MS);
        client.send_json(Method::PUT, "/control/vms", &list).await?;
        Ok(())
    }

    /// Returns the address of the engine process, not that of its proxy.
    pub fn engine_addr(&self, position: usize) -> SocketAddr {
        self.engines[position].addr
    }

    /// Returns the proxy of an engine; `None` if the layout has no engine proxies.
    pub fn engine_proxy(&self, position: usize) -> Option<&Process> {
        self.engines[position].proxy.as_ref()
    }

    /// Returns the proxy of the platform; `None` if the layout has no platform proxy.
    pub fn platform_proxy(&self) -> Option<&Process> {
        self.platform_proxy.as_ref()
    }

    /// Returns the identifier of an engine's VM.
    pub fn engine_id(&self, position: usize) -> &VmId {
        &self.engines[position].vm.id
    }

    /// Returns the failure domain of an engine.
    pub fn engine_domain(&self, position: usize) -> &DomainName {
        &self.engines[position].vm.domain
    }

    /// Returns the identifier of an entry's VM.
    pub fn entry_id(&self, position: usize) -> &VmId {
        &self.entries[position].vm.id
    }
}

impl Cluster {
    /// Writes the configuration document of the layout to the platform.
    async fn write_document(&self) -> Result<(), BenchError> {
        let value = self.layout.document()?.encode()?;
        let write = KvWrite { value, expect_revision: None, lease_id: None };
        let client = Client::new(self.platform_addr()?, REPLY_TIMEOUT_MS);
        client.send_json(Method::PUT, "/kv/config/current", &write).await?;
        Ok(())
    }

    fn add_engine(&mut self, domain: &str, number: usize) -> Result<(), BenchError> {
        let seed = self.layout.seed * 100 + self.engines.len() as u64;
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let process = start_engine(&self.program, any_port, seed, &self.layout)?;
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
        self.engines.push(EngineNode {
            vm,
            addr,
            seed,
            proxy,
            is_listed: true,
            process: Some(process),
        });
        Ok(())
    }

    /// Starts an entry at a free port, with settings that `write_settings` replaces once all addresses are known.
    fn add_entry(&mut self, domain: &str, number: usize) -> Result<(), BenchError> {
        let id = VmId::try_from(format!("entry-{domain}-{number}"))?;
        let settings = self.files.path().join(format!("{id}.toml"));
        let platform = match &self.platform_proxy {
            Some(proxy) => proxy.addr("addr")?,
            None => self.platform_addr()?,
        };
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let text = DaemonSettings {
            id: id.as_str(),
            domain,
            listen: any_port,
            peer_listen: self.layout.has_peers.then_some(any_port),
            platform,
            worker_threads: self.layout.worker_threads,
            vm_list_interval_ms: self.layout.vm_list_interval_ms,
            orders: self.layout.orders.as_deref(),
            recovery: &self.layout.recovery,
            extra_sections: &self.layout.entry_settings,
            seeds: &[],
            address_translations: &[],
        }
        .text();
        std::fs::write(&settings, text)?;
        let process = start_entry(&self.program, &settings)?;
        let addr = process.addr("addr")?;
        let peer_addr = if self.layout.has_peers { Some(process.addr("peer")?) } else { None };
        let vm = Vm {
            id,
            role: VmRole::Entry,
            service: None,
            domain: DomainName::try_from(domain)?,
            addr,
            peer_addr,
            state: VmState::Live,
        };
        self.entries.push(EntryNode { vm, settings, process: Some(process) });
        Ok(())
    }

    /// Rewrites the settings of an entry with fixed addresses and with seeds, so that a restarted daemon binds the same
    /// addresses and finds its peers.
    fn write_settings(&self, position: usize) -> Result<(), BenchError> {
        let vm = &self.entries[position].vm;
        let domain = vm.domain.as_str();
        let platform = match (self.network.platform_addr(domain), &self.platform_proxy) {
            (Some(addr), _) => addr,
            (None, Some(proxy)) => proxy.addr("addr")?,
            (None, None) => self.platform_addr()?,
        };
        let others = self.entries.iter().filter(|entry| entry.vm.id != vm.id);
        let seeds: Vec<SocketAddr> =
            others.filter_map(|entry| entry.vm.peer_addr).take(MAX_SEEDS).collect();
        let text = DaemonSettings {
            id: vm.id.as_str(),
            domain,
            listen: vm.addr,
            peer_listen: vm.peer_addr,
            platform,
            worker_threads: self.layout.worker_threads,
            vm_list_interval_ms: self.layout.vm_list_interval_ms,
            orders: self.layout.orders.as_deref(),
            recovery: &self.layout.recovery,
            extra_sections: &self.layout.entry_settings,
            seeds: &seeds,
            address_translations: &self.network.address_translations(domain),
        }
        .text();
        Ok(std::fs::write(&self.entries[position].settings, text)?)
    }

    /// Starts the proxies from each failure domain to the platform and to the entries of the other failure domains.
    async fn add_network(&mut self) -> Result<(), BenchError> {
        let platform = self.platform_addr()?;
        for from in &self.layout.domains {
            self.network.add(from, None, platform).await?;
            for entry in &self.entries {
                let (to, addr) = (entry.vm.domain.as_str(), entry.vm.peer_addr);
                if let Some(addr) = addr.filter(|_| to != from) {
                    self.network.add(from, Some(to), addr).await?;
                }
            }
        }
        Ok(())
    }

    /// Waits until all running entries are ready, at most for `READY_TIMEOUT_MS`.
    async fn wait_ready(&self) -> Result<(), BenchError> {
        let deadline = Instant::now() + Duration::from_millis(READY_TIMEOUT_MS);
        for addr in self.entry_addrs() {
            let client = Client::new(addr, REPLY_TIMEOUT_MS);
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
