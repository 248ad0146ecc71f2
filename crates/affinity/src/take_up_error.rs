//! Why a stream that a caller takes up cannot go on.

use crate::software_version::SoftwareVersion;
use quick_error::quick_error;

quick_error! {
    /// Why a stream that a caller takes up cannot go on.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum TakeUpError {
        /// It is not known which version began the stream.
        Unknown {
            display("the software version that began the stream is not known")
        }
        /// No instance has the version that began the stream.
        Gone(version: SoftwareVersion) {
            display("no instance has the software version {version}")
        }
    }
}
