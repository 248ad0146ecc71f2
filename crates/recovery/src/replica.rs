//! Copy of a journal.

use crate::{
    append::Append, append_status::AppendStatus, claim_error::ClaimError, cursor::Cursor,
    journal::Journal, replica_header::ReplicaHeader, view::View, view_id::ViewId,
};
use base::{AccountName, VmId};

/// Memory of a copy without its tokens, head and views.
const BASE_SIZE_BYTES: usize = 256;

/// Memory of a view.
const VIEW_SIZE_BYTES: usize = 96;

/// Memory of a token besides its text.
const TOKEN_SIZE_BYTES: usize = 12;

/// Copy of a journal with its view history.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Replica {
    header: ReplicaHeader,
    tokens: Journal,
    finish: Option<Box<[u8]>>,
}

impl Replica {
    /// Copy that begins with `install` and holds `tokens`.
    pub fn new(header: ReplicaHeader, tokens: Journal, finish: Option<Box<[u8]>>) -> Self {
        Self { header, tokens, finish }
    }

    /// Account, head and view history.
    pub fn header(&self) -> &ReplicaHeader {
        &self.header
    }

    /// Tokens.
    pub fn tokens(&self) -> &Journal {
        &self.tokens
    }

    /// How the answer ended, if it has.
    pub fn finish(&self) -> Option<&[u8]> {
        self.finish.as_deref()
    }

    /// View whose owner may append.
    pub fn view(&self) -> Option<&ViewId> {
        self.header.views.last().map(|view| &view.id)
    }

    /// Estimated memory.
    pub fn size_bytes(&self) -> usize {
        BASE_SIZE_BYTES
            + self.header.request.len()
            + self.header.views.len() * VIEW_SIZE_BYTES
            + self.tokens.text().len()
            + self.tokens.token_ids().len() * TOKEN_SIZE_BYTES
    }

    /// Whether the copy can serve the tokens after `cursor`.
    ///
    /// All copies with a view agree on the tokens before its first index, because the view's only owner began from
    /// them. Up to the end of the view they agree because only that owner appended.
    ///
    /// # Errors
    ///
    /// `Account` or `Cursor`.
    pub fn check_claim(&self, cursor: &Cursor, account: &AccountName) -> Result<(), ClaimError> {
        if self.header.account != *account {
            return Err(ClaimError::Account);
        }
        let views = &self.header.views;
        let position =
            views.iter().position(|view| view.id == cursor.view).ok_or(ClaimError::Cursor)?;
        let end = views.get(position + 1).map_or(self.tokens.len(), |next| next.first_index);
        if cursor.index > end {
            return Err(ClaimError::Cursor);
        }
        Ok(())
    }

    /// Begins a view of `owner`, unless the answer has ended or the same claim was made before.
    pub fn claim(&mut self, owner: &VmId, nonce: u32) {
        let last = self.view();
        // A claim is repeated when its response was lost.
        let is_repeated = last.is_some_and(|id| id.owner == *owner && id.nonce == nonce);
        if self.finish.is_some() || is_repeated {
            return;
        }
        self.begin_view(owner, nonce);
    }

    /// Begins a view of `owner` after all tokens. A peer may have named the largest number; the nonce still tells the
    /// views apart.
    pub fn begin_view(&mut self, owner: &VmId, nonce: u32) {
        let number = self.view().map_or(0, |id| id.number).saturating_add(1);
        let id = ViewId { number, nonce, owner: owner.clone() };
        self.header.views.push(View { id, first_index: self.tokens.len() });
    }

    /// Whether a copy that begins with `install` descends from this one.
    pub fn is_ancestor_of(&self, header: &ReplicaHeader) -> bool {
        self.header.views.last().is_some_and(|last| header.views.contains(last))
    }

    /// Takes an append of the owner. A copy that begins anew replaces this one only if it descends from it.
    pub fn append(&mut self, append: &Append) -> AppendStatus {
        if let Some(install) = &append.install {
            if !self.is_ancestor_of(install) {
                return AppendStatus::Superseded;
            }
            if install.views.len() > self.header.views.len()
                || append.tokens.len() >= self.tokens.len()
            {
                *self = Self::new(install.clone(), append.tokens.clone(), append.finish.clone());
            }
            return AppendStatus::Accepted;
        }
        if self.view() != Some(&append.view) {
            return AppendStatus::Superseded;
        }
        let len = self.tokens.len();
        if append.first_index > len {
            return AppendStatus::Unknown;
        }
        // An append is repeated when its response was lost, so a part of it may be known.
        for index in len - append.first_index..append.tokens.len() {
            let token_id = append.tokens.token_ids()[index as usize];
            self.tokens.push(token_id, append.tokens.text_at(index));
        }
        if append.finish.is_some() {
            self.finish.clone_from(&append.finish);
        }
        AppendStatus::Accepted
    }
}
