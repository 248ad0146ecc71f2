//! Copy of a versioned text.

use crate::{patch::Patch, patch_error::PatchError, update::Update, version::Version};
use std::{collections::VecDeque, sync::Arc};

/// Patches that are kept for daemons that are a few versions behind.
const PATCH_COUNT: usize = 64;

/// Most bytes of kept patches; more bytes are sent as the whole text anyway.
const PATCH_BYTES: usize = 65_536;

/// Copy of a versioned text. The version never decreases.
#[derive(Clone, Debug, Default)]
pub struct ReplicatedText {
    version: Version,
    text: Arc<str>,
    patches: VecDeque<Patch>,
}

impl ReplicatedText {
    /// Version of the text; number 0 before the first.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The text.
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// Takes a text if its version is newer. Number 0 stands for no text and is refused.
    pub fn replace_if_newer(&mut self, version: Version, text: &str) -> bool {
        if version.number == 0 || version <= self.version {
            return false;
        }
        if self.version.number > 0 {
            self.patches.push_back(Patch::between(self.version, &self.text, version, text));
        }
        self.text = text.into();
        self.version = version;
        while self.patches.len() > PATCH_COUNT || self.patches_bytes() > PATCH_BYTES {
            self.patches.pop_front();
        }
        true
    }

    /// What a daemon with `version` lacks.
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

    /// The version and the text that an update leads to, without taking them.
    ///
    /// # Errors
    ///
    /// The update is not for this version or is damaged. Asking for the whole text helps.
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
