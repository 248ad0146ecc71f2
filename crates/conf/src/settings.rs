//! The whole settings file.

use crate::{
    entry_settings::EntrySettings,
    limit_settings::LimitSettings,
    log_settings::LogSettings,
    platform_settings::PlatformSettings,
    problem::{Problem, Problems},
    recovery_settings::RecoverySettings,
    section::Source,
};
use toml::de::DeTable;

/// Sections that a settings file may have.
const SECTIONS: &str = "[entry], [limits], [log], [platform], [recovery]";

/// Settings of the daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Server towards callers.
    pub entry: EntrySettings,
    /// Limits on what a caller may send.
    pub limits: LimitSettings,
    /// Logs.
    pub log: LogSettings,
    /// Access to the platform.
    pub platform: PlatformSettings,
    /// Recovery of generations.
    pub recovery: RecoverySettings,
}

impl TryFrom<&str> for Settings {
    type Error = Problems;

    /// Reads the text of a settings file.
    ///
    /// # Errors
    ///
    /// Every mistake in the file.
    fn try_from(text: &str) -> Result<Self, Problems> {
        let mut source = Source { text, problems: Vec::new() };
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
        let entry = EntrySettings::read(&mut root, &mut source);
        let limits = LimitSettings::read(&mut root, &mut source);
        let log = LogSettings::read(&mut root, &mut source);
        let platform = PlatformSettings::read(&mut root, &mut source);
        let recovery = RecoverySettings::read(&mut root, &mut source);
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
        match (entry, platform) {
            (Some(entry), Some(platform)) if source.problems.is_empty() => {
                Ok(Self { entry, limits, log, platform, recovery })
            }
            _ => Err(Problems(source.problems)),
        }
    }
}
