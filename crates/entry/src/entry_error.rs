//! Errors while an entry starts.

use quick_error::quick_error;

quick_error! {
    /// Why an entry could not start.
    #[derive(Debug)]
    pub enum EntryError {
        /// The address of the HTTP server could not be bound.
        Bind(cause: std::io::Error) {
            display("the address cannot be bound: {cause}")
            source(cause)
            from()
        }
        /// The server for peers could not start.
        Peer(cause: peer::PeerError) {
            display("the server for peers cannot start: {cause}")
            source(cause)
            from()
        }
        /// An actor could not start.
        Spawn(cause: ractor::SpawnErr) {
            display("an actor cannot start: {cause}")
            source(cause)
            from()
        }
    }
}
