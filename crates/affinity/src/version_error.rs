//! Why a text is no software version.

use quick_error::quick_error;

quick_error! {
    /// Why a text is no software version.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum VersionError {
        /// The text is empty.
        Empty {
            display("the software version is empty")
        }
        /// The text is too long. The field is its length in bytes.
        TooLong(size_bytes: usize) {
            display("the software version has {size_bytes} bytes")
        }
    }
}
