//! Settings file of a daemon of a cluster.

use crate::cluster::layout::Layout;
use base::KeyHash;
use std::net::SocketAddr;

/// What the settings file of a daemon of a cluster says.
#[derive(Debug)]
pub(super) struct DaemonSettings<'s> {
    pub id: &'s str,
    pub domain: &'s str,
    pub listen: SocketAddr,
    /// Address of the server towards peers; none without peers.
    pub peer_listen: Option<SocketAddr>,
    pub platform: SocketAddr,
    pub worker_threads: u64,
    pub vm_list_interval_ms: u64,
    /// Lines of the section `[orders]`; without them there is no such section.
    pub orders: Option<&'s str>,
    /// Lines of the section `[recovery]`.
    pub recovery: &'s str,
    /// More sections.
    pub more: &'s str,
    pub seeds: &'s [SocketAddr],
    pub via: &'s [(SocketAddr, SocketAddr)],
}

impl DaemonSettings<'_> {
    /// Text of the file in TOML.
    pub fn text(&self) -> String {
        let Self {
            id,
            domain,
            listen,
            platform,
            worker_threads,
            vm_list_interval_ms,
            recovery,
            more,
            ..
        } = self;
        let orders = self.orders.map(|lines| format!("[orders]\n{lines}\n")).unwrap_or_default();
        let operator_key = KeyHash::of(Layout::OPERATOR_KEY);
        let operator_key = operator_key.as_str();
        let peer = self.peer_listen.map(|listen| {
            let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
            let via: Vec<String> =
                self.via.iter().map(|(from, to)| format!("\"{from}\" = \"{to}\"")).collect();
            let (seeds, via) = (seeds.join(", "), via.join(", "));
            format!("[peer]\nlisten = \"{listen}\"\nseeds = [{seeds}]\nvia = {{ {via} }}\n")
        });
        format!(
            "[entry]\nvm_id = \"{id}\"\ndomain = \"{domain}\"\nlisten = \"{listen}\"\n\
             worker_threads = {worker_threads}\nshutdown_wait_ms = 200\n\n\
             [platform]\naddr = \"{platform}\"\nvm_list_interval_ms = {vm_list_interval_ms}\n\n\
             [admin]\nlisten = \"127.0.0.1:0\"\nbootstrap_key_hash = \"{operator_key}\"\n\n\
             {orders}[recovery]\n{recovery}\n[log]\nlevel = \"error\"\n\n{more}\n{}",
            peer.unwrap_or_default()
        )
    }
}
