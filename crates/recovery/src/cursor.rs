//! Position in a streamed answer.

use crate::{cursor_error::CursorError, view_id::ViewId};
use base::VmId;
use std::fmt::{Display, Formatter, Result as FmtResult};

/// Longest accepted identifier of a generation.
const GENERATION_SIZE_BYTES: usize = 64;

/// Text in place of the holder when there is no copy.
const NO_HOLDER: &str = "-";

/// Position in a streamed answer, which is the `id` of its events.
///
/// The text is `{generation}/{view}/{entry}/{holder}/{index}`, where the view is `{number}-{nonce}` and the nonce has
/// hexadecimal digits. The index counts the tokens that were sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cursor {
    /// Generation.
    pub generation: Box<str>,
    /// View in which the event was released; its owner is the entry that released it.
    pub view: ViewId,
    /// Daemon that holds the copy, if there is one.
    pub holder: Option<VmId>,
    /// Tokens that were sent.
    pub index: u32,
}

impl Cursor {
    /// The text without the index, which all cursors of the view and holder have in common.
    pub fn prefix(&self) -> String {
        let ViewId { number, nonce, owner } = &self.view;
        let holder = self.holder.as_ref().map_or(NO_HOLDER, VmId::as_str);
        format!("{}/{number}-{nonce:x}/{owner}/{holder}/", self.generation)
    }
}

impl Display for Cursor {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        write!(f, "{}{}", self.prefix(), self.index)
    }
}

impl TryFrom<&str> for Cursor {
    type Error = CursorError;

    /// Reads the text of a cursor.
    ///
    /// # Errors
    ///
    /// What is wrong with the text.
    fn try_from(raw: &str) -> Result<Self, CursorError> {
        let parts: Vec<&str> = raw.split('/').collect();
        let [generation, view, entry, holder, index] = parts[..] else {
            return Err(CursorError::Format);
        };
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-';
        let size_range = 1..=GENERATION_SIZE_BYTES;
        if !size_range.contains(&generation.len()) || !generation.chars().all(is_allowed) {
            return Err(CursorError::Generation);
        }
        let (number, nonce) = view.split_once('-').ok_or(CursorError::Format)?;
        let holder = match holder {
            NO_HOLDER => None,
            name => Some(VmId::try_from(name)?),
        };
        let view = ViewId {
            number: number.parse()?,
            nonce: u32::from_str_radix(nonce, 16)?,
            owner: VmId::try_from(entry)?,
        };
        Ok(Self { generation: generation.into(), view, holder, index: index.parse()? })
    }
}
