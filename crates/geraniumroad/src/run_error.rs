//! Errors of the daemon's commands.

use quick_error::quick_error;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum RunError {
        /// The settings file cannot be read.
        ReadSettings(path: String, cause: std::io::Error) {
            display("{path} cannot be read: {cause}")
            source(cause)
        }
        /// The settings file has mistakes.
        InvalidSettings(path: String, problems: conf::Problems) {
            display("{path} is not valid:\n{problems}")
            source(problems)
        }
        /// The runtime or a stand-in could not start.
        Start(cause: std::io::Error) {
            display("start failed: {cause}")
            source(cause)
            from()
        }
        /// The entry could not start.
        Entry(cause: entry::EntryError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The orders could not start.
        Orders(cause: ractor::SpawnErr) {
            display("the orders could not start: {cause}")
            source(cause)
            from()
        }
        /// The configuration for the embedded platform is not valid.
        Document(cause: fleet::DocumentError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// A name is not valid.
        Name(cause: base::NameError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The logger could not be installed.
        Log(cause: log::SetLoggerError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The metrics recorder could not be installed.
        Metrics {
            display("the metrics recorder could not be installed")
        }
        /// No settings file is named.
        NoSettingsFile {
            display("a settings file is needed: --settings or GERANIUMROAD_NODE_FILE")
        }
        /// The settings file of the platform is not valid.
        PlatformSettings(cause: platform::FormatError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The run of `dev --once` broke its promise.
        IncompleteAnswers(answers: usize, whole: usize, deaths: usize) {
            display("{whole} of {answers} answers are whole after {deaths} deaths")
        }
    }
}
