//! Errors of experiments and of the clusters of processes that they start.

use quick_error::quick_error;

quick_error! {
    /// Reason why an experiment could not run or did not pass.
    #[derive(Debug)]
    pub enum BenchError {
        /// An operation on a process or a file failed.
        Io(cause: std::io::Error) {
            display("{cause}")
            source(cause)
            from()
        }
        /// A process did not print the line `ready …` with its addresses, or did not become ready in time. Contains the
        /// arguments, the printed line or the address of the process.
        NotReady(role: String) {
            display("the process {role} did not become ready")
        }
        /// A request to a process of the cluster failed.
        Client(cause: web::ClientError) {
            display("a request to a process of the cluster failed: {cause}")
            source(cause)
            from()
        }
        /// A fake refused a control message with this HTTP status.
        ControlRefused(status: u16) {
            display("a fake answered a control message with status {status}")
        }
        /// A fault was requested for a proxy that the layout of the cluster does not have.
        NoProxy {
            display("the layout of the cluster has no such proxy")
        }
        /// A request to an engine failed.
        Engine(id: base::VmId, cause: web::ClientError) {
            display("a request to engine {id} failed: {cause}")
            source(cause)
        }
        /// The name of a VM, service, account, model or version is not valid.
        InvalidName(cause: base::NameError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The configuration document is not valid.
        InvalidDocument(cause: fleet::DocumentError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The daemon ended with an error.
        Daemon(cause: geraniumroad::RunError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// JSON could not be decoded or encoded.
        Json(cause: serde_json::Error) {
            display("JSON could not be decoded or encoded: {cause}")
            source(cause)
            from()
        }
        /// The operators' program ended with an exit code other than 0.
        Exit(code: u8) {
            display("the operators' program ended with exit code {code}")
        }
        /// A plot could not be written.
        Plot(cause: String) {
            display("the plot cannot be written: {cause}")
        }
        /// No experiment has this name.
        UnknownExperiment(name: String) {
            display("there is no experiment {name:?}; see --list")
        }
        /// The experiment ran, and one of its checks failed; contains what was found.
        Failed(what: String) {
            display("the experiment failed: {what}")
        }
    }
}
