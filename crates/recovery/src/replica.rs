//! Journal replicas: which appends and claims they accept.

use crate::{
    append::Append, append_status::AppendStatus, claim_error::ClaimError, cursor::Cursor,
    journal::Journal, replica_header::ReplicaHeader, view::View, view_id::ViewId,
};
use base::{AccountName, VmId};

/// Estimated memory of a replica without its tokens, request and views.
const BASE_SIZE_BYTES: usize = 256;

/// Estimated memory of a view.
const VIEW_SIZE_BYTES: usize = 96;

/// Estimated memory of a token without its text.
const TOKEN_SIZE_BYTES: usize = 12;

/// Replica of a journal with its view history.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Replica {
    header: ReplicaHeader,
    tokens: Journal,
    finish: Option<Box<[u8]>>,
}

impl Replica {
    /// Creates a replica. `finish` is the opaque form of how the answer ended; `None` while the generation runs.
    pub fn new(header: ReplicaHeader, tokens: Journal, finish: Option<Box<[u8]>>) -> Self {
        Self { header, tokens, finish }
    }

    /// Client account, request and view history of the journal.
    pub fn header(&self) -> &ReplicaHeader {
        &self.header
    }

    /// Tokens of the answer that the replica contains, from index 0 on.
    pub fn tokens(&self) -> &Journal {
        &self.tokens
    }

    /// How the answer ended, in an opaque form; `None` while the generation runs.
    pub fn finish(&self) -> Option<&[u8]> {
        self.finish.as_deref()
    }

    /// Identifier of the current view, whose owner may append. `None` if a peer sent a header without views.
    pub fn view(&self) -> Option<&ViewId> {
        self.header.views.last().map(|view| &view.id)
    }

    /// Estimated memory of the replica in bytes, including its tokens, request and views.
    pub fn size_bytes(&self) -> usize {
        BASE_SIZE_BYTES
            + self.header.request.len()
            + self.header.views.len() * VIEW_SIZE_BYTES
            + self.tokens.text().len()
            + self.tokens.token_ids().len() * TOKEN_SIZE_BYTES
    }

    /// Checks whether the replica can serve the tokens after `cursor`.
    ///
    /// All replicas that contain a view agree on the tokens before its first index, because the only owner of the view
    /// started from them. They agree on the tokens up to the end of the view, because only that owner appended them.
    ///
    /// # Errors
    ///
    /// `Account` if another client account owns the journal, `Cursor` if the replica lacks the position of the cursor.
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

    /// Begins a view of `owner`, unless the answer has ended or the claim is a retry.
    pub fn claim(&mut self, owner: &VmId, nonce: u32) {
        let last = self.view();
        // The owner retries a claim if its response was lost.
        let is_retry = last.is_some_and(|id| id.owner == *owner && id.nonce == nonce);
        if self.finish.is_some() || is_retry {
            return;
        }
        self.begin_view(owner, nonce);
    }

    /// Begins a view of `owner` at the index after the last token.
    ///
    /// The number saturates, because a peer may have sent the largest one. The nonce still distinguishes the views.
    pub fn begin_view(&mut self, owner: &VmId, nonce: u32) {
        let number = self.view().map_or(0, |id| id.number).saturating_add(1);
        let id = ViewId { number, nonce, owner: owner.clone() };
        self.header.views.push(View { id, first_index: self.tokens.len() });
    }

    /// Whether a replica with `header` descends from this one, which means that the view history in `header` contains
    /// the current view of this replica.
    pub fn is_ancestor_of(&self, header: &ReplicaHeader) -> bool {
        self.header.views.last().is_some_and(|last| header.views.contains(last))
    }

    /// Applies an append of the owner. If the append installs a replica, the installed replica must descend from this
    /// one, and replaces this one if it has more views or at least as many tokens.
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
        // The owner retries an append if its response was lost, so the replica may already contain some of the tokens.
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
