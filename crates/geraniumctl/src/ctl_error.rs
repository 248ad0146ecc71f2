//! Errors of the operators' program.

use admin::AdminErrorBody;
use plotters::drawing::DrawingAreaErrorKind;
use quick_error::quick_error;
use std::path::PathBuf;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum CtlError {
        /// No command was given.
        NoCommand {
            display("a command is needed; see geraniumctl --help")
        }
        /// An option is missing.
        MissingOption(option: &'static str, variable: &'static str) {
            display("--{option}, {variable} or an access file with {option} is needed")
        }
        /// An address is not valid.
        InvalidAddress(text: String) {
            display("{text:?} is not an IP address with a port")
        }
        /// A plan needs intents.
        NoIntent {
            display("a file or an intent is needed")
        }
        /// No line of the logs names the request.
        RequestNotInLogs(id: String) {
            display("no line names the request {id}")
        }
        /// A file cannot be read.
        Read(path: PathBuf, cause: std::io::Error) {
            display("{} cannot be read: {cause}", path.display())
            source(cause)
        }
        /// A file cannot be written.
        Write(path: PathBuf, cause: std::io::Error) {
            display("{} cannot be written: {cause}", path.display())
            source(cause)
        }
        /// A plot cannot be drawn.
        Plot(cause: DrawingAreaErrorKind<std::io::Error>) {
            display("the plot cannot be drawn: {cause}")
            source(cause)
            from()
        }
        /// A file is not valid TOML.
        Toml(cause: toml::de::Error) {
            display("the file is not valid: {cause}")
            source(cause)
            from()
        }
        /// A file or an answer is not valid JSON.
        Json(cause: serde_json::Error) {
            display("the JSON is not valid: {cause}")
            source(cause)
            from()
        }
        /// The runtime could not start.
        Start(cause: std::io::Error) {
            display("start failed: {cause}")
            source(cause)
            from()
        }
        /// The server refused the request.
        Refused(status: u16, body: Box<AdminErrorBody>) {
            display("{}", crate::render::refusal(*status, body))
        }
        /// The server gave no usable answer; a confirmation may have taken effect.
        NoAnswer(cause: web::ClientError) {
            display("the server did not answer: {cause}; a confirmation may have taken effect")
            source(cause)
            from()
        }
        /// The server cannot be reached; nothing was sent.
        ServerUnreachable(cause: std::io::Error) {
            display("the server cannot be reached: {cause}; nothing was sent")
            source(cause)
        }
    }
}

impl CtlError {
    /// Body of a refusal as JSON.
    pub fn json(&self) -> Option<String> {
        match self {
            Self::Refused(_, body) => serde_json::to_string(body).ok(),
            _ => None,
        }
    }

    /// Exit code: 1 failed, 2 usage, 3 refused as stale, 4 platform unavailable or outcome unknown.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::NoCommand
            | Self::MissingOption(..)
            | Self::InvalidAddress(_)
            | Self::NoIntent => 2,
            Self::Refused(_, body) if body.error.code == "plan_stale" => 3,
            Self::Refused(503, _) | Self::NoAnswer(_) => 4,
            _ => 1,
        }
    }
}
