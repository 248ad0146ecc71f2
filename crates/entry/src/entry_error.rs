//! Error type of `Entry::start`.

use quick_error::quick_error;

quick_error! {
    /// Why an entry could not start.
    #[derive(Debug)]
    pub enum EntryError {
        /// The listen address of the HTTP server for callers could not be bound.
        Bind(cause: std::io::Error) {
            display("the address cannot be bound: {cause}")
            source(cause)
            from()
        }
        /// The server for other daemons could not start, for example because its address is in use.
        Peer(cause: peer::PeerError) {
            display("the server for peers cannot start: {cause}")
            source(cause)
            from()
        }
        /// One of the actors that poll the platform and the engines or exchange heartbeats could not start.
        Spawn(cause: ractor::SpawnErr) {
            display("an actor cannot start: {cause}")
            source(cause)
            from()
        }
    }
}
