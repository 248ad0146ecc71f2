//! Identifier of a part of a prompt.

use base::stable_hash;
use serde::{Deserialize, Serialize};
use std::fmt::{Display, Formatter, Result as FmtResult};

/// Size of an identifier.
const SIZE_BYTES: usize = 8;

/// Identifier of a part of a prompt, or of a whole request, of a fixed size. It is unique within one service.
///
/// An identifier that a caller states is kept if it fits, so that it can be found in logs; a longer one is hashed. The
/// hasher has fixed keys, so that all daemons compute the same.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PartId([u8; SIZE_BYTES]);

impl PartId {
    /// Size of an identifier in a message.
    pub const SIZE_BYTES: usize = SIZE_BYTES;
}

impl From<&str> for PartId {
    fn from(text: &str) -> Self {
        let mut bytes = [0; SIZE_BYTES];
        if let Some(start) = bytes.get_mut(..text.len()) {
            start.copy_from_slice(text.as_bytes());
            return Self(bytes);
        }
        Self::from(stable_hash(text))
    }
}

impl From<u64> for PartId {
    fn from(hash: u64) -> Self {
        Self(hash.to_be_bytes())
    }
}

impl Display for PartId {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        let end = self.0.iter().rposition(|&byte| byte != 0).map_or(0, |last| last + 1);
        let text = &self.0[..end];
        match std::str::from_utf8(text) {
            Ok(text) if !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic()) => {
                f.write_str(text)
            }
            _ => write!(f, "{:016x}", u64::from_be_bytes(self.0)),
        }
    }
}
