//! Logs by `fern`.

use crate::run_error::RunError;
use base::Clock;
use conf::{LogFormat, LogSettings};
use fern::Dispatch;
use serde_json::json;

/// Installs the logger; lines go to standard error.
///
/// # Errors
///
/// A logger is installed already.
pub fn install(settings: &LogSettings) -> Result<(), RunError> {
    let format = settings.format;
    Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("admin", settings.level)
        .level_for("entry", settings.level)
        .level_for("geraniumroad", settings.level)
        .format(move |out, message, record| {
            let time_ms = Clock::unix_ms();
            let level = record.level();
            match format {
                LogFormat::Text => out.finish(format_args!("{time_ms} {level} {message}")),
                LogFormat::Json => {
                    let message = message.to_string();
                    let (part, text) = message.split_once(": ").unwrap_or(("", &message));
                    let line = json!({
                        "time_ms": time_ms,
                        "level": level.as_str(),
                        "part": part,
                        "message": text,
                    });
                    out.finish(format_args!("{line}"));
                }
            }
        })
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}
