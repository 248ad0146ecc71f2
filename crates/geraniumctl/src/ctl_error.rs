//! Errors of `geraniumctl` and their exit codes.

use admin::AdminErrorBody;
use plotters::drawing::DrawingAreaErrorKind;
use quick_error::quick_error;
use std::path::PathBuf;

quick_error! {
    /// Reason why a command failed.
    #[derive(Debug)]
    pub enum CtlError {
        /// No command was given.
        NoCommand {
            display("a command is needed; see geraniumctl --help")
        }
        /// A required value is neither in the options nor in the environment nor in the access file. The fields are the
        /// names of its option and of its environment variable.
        MissingOption(option: &'static str, variable: &'static str) {
            display("--{option}, {variable} or an access file with {option} is needed")
        }
        /// The server address in the environment is not valid.
        InvalidAddress(text: String) {
            display("{text:?} is not an IP address with a port")
        }
        /// The command `plan` was given neither a file nor intents.
        NoIntent {
            display("a file or an intent is needed")
        }
        /// No log line has the request's identifier in its field `id`. The text tells which daemons may have lost it.
        RequestNotInLogs(explanation: String) {
            display("{explanation}")
        }
        /// A file could not be read.
        Read(path: PathBuf, cause: std::io::Error) {
            display("{} cannot be read: {cause}", path.display())
            source(cause)
        }
        /// A file could not be written.
        Write(path: PathBuf, cause: std::io::Error) {
            display("{} cannot be written: {cause}", path.display())
            source(cause)
        }
        /// A plot of the burn report could not be drawn.
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
        /// A file or a response is not valid JSON.
        Json(cause: serde_json::Error) {
            display("the JSON is not valid: {cause}")
            source(cause)
            from()
        }
        /// The runtime could not be started, or standard input could not be read.
        Start(cause: std::io::Error) {
            display("start failed: {cause}")
            source(cause)
            from()
        }
        /// The administration server refused the request. The fields are the HTTP status and the body of the response.
        Refused(status: u16, body: Box<AdminErrorBody>) {
            display("{}", crate::render::refusal(*status, body))
        }
        /// The administration server gave no valid response. If the request was a confirmation, it may have taken
        /// effect.
        NoAnswer(cause: web::ClientError) {
            display("the server did not answer: {cause}; a confirmation may have taken effect")
            source(cause)
            from()
        }
        /// No connection to the server could be established, so that nothing was sent.
        ServerUnreachable(cause: std::io::Error) {
            display("the server cannot be reached: {cause}; nothing was sent")
            source(cause)
        }
    }
}

impl CtlError {
    /// Returns the response body of a refused request as JSON, or `None` for other errors.
    pub fn json(&self) -> Option<String> {
        match self {
            Self::Refused(_, body) => serde_json::to_string(body).ok(),
            _ => None,
        }
    }

    /// Returns the exit code: 2 for a usage error, 3 for a stale plan, 4 for a response with status 503 (platform
    /// unavailable or outcome unknown) or no valid response, and 1 for other errors.
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
