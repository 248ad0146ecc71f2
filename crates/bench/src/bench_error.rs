//! Errors of experiments.

use quick_error::quick_error;

quick_error! {
    /// Why an experiment could not run or did not pass.
    #[derive(Debug)]
    pub enum BenchError {
        /// A process or file could not be handled.
        Io(cause: std::io::Error) {
            display("{cause}")
            source(cause)
            from()
        }
        /// A process did not say that it is ready.
        NotReady(role: String) {
            display("the process {role} did not become ready")
        }
        /// A server of a test process did not answer.
        Client(cause: web::ClientError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// A stand-in refused a control message.
        Control(status: u16) {
            display("a stand-in answered a control message with status {status}")
        }
        /// The layout of the cluster has no such proxy.
        NoProxy {
            display("the layout of the cluster has no such proxy")
        }
        /// An engine did not answer.
        Engine(id: base::VmId, cause: web::ClientError) {
            display("{id}: {cause}")
            source(cause)
        }
        /// A name is not valid.
        Name(cause: base::NameError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The configuration document is not valid.
        Document(cause: fleet::DocumentError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The daemon failed.
        Daemon(cause: geraniumroad::RunError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// JSON could not be read or written.
        Json(cause: serde_json::Error) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The operators' program ended with an exit code other than 0.
        Exit(code: u8) {
            display("exit code {code}")
        }
        /// A plot could not be written.
        Plot(cause: String) {
            display("the plot cannot be written: {cause}")
        }
        /// There is no such experiment.
        UnknownExperiment(name: String) {
            display("there is no experiment {name:?}; see --list")
        }
        /// The experiment showed a broken promise.
        Failed(what: String) {
            display("the experiment failed: {what}")
        }
    }
}
