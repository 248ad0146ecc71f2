//! Logs by `fern`.

use crate::run_error::RunError;
use base::{Clock, HashMap};
use conf::{LogFormat, LogSettings};
use fern::{Dispatch, Output};
use log::{LevelFilter, Record};
use serde_json::json;

/// Crates of the daemon that write logs.
const OWN_TARGETS: [&str; 8] =
    ["admin", "call", "entry", "geraniumroad", "orders", "peer", "plat", "upstream"];

/// Levels by part and the form of the lines.
struct LineWriter {
    format: LogFormat,
    level: LevelFilter,
    part_levels: HashMap<String, LevelFilter>,
}

impl LineWriter {
    /// Writes a record to standard error, if its part's level allows it.
    ///
    /// Part and text are separated here and not by log targets, because the part is the prefix that people search for.
    fn write(&self, record: &Record<'_>) {
        let message = record.args().to_string();
        let (part, text) = message.split_once(": ").unwrap_or(("", &message));
        let level = self.part_levels.get(part).unwrap_or(&self.level);
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
                    json!({"time_ms": time_ms, "level": level, "part": part, "message": text})
                );
            }
        }
    }
}

/// Installs the logger; lines go to standard error.
///
/// # Errors
///
/// A logger is installed already.
pub fn install(settings: &LogSettings) -> Result<(), RunError> {
    let part_levels: HashMap<_, _> = settings.component_levels.iter().cloned().collect();
    let most_verbose = part_levels.values().copied().max().unwrap_or(settings.level);
    let writer = LineWriter { format: settings.format, level: settings.level, part_levels };
    // Libraries log under targets of their own, which say nothing to an operator below the level of a warning.
    let mut dispatch = Dispatch::new().level(LevelFilter::Warn);
    for own in OWN_TARGETS {
        dispatch = dispatch.level_for(own, most_verbose.max(settings.level));
    }
    dispatch.chain(Output::call(move |record| writer.write(record))).apply()?;
    Ok(())
}
