//! Logger of the commands `run` and `dev`: writes lines to standard error, with a level for each component.

use crate::run_error::RunError;
use base::{Clock, HashMap};
use conf::{LogFormat, LogSettings};
use fern::{Dispatch, Output};
use log::{LevelFilter, Record};
use serde_json::json;

/// Log targets of the daemon's own crates. The other targets belong to libraries.
const DAEMON_TARGETS: [&str; 8] =
    ["admin", "call", "entry", "geraniumroad", "orders", "peer", "plat", "upstream"];

/// Writes records as lines in the configured format.
struct LineWriter {
    format: LogFormat,
    /// Least severe level that is written for components that `component_levels` does not contain.
    level: LevelFilter,
    component_levels: HashMap<String, LevelFilter>,
}

impl LineWriter {
    /// Writes a record to standard error if the level of its component allows it.
    ///
    /// The component is the prefix of the message and not the log target, because operators search for the prefix.
    fn write(&self, record: &Record<'_>) {
        let message = record.args().to_string();
        let (component, text) = message.split_once(": ").unwrap_or(("", &message));
        let level = self.component_levels.get(component).unwrap_or(&self.level);
        if record.level() > *level {
            return;
        }
        let time_ms = Clock::unix_ms();
        match self.format {
            LogFormat::Text => eprintln!("{time_ms} {:5} {message}", record.level()),
            LogFormat::Json => {
                let level = record.level().as_str();
                eprintln!(
                    "{}",
                    json!({"time_ms": time_ms, "level": level, "part": component, "message": text})
                );
            }
        }
    }
}

/// Installs the logger.
///
/// # Errors
///
/// A logger is already installed.
pub fn install(settings: &LogSettings) -> Result<(), RunError> {
    let component_levels: HashMap<_, _> = settings.component_levels.iter().cloned().collect();
    let most_verbose = component_levels.values().copied().max().unwrap_or(settings.level);
    let writer = LineWriter { format: settings.format, level: settings.level, component_levels };
    // Records of libraries that are less severe than a warning are of no use to operators.
    let mut dispatch = Dispatch::new().level(LevelFilter::Warn);
    for target in DAEMON_TARGETS {
        dispatch = dispatch.level_for(target, most_verbose.max(settings.level));
    }
    dispatch.chain(Output::call(move |record| writer.write(record))).apply()?;
    Ok(())
}
