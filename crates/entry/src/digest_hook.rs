//! Opaque bytes that travel with heartbeats.

use base::VmId;

/// Source and receiver of opaque bytes that travel with heartbeats, such as the usage of client accounts.
///
/// The methods run on the thread for peers as well and must not block.
pub trait DigestHook: Send + Sync + 'static {
    /// Bytes for the next message; more than `member::Heartbeat::MAX_DIGEST_BYTES` are not sent.
    fn digest(&self) -> Vec<u8>;

    /// Takes the bytes of a live daemon.
    fn receive(&self, from: &VmId, digest: &[u8]);
}
