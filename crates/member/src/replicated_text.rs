//! Versioned texts that are replicated to every daemon as patches or as a whole.

use crate::{patch::Patch, patch_error::PatchError, update::Update, version::Version};
use std::{collections::VecDeque, sync::Arc};

/// Maximum number of patches that are kept for daemons that are a few versions behind.
const MAX_PATCHES: usize = 64;

/// Maximum total size of the kept patches in bytes. A larger update is sent as the whole text anyway.
const MAX_PATCHES_BYTES: usize = 65_536;

/// Local replica of a versioned text, with the patches from earlier versions. The version never decreases.
#[derive(Clone, Debug, Default)]
pub struct ReplicatedText {
    version: Version,
    text: Arc<str>,
    patches: VecDeque<Patch>,
}

impl ReplicatedText {
    /// Returns the version of the text. Its number is 0 until a text is set.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the text, which is empty until one is set.
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// Replaces the text if `version` is newer, and returns whether the text was replaced. A version with number 0
    /// stands for "no text" and is refused.
    pub fn replace_if_newer(&mut self, version: Version, text: &str) -> bool {
        if version.number == 0 || version <= self.version {
            return false;
        }
        if self.version.number > 0 {
            self.patches.push_back(Patch::between(self.version, &self.text, version, text));
        }
        self.text = text.into();
        self.version = version;
        while self.patches.len() > MAX_PATCHES || self.patches_bytes() > MAX_PATCHES_BYTES {
            self.patches.pop_front();
        }
        true
    }

    /// Returns the update that a daemon with `version` needs: patches if they are smaller than the text, or the whole
    /// text.
    pub fn update_since(&self, version: Version) -> Update {
        if version >= self.version {
            return Update::None;
        }
        let Some(first) = self.patches.iter().position(|patch| patch.base == version) else {
            return Update::Whole(self.version, self.text.to_string());
        };
        let patches: Vec<Patch> = self.patches.iter().skip(first).cloned().collect();
        let size_bytes: usize = patches.iter().map(|patch| patch.middle.len()).sum();
        if size_bytes < self.text.len() {
            Update::Patches(patches)
        } else {
            Update::Whole(self.version, self.text.to_string())
        }
    }

    /// Returns the version and text that result from an update, without storing them; `None` if the version is not
    /// newer than the current one.
    ///
    /// # Errors
    ///
    /// `Base` if a patch applies to another version, `Range` or `Hash` if the update is damaged. The caller can recover
    /// by fetching the whole text.
    pub fn resolve(&self, update: &Update) -> Result<Option<(Version, String)>, PatchError> {
        let (version, text) = match update {
            Update::None => return Ok(None),
            Update::Whole(version, text) => (*version, text.clone()),
            Update::Patches(patches) => {
                let (mut version, mut text) = (self.version, self.text.to_string());
                for patch in patches {
                    if patch.base != version {
                        return Err(PatchError::Base);
                    }
                    text = patch.apply(&text)?;
                    version = patch.target;
                }
                (version, text)
            }
        };
        if Version::of(version.number, &text) != version {
            return Err(PatchError::Hash);
        }
        Ok((version.number > 0 && version > self.version).then_some((version, text)))
    }

    fn patches_bytes(&self) -> usize {
        self.patches.iter().map(|patch| patch.middle.len()).sum()
    }
}
