//! Reader for the whole settings file, which consists of the sections of the other modules.

use crate::{
    admin_settings::AdminSettings,
    entry_settings::EntrySettings,
    limit_settings::LimitSettings,
    log_settings::LogSettings,
    orders_settings::OrdersSettings,
    peer_settings::PeerSettings,
    platform_settings::PlatformSettings,
    problem::{Problem, Problems},
    recovery_settings::RecoverySettings,
    route_settings::RouteSettings,
    section::Source,
};
use toml::de::DeTable;

/// Sections that a settings file may have, as an error message lists them.
const SECTIONS: &str =
    "[admin], [entry], [limits], [log], [orders], [peer], [platform], [recovery], [route]";

/// Sections whose keys are read only if the section is present.
const OPTIONAL_SECTIONS: &str = "[admin]\n[orders]\n[peer]\n";

/// Settings of the daemon, one field for each section of the file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Server for operators; `None` if there is none.
    pub admin: Option<AdminSettings>,
    /// Settings of the VM and of the server for callers.
    pub entry: EntrySettings,
    /// Limits on the requests of callers.
    pub limits: LimitSettings,
    /// Format and levels of the logs.
    pub log: LogSettings,
    /// Orders to engines; `None` if this daemon sends none.
    pub orders: Option<OrdersSettings>,
    /// Messages between daemons; `None` if this daemon has no peers.
    pub peer: Option<PeerSettings>,
    /// Access to the platform's HTTP interface.
    pub platform: PlatformSettings,
    /// Recovery of generations whose engine fails.
    pub recovery: RecoverySettings,
    /// Load balancing over upstreams.
    pub route: RouteSettings,
}

impl TryFrom<&str> for Settings {
    type Error = Problems;

    /// Reads and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns all problems in the file.
    fn try_from(text: &str) -> Result<Self, Problems> {
        let mut source = Source { text, problems: Vec::new(), keys: Vec::new() };
        let (root, errors) = DeTable::parse_recoverable(text);
        for error in errors {
            let offset = error.span().map_or(0, |span| span.start);
            let line = source.line(offset);
            source.problems.push(Problem {
                line,
                key: String::new(),
                message: error.message().to_owned(),
                allowed: String::new(),
            });
        }
        let mut root = root.into_inner();
        let settings = Self::read(&mut root, &mut source);
        for (key, value) in &root {
            let line = source.line(value.span().start);
            source.problems.push(Problem {
                line,
                key: key.get_ref().clone().into_owned(),
                message: "is not known".to_owned(),
                allowed: SECTIONS.to_owned(),
            });
        }
        source.problems.sort_by_key(|problem| problem.line);
        match settings {
            Some(settings) if source.problems.is_empty() => Ok(settings),
            _ => Err(Problems(source.problems)),
        }
    }
}

impl Settings {
    /// Returns all keys that a settings file may have, with their sections, for example `entry.listen`.
    pub fn keys() -> Vec<String> {
        let text = OPTIONAL_SECTIONS;
        let mut source = Source { text, problems: Vec::new(), keys: Vec::new() };
        let (root, _) = DeTable::parse_recoverable(text);
        Self::read(&mut root.into_inner(), &mut source);
        source.keys
    }

    fn read(root: &mut DeTable<'_>, source: &mut Source<'_>) -> Option<Self> {
        let admin = AdminSettings::read(root, source);
        let entry = EntrySettings::read(root, source);
        let limits = LimitSettings::read(root, source);
        let log = LogSettings::read(root, source);
        let orders = OrdersSettings::read(root, source);
        let peer = PeerSettings::read(root, source);
        let platform = PlatformSettings::read(root, source);
        let recovery = RecoverySettings::read(root, source);
        let route = RouteSettings::read(root, source);
        Some(Self {
            admin,
            entry: entry?,
            limits,
            log,
            orders,
            peer,
            platform: platform?,
            recovery,
            route,
        })
    }
}
