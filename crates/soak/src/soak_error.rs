//! Errors that prevent a soak from starting or continuing.

use quick_error::quick_error;

quick_error! {
    /// Reason why a soak ended without a report.
    #[derive(Debug)]
    pub enum SoakError {
        /// A process, a file or a fake could not be started, read or written.
        Io(cause: std::io::Error) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The daemon's program does not exist.
        MissingProgram(path: std::path::PathBuf) {
            display("{} does not exist; build the workspace first", path.display())
        }
        /// Every loopback network is in use.
        NoNetwork {
            display("no loopback network is free for the daemons")
        }
        /// The first daemon did not become ready in time.
        NotReady {
            display("the first daemon did not become ready in time")
        }
    }
}
