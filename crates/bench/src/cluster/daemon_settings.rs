//! Settings file of a daemon of a cluster.

use crate::cluster::layout::Layout;
use base::KeyHash;
use std::net::SocketAddr;

/// Values from which the settings file of a daemon is written.
#[derive(Debug)]
pub(super) struct DaemonSettings<'s> {
    pub id: &'s str,
    pub domain: &'s str,
    pub listen: SocketAddr,
    /// Address of the server for peers; `None` leaves out the section `[peer]`.
    pub peer_listen: Option<SocketAddr>,
    pub platform: SocketAddr,
    pub worker_threads: u64,
    pub vm_list_interval_ms: u64,
    /// Lines of the section `[orders]`; `None` leaves out the section.
    pub orders: Option<&'s str>,
    /// Lines of the section `[recovery]`.
    pub recovery: &'s str,
    /// Text of further sections.
    pub extra_sections: &'s str,
    /// Peer addresses of daemons that this daemon contacts first.
    pub seeds: &'s [SocketAddr],
    /// Pairs of the address of a peer and the address of the proxy to it.
    pub address_translations: &'s [(SocketAddr, SocketAddr)],
}

impl DaemonSettings<'_> {
    /// Returns the text of the file in TOML.
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
