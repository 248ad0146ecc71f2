//! Section `[log]` of the settings file: format and levels of the log lines.

use crate::section::{Section, Source};
use quick_error::quick_error;
use std::str::FromStr;
use toml::de::DeTable;

quick_error! {
    /// Error of parsing the name of a log format.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum LogFormatError {
        /// There is no log format of this name.
        Unknown {
            display("unknown format")
        }
    }
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Plain text.
    #[default]
    Text,
}

impl FromStr for LogFormat {
    type Err = LogFormatError;

    fn from_str(text: &str) -> Result<Self, LogFormatError> {
        match text {
            "json" => Ok(Self::Json),
            "text" => Ok(Self::Text),
            _ => Err(LogFormatError::Unknown),
        }
    }
}

/// Settings of the daemon's logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogSettings {
    /// Whether the lines are plain text or JSON.
    pub format: LogFormat,
    /// Least severe level that is written.
    pub level: log::LevelFilter,
    /// Levels of single components, which override `level`. The component of a line is the word before its first colon,
    /// for example `recovery`.
    pub component_levels: Vec<(String, log::LevelFilter)>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::Text,
            level: log::LevelFilter::Info,
            component_levels: Vec::new(),
        }
    }
}

impl LogSettings {
    /// Reads the section. Missing keys get their defaults.
    pub(crate) fn read(root: &mut DeTable<'_>, source: &mut Source<'_>) -> Self {
        let default = Self::default();
        let mut section = Section::open("log", root, source);
        let format = section.parsed("format", "text, json", default.format, source);
        let levels = "off, error, warn, info, debug, trace";
        let level = section.parsed("level", levels, default.level, source);
        let component_levels = section.map("parts", levels, source);
        section.close(source);
        Self { format, level, component_levels }
    }
}
