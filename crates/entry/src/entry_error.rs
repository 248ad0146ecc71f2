//! Errors of the start of an entry.

use quick_error::quick_error;

quick_error! {
    /// Why an entry could not start.
    #[derive(Debug)]
    pub enum EntryError {
        /// The address could not be bound.
        Bind(cause: std::io::Error) {
            display("the address cannot be bound: {cause}")
            source(cause)
            from()
        }
        /// The messages between daemons could not start.
        Peer(cause: peer::PeerError) {
            display("the server towards peers cannot start: {cause}")
            source(cause)
            from()
        }
        /// An actor could not start.
        Spawn(cause: ractor::SpawnErr) {
            display("an actor could not start: {cause}")
            source(cause)
            from()
        }
    }
}
