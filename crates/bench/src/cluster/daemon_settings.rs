//! Writes the settings file of a daemon in TOML.

use crate::cluster::layout::Layout;
use base::KeyHash;
use std::net::SocketAddr;

/// Values of the settings file that differ between daemons or clusters.
#[derive(Debug)]
pub(super) struct DaemonSettings<'s> {
    /// Identifier of the daemon's VM.
    pub id: &'s str,
    /// Failure domain of the daemon's VM.
    pub domain: &'s str,
    /// Address on which the daemon accepts requests of callers.
    pub listen: SocketAddr,
    /// Address on which the daemon accepts connections of other daemons; `None` leaves out the section `[peer]`.
    pub peer_listen: Option<SocketAddr>,
    /// Address of the platform, or of the proxy through which the daemon reaches it.
    pub platform: SocketAddr,
    pub worker_threads: u64,
    /// Time between two reads of the platform's list of VMs.
    pub vm_list_interval_ms: u64,
    /// Lines of the section `[orders]`; `None` leaves out the section.
    pub orders: Option<&'s str>,
    /// Lines of the section `[recovery]`.
    pub recovery: &'s str,
    /// Text of further sections, for example `[route]`; may be empty.
    pub extra_sections: &'s str,
    /// Peer addresses of the daemons that this daemon contacts first after its start.
    pub seeds: &'s [SocketAddr],
    /// Peer addresses of daemons, each with the address of the proxy that this daemon connects to instead.
    pub address_translations: &'s [(SocketAddr, SocketAddr)],
}

impl DaemonSettings<'_> {
    /// Returns the content of the settings file.
    pub fn text(&self) -> String {
        let Self {
            id,
            domain,
            listen,
            platform,
            worker_threads,
            vm_list_interval_ms,
            recovery,
            extra_sections,
            ..
        } = self;
        let orders = self.orders.map(|lines| format!("[orders]\n{lines}\n")).unwrap_or_default();
        let operator_key = KeyHash::of(Layout::OPERATOR_KEY);
        let operator_key = operator_key.as_str();
        let peer = self.peer_listen.map(|listen| {
            let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
            let translations = self.address_translations.iter();
            let translations: Vec<String> =
                translations.map(|(from, to)| format!("\"{from}\" = \"{to}\"")).collect();
            let (seeds, translations) = (seeds.join(", "), translations.join(", "));
            format!(
                "[peer]\nlisten = \"{listen}\"\nseeds = [{seeds}]\nvia = {{ {translations} }}\n"
            )
        });
        format!(
            "[entry]\nvm_id = \"{id}\"\ndomain = \"{domain}\"\nlisten = \"{listen}\"\n\
             worker_threads = {worker_threads}\nshutdown_wait_ms = 200\n\n\
             [platform]\naddr = \"{platform}\"\nvm_list_interval_ms = {vm_list_interval_ms}\n\n\
             [admin]\nlisten = \"127.0.0.1:0\"\nbootstrap_key_hash = \"{operator_key}\"\n\n\
             {orders}[recovery]\n{recovery}\n[log]\nlevel = \"error\"\n\n{extra_sections}\n{}",
            peer.unwrap_or_default()
        )
    }
}
