//! Decodes Cap'n Proto messages into validated types.

use crate::{peer_capnp, peer_error::PeerError};
use base::{AccountName, VmId};
use recovery::{Append, AppendStatus, ClaimError, Journal, Replica, ReplicaHeader, View, ViewId};

pub(crate) fn view_id(raw: peer_capnp::view_id::Reader<'_>) -> Result<ViewId, PeerError> {
    let owner = VmId::try_from(raw.get_owner()?.to_str()?)?;
    Ok(ViewId { number: raw.get_number(), nonce: raw.get_nonce(), owner })
}

pub(crate) fn tokens(raw: peer_capnp::tokens::Reader<'_>) -> Result<Journal, PeerError> {
    let text = raw.get_text()?.to_str()?;
    let mut journal = Journal::default();
    let mut start = 0;
    for (token_id, end) in raw.get_ids()?.iter().zip(raw.get_ends()?.iter()) {
        let end = end as usize;
        let token_text = text.get(start..end).ok_or(PeerError::TokenEndOutOfRange(end))?;
        journal.push(token_id, token_text);
        start = end;
    }
    Ok(journal)
}

pub(crate) fn replica_header(
    raw: peer_capnp::install::Reader<'_>,
) -> Result<ReplicaHeader, PeerError> {
    let views = raw.get_views()?;
    let views = views.iter().map(|view| {
        let id = view_id(view.get_id()?)?;
        Ok(View { id, first_index: view.get_first_index() })
    });
    Ok(ReplicaHeader {
        account: AccountName::try_from(raw.get_account()?.to_str()?)?,
        request: raw.get_head()?.into(),
        views: views.collect::<Result<_, PeerError>>()?,
    })
}

pub(crate) fn append(raw: peer_capnp::append::Reader<'_>) -> Result<Append, PeerError> {
    let header = if raw.has_install() { Some(replica_header(raw.get_install()?)?) } else { None };
    Ok(Append {
        generation: raw.get_generation()?.to_str()?.into(),
        view: view_id(raw.get_view()?)?,
        first_index: raw.get_first_index(),
        tokens: tokens(raw.get_tokens()?)?,
        install: header,
        finish: finish(raw.get_finish()?),
    })
}

pub(crate) fn replica(raw: peer_capnp::journal::Reader<'_>) -> Result<Replica, PeerError> {
    let header = replica_header(raw.get_install()?)?;
    let journal = tokens(raw.get_tokens()?)?;
    Ok(Replica::new(header, journal, finish(raw.get_finish()?)))
}

pub(crate) fn append_status(raw: peer_capnp::AppendStatus) -> AppendStatus {
    match raw {
        peer_capnp::AppendStatus::Accepted => AppendStatus::Accepted,
        peer_capnp::AppendStatus::Unknown => AppendStatus::Unknown,
        peer_capnp::AppendStatus::Superseded => AppendStatus::Superseded,
        peer_capnp::AppendStatus::Full => AppendStatus::Full,
    }
}

/// Returns `Ok` if the claim was accepted, otherwise the reason why it was refused.
pub(crate) fn claim_status(raw: peer_capnp::ClaimStatus) -> Result<(), ClaimError> {
    match raw {
        peer_capnp::ClaimStatus::Accepted => Ok(()),
        peer_capnp::ClaimStatus::Unknown => Err(ClaimError::Unknown),
        peer_capnp::ClaimStatus::Account => Err(ClaimError::Account),
        peer_capnp::ClaimStatus::Cursor => Err(ClaimError::Cursor),
    }
}

/// Returns the finish of a generation, or `None` if the field is empty because the generation has not finished.
fn finish(raw: &[u8]) -> Option<Box<[u8]>> {
    (!raw.is_empty()).then(|| raw.into())
}
