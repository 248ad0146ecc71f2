//! Errors of the daemon's commands.

use quick_error::quick_error;

quick_error! {
    /// Reason why a command failed.
    #[derive(Debug)]
    pub enum RunError {
        /// The settings file cannot be read.
        ReadSettings(path: String, cause: std::io::Error) {
            display("{path} cannot be read: {cause}")
            source(cause)
        }
        /// The settings contain mistakes. The fields are the path of the settings file, or a description of the
        /// settings if they come from no file, and all mistakes.
        InvalidSettings(path: String, problems: conf::Problems) {
            display("{path} is not valid:\n{problems}")
            source(problems)
        }
        /// The runtime, a server, the log writer or a fake of `dev` could not be started, or a signal handler could not
        /// be installed.
        Start(cause: std::io::Error) {
            display("start failed: {cause}")
            source(cause)
            from()
        }
        /// The entry could not be started.
        Entry(cause: entry::EntryError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The orders component could not be started.
        Orders(cause: ractor::SpawnErr) {
            display("the orders could not start: {cause}")
            source(cause)
            from()
        }
        /// The configuration that `dev` stores on its fake platform cannot be encoded.
        Document(cause: fleet::DocumentError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// A name in the fleet or the configuration of `dev` is not valid.
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
        /// Neither the option `--settings` nor the environment variable names the settings file of `serve`.
        NoSettingsFile {
            display("a settings file is needed: --settings or GERANIUMROAD_NODE_FILE")
        }
        /// The settings file that the deployment platform wrote for `serve` cannot be read or is not valid.
        PlatformSettings(cause: platform::FormatError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// With `dev --once`, an answer was incomplete or no engine was killed. The fields are the numbers of
        /// requested answers, of complete answers and of killed engines.
        IncompleteAnswers(requested: usize, whole: usize, killed: usize) {
            display("{whole} of {requested} answers are whole after {killed} deaths")
        }
    }
}
