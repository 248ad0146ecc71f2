//! Patches between versions of a text.

use crate::{patch_error::PatchError, version::Version};
use serde::{Deserialize, Serialize};

/// Difference between two versions of a text: the part between their common prefix and their common suffix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Patch {
    /// Version that the patch applies to.
    pub base: Version,
    /// Version that the patch produces.
    pub target: Version,
    /// Length of the common prefix in bytes.
    pub start_bytes: usize,
    /// Length of the common suffix in bytes.
    pub end_bytes: usize,
    /// Bytes of the target between prefix and suffix.
    pub middle: Box<[u8]>,
}

impl Patch {
    /// Computes the patch from `old`, which has version `base`, to `new`, which has version `target`.
    pub fn between(base: Version, old: &str, target: Version, new: &str) -> Self {
        let (old, new) = (old.as_bytes(), new.as_bytes());
        let start_bytes = old.iter().zip(new).take_while(|(a, b)| a == b).count();
        let (old, new) = (&old[start_bytes..], &new[start_bytes..]);
        let end_bytes = old.iter().rev().zip(new.iter().rev()).take_while(|(a, b)| a == b).count();
        let middle = new[..new.len() - end_bytes].into();
        Self { base, target, start_bytes, end_bytes, middle }
    }

    /// Applies the patch to `text`, which must be the text of the version `base`.
    ///
    /// # Errors
    ///
    /// `Range` if the patch doesn't match the length of `text` or the result is not UTF-8, `Hash` if the result doesn't
    /// have the hash of the version `target`.
    pub fn apply(&self, text: &str) -> Result<String, PatchError> {
        let text = text.as_bytes();
        let kept = self.start_bytes.checked_add(self.end_bytes).ok_or(PatchError::Range)?;
        if kept > text.len() {
            return Err(PatchError::Range);
        }
        let end = &text[text.len() - self.end_bytes..];
        let bytes = [&text[..self.start_bytes], &self.middle, end].concat();
        let result = String::from_utf8(bytes).map_err(|_| PatchError::Range)?;
        if Version::of(self.target.number, &result) == self.target {
            Ok(result)
        } else {
            Err(PatchError::Hash)
        }
    }
}
