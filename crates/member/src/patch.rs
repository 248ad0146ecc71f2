//! Difference between two versions of a text.

use crate::{patch_error::PatchError, version::Version};
use serde::{Deserialize, Serialize};

/// Difference between two versions of a text: everything between their common start and their common end.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Patch {
    /// Version that the patch changes.
    pub base: Version,
    /// Version that it leads to.
    pub target: Version,
    /// Bytes that both versions begin with.
    pub start_bytes: usize,
    /// Bytes that both versions end with.
    pub end_bytes: usize,
    /// What the target has between them.
    pub middle: Box<[u8]>,
}

impl Patch {
    /// Computes the difference from `old` to `new`.
    pub fn between(base: Version, old: &str, target: Version, new: &str) -> Self {
        let (old, new) = (old.as_bytes(), new.as_bytes());
        let start_bytes = old.iter().zip(new).take_while(|(a, b)| a == b).count();
        let (old, new) = (&old[start_bytes..], &new[start_bytes..]);
        let end_bytes = old.iter().rev().zip(new.iter().rev()).take_while(|(a, b)| a == b).count();
        let middle = new[..new.len() - end_bytes].into();
        Self { base, target, start_bytes, end_bytes, middle }
    }

    /// Applies the patch to `text`, which must be its base.
    ///
    /// # Errors
    ///
    /// `Range` or `Hash`.
    pub fn apply(&self, text: &str) -> Result<String, PatchError> {
        let text = text.as_bytes();
        let kept = self.start_bytes.checked_add(self.end_bytes).ok_or(PatchError::Range)?;
        if kept > text.len() {
            return Err(PatchError::Range);
        }
        let end = &text[text.len() - self.end_bytes..];
        let parts = [&text[..self.start_bytes], &self.middle, end].concat();
        let result = String::from_utf8(parts).map_err(|_| PatchError::Range)?;
        if Version::of(self.target.number, &result) == self.target {
            Ok(result)
        } else {
            Err(PatchError::Hash)
        }
    }
}
