//! Hook for data that a component exchanges with other daemons in heartbeats.

use base::VmId;

/// Source and receiver of the digest in heartbeats, which the membership protocol carries without decoding it. An
/// example is the usage of client accounts.
///
/// The methods are also called on the thread that serves peers, so they must not block.
pub trait DigestHook: Send + Sync + 'static {
    /// Digest for the next heartbeat. It is not sent if it is larger than `member::Heartbeat::MAX_DIGEST_BYTES`.
    fn digest(&self) -> Vec<u8>;

    /// Handles the digest in a heartbeat from the daemon `from`. It is not called while that daemon does not trust its
    /// own view of the membership, such as after a pause, nor for an empty digest.
    fn receive(&self, from: &VmId, digest: &[u8]);
}
