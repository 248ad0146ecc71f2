//! Section `[log]`.

use crate::section::{Section, Source};
use quick_error::quick_error;
use std::str::FromStr;
use toml::de::DeTable;

quick_error! {
    /// The name of a log format is unknown.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum LogFormatError {
        /// The name is unknown.
        Unknown {
            display("unknown format")
        }
    }
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Text.
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

/// Logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogSettings {
    /// Form of the lines.
    pub format: LogFormat,
    /// Lowest level that is written.
    pub level: log::LevelFilter,
    /// Levels of single parts, which go before `level`; a part is the prefix of a line, for example `recovery`.
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
