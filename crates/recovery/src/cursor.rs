//! Cursors, with which a caller resumes a streamed answer.

use crate::{cursor_error::CursorError, view_id::ViewId};
use base::VmId;
use std::fmt::{Display, Formatter, Result as FmtResult};

/// Longest valid identifier of a generation.
const MAX_GENERATION_SIZE_BYTES: usize = 64;

/// Text in place of the holder if the journal has no replica holder.
const NO_HOLDER: &str = "-";

/// Position in a streamed answer, sent as the `id` of each server-sent event.
///
/// The text form is `{generation}/{view}/{entry}/{holder}/{index}`, where the view is `{number}-{nonce}` with the nonce
/// in hexadecimal digits, and the entry is the owner of the view.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cursor {
    /// Identifier of the generation that produces the answer.
    pub generation: Box<str>,
    /// View in which the event was released. Its owner is the entry that released the event.
    pub view: ViewId,
    /// Daemon that holds the journal replica; `None` if there is no replica.
    pub holder: Option<VmId>,
    /// Number of tokens that were sent up to this event, including its own.
    pub index: u32,
}

impl Cursor {
    /// Returns the text form without the index. It is the same for all cursors of one view and holder.
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

    /// Parses the text form of a cursor.
    ///
    /// # Errors
    ///
    /// Fails if the number of parts is wrong, or if the generation, a number or a name is not valid.
    fn try_from(raw: &str) -> Result<Self, CursorError> {
        let parts: Vec<&str> = raw.split('/').collect();
        let [generation, view, entry, holder, index] = parts[..] else {
            return Err(CursorError::Format);
        };
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-';
        let size_range = 1..=MAX_GENERATION_SIZE_BYTES;
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
