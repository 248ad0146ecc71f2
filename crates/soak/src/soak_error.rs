//! Errors of the soak itself.

use quick_error::quick_error;

quick_error! {
    /// Why a soak could not run.
    #[derive(Debug)]
    pub enum SoakError {
        /// A process, a file or a stand-in could not be used.
        Io(cause: std::io::Error) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The daemon's program is not there.
        MissingProgram(path: std::path::PathBuf) {
            display("{} does not exist; build the workspace first", path.display())
        }
        /// No daemon became ready.
        NotReady {
            display("no daemon became ready")
        }
    }
}
