//! Search for the journal of a generation whose caller reconnects, and its claim by this entry.

use crate::{
    api_error::ApiError, claimed_journal::ClaimedJournal, replica_holder::ReplicaHolder,
    shared::Shared,
};
use base::{AccountName, VmId};
use futures::future::join_all;
use recovery::{ClaimError, Cursor};
use std::time::Duration;
use tokio::time::timeout;

/// Longest wait for a claim at the previous entry or at the replica holder before the next daemon is asked. It is far
/// above a round trip and far below the timeout of a call to a peer. Without this limit, a daemon that sends nothing
/// would cost two such timeouts, because a failed call is retried once. A claim that takes effect after the wait
/// supersedes the previous view (the period in which one entry owns the journal), and its response is ignored.
const CLAIM_WAIT_MS: u64 = 100;

/// Claims the journal that `cursor` names: at the previous entry, else at the replica holder named in the cursor, else
/// at this entry, else at the peer with the newest replica.
///
/// # Errors
///
/// `HoldersUnreachable` if a daemon that may have the journal did not answer. Otherwise `CursorConflict` if there are
/// replicas, but none contains the position of the cursor, or `GenerationNotFound` if no daemon has the journal. A
/// journal of another account always gives `GenerationNotFound`.
pub(crate) async fn claim_journal(
    shared: &Shared,
    cursor: &Cursor,
    account: &AccountName,
) -> Result<ClaimedJournal, ApiError> {
    let mut search =
        JournalSearch { shared, cursor, account, has_conflict: false, has_unanswered: false };
    let named = [Some(&cursor.view.owner), cursor.holder.as_ref()];
    for id in named.into_iter().flatten() {
        if let Some(claimed) = search.claim_by_id(id).await? {
            return Ok(claimed);
        }
    }
    search.claim_newest().await?.ok_or_else(|| search.not_found_error())
}

/// State of the search for a replica that contains the position of `cursor`.
struct JournalSearch<'s> {
    shared: &'s Shared,
    cursor: &'s Cursor,
    account: &'s AccountName,
    /// Whether a daemon has a replica that lacks the position of the cursor.
    has_conflict: bool,
    /// Whether a daemon did not answer.
    has_unanswered: bool,
}

impl JournalSearch<'_> {
    /// Claims the journal at the daemon `id`; `None` if that daemon is unknown, has no usable replica or does not
    /// answer.
    async fn claim_by_id(&mut self, id: &VmId) -> Result<Option<ClaimedJournal>, ApiError> {
        if id == self.shared.peers.own_id() {
            return self.claim_locally();
        }
        match self.shared.peers.find(id) {
            Some(peer) => {
                let wait = Duration::from_millis(CLAIM_WAIT_MS);
                match timeout(wait, self.claim_at_peer(peer)).await {
                    Ok(outcome) => outcome,
                    Err(_) => {
                        self.has_unanswered = true;
                        Ok(None)
                    }
                }
            }
            None => Ok(None),
        }
    }

    fn claim_locally(&mut self) -> Result<Option<ClaimedJournal>, ApiError> {
        let owner = self.shared.peers.own_id();
        let nonce = rand::random();
        match self.shared.journals.claim(self.cursor, self.account, owner, nonce) {
            Ok(replica) => Ok(Some(ClaimedJournal { replica, holder: None })),
            Err(err) => self.record_claim_error(err),
        }
    }

    async fn claim_at_peer(
        &mut self,
        peer: ReplicaHolder,
    ) -> Result<Option<ClaimedJournal>, ApiError> {
        let Some(peers) = self.shared.peers.handle() else { return Ok(None) };
        let (cursor, account) = (self.cursor.clone(), self.account.clone());
        let owner = self.shared.peers.own_id().clone();
        match peers.claim(peer.addr, cursor, account, owner, rand::random()).await {
            Ok(Ok(replica)) => Ok(Some(ClaimedJournal { replica, holder: Some(peer) })),
            Ok(Err(err)) => self.record_claim_error(err),
            Err(err) => {
                log::info!("claim: peer {} did not answer the claim of a journal: {err}", peer.id);
                self.has_unanswered = true;
                Ok(None)
            }
        }
    }

    /// Claims the journal at this entry, or else at the peer whose replica has the newest view and, within that view,
    /// the most tokens.
    async fn claim_newest(&mut self) -> Result<Option<ClaimedJournal>, ApiError> {
        if let Some(claimed) = self.claim_locally()? {
            return Ok(Some(claimed));
        }
        let Some(peers) = self.shared.peers.handle() else { return Ok(None) };
        let asked = self.shared.peers.all().into_iter().map(|peer| async {
            let answer = peers.fetch(peer.addr, self.cursor.clone(), self.account.clone()).await;
            (peer, answer)
        });
        let mut found = Vec::new();
        for (peer, answer) in join_all(asked).await {
            match answer {
                Ok(Ok(journal)) => found.push((journal, peer)),
                Ok(Err(err)) => drop(self.record_claim_error(err)?),
                Err(_) => self.has_unanswered = true,
            }
        }
        match found.into_iter().max_by_key(|(journal, _)| *journal) {
            Some((_, peer)) => self.claim_at_peer(peer).await,
            None => Ok(None),
        }
    }

    /// Records why a replica cannot be claimed and returns `None`, so that the search continues. A journal of another
    /// account ends the search as if the journal did not exist.
    fn record_claim_error(&mut self, err: ClaimError) -> Result<Option<ClaimedJournal>, ApiError> {
        match err {
            ClaimError::Account => return Err(ApiError::GenerationNotFound),
            ClaimError::Cursor => self.has_conflict = true,
            ClaimError::Unknown => {}
        }
        Ok(None)
    }

    fn not_found_error(&self) -> ApiError {
        if self.has_unanswered {
            ApiError::HoldersUnreachable
        } else if self.has_conflict {
            ApiError::CursorConflict
        } else {
            ApiError::GenerationNotFound
        }
    }
}
