//! Block hashes of a context, computed in the same way as the engines compute them.

use sha2::{Digest, Sha256};

/// Block size of the engines' prefix caches.
const BLOCK_BYTES: usize = 256;

/// Maximum number of blocks that are hashed. It covers 64 KiB of context and bounds the cost of a selection.
const MAX_HASHED_BLOCKS: usize = 256;

/// Returns the hashes of the leading whole blocks of a context. `pinned` holds the model, the version and the adapter.
///
/// Each hash covers `pinned` and all bytes up to the end of its block, so a hash identifies a whole prefix.
pub fn block_hashes(pinned: [&str; 3], context: &str) -> Vec<u64> {
    let mut hasher = Sha256::new();
    for field in pinned {
        hasher.update(field.as_bytes());
        hasher.update(b"\n");
    }
    let whole_blocks = context.as_bytes().chunks_exact(BLOCK_BYTES).take(MAX_HASHED_BLOCKS);
    whole_blocks
        .map(|block| {
            hasher.update(block);
            first_u64(&hasher.clone().finalize())
        })
        .collect()
}

/// Returns the first eight bytes of a digest as a big-endian integer.
fn first_u64(digest: &[u8]) -> u64 {
    digest.iter().take(8).fold(0, |value, &byte| (value << 8) | u64::from(byte))
}
