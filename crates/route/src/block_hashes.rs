//! Names of the blocks of a context, as engines compute them.

use sha2::{Digest, Sha256};

/// Length of a block in the engines' prefix caches.
const BLOCK_BYTES: usize = 256;

/// Blocks that are hashed at most: 64 KiB of context, which bounds the cost of a choice.
const BLOCKS: usize = 256;

/// Hashes of the leading whole blocks of a context; `pinned` are model, version and adapter.
pub fn block_hashes(pinned: [&str; 3], context: &str) -> Vec<u64> {
    let mut hash = Sha256::new();
    for part in pinned {
        hash.update(part.as_bytes());
        hash.update(b"\n");
    }
    let whole_blocks = context.as_bytes().chunks_exact(BLOCK_BYTES).take(BLOCKS);
    whole_blocks
        .map(|block| {
            hash.update(block);
            first_u64(&hash.clone().finalize())
        })
        .collect()
}

fn first_u64(digest: &[u8]) -> u64 {
    digest.iter().take(8).fold(0, |value, &byte| (value << 8) | u64::from(byte))
}
