//! Encodes validated types into Cap'n Proto messages.

use crate::peer_capnp;
use recovery::{Append, AppendStatus, ClaimError, Journal, Replica, ReplicaHeader, ViewId};

pub(crate) fn view_id(id: &ViewId, mut out: peer_capnp::view_id::Builder<'_>) {
    out.set_number(id.number);
    out.set_nonce(id.nonce);
    out.set_owner(id.owner.as_str());
}

pub(crate) fn tokens(journal: &Journal, mut out: peer_capnp::tokens::Builder<'_>) {
    let mut ids = out.reborrow().init_ids(journal.len());
    for (index, &token_id) in journal.token_ids().iter().enumerate() {
        ids.set(index as u32, token_id);
    }
    let mut ends = out.reborrow().init_ends(journal.len());
    let mut end = 0;
    for index in 0..journal.len() {
        end += journal.text_at(index).len() as u32;
        ends.set(index, end);
    }
    out.set_text(journal.text());
}

pub(crate) fn replica_header(header: &ReplicaHeader, mut out: peer_capnp::install::Builder<'_>) {
    out.set_account(header.account.as_str());
    out.set_head(&header.request);
    let mut views = out.init_views(header.views.len() as u32);
    for (index, view) in header.views.iter().enumerate() {
        let mut out_view = views.reborrow().get(index as u32);
        out_view.set_first_index(view.first_index);
        view_id(&view.id, out_view.init_id());
    }
}

pub(crate) fn append(append: &Append, mut out: peer_capnp::append::Builder<'_>) {
    out.set_generation(&*append.generation);
    view_id(&append.view, out.reborrow().init_view());
    out.set_first_index(append.first_index);
    tokens(&append.tokens, out.reborrow().init_tokens());
    if let Some(header) = &append.install {
        replica_header(header, out.reborrow().init_install());
    }
    if let Some(finish) = &append.finish {
        out.set_finish(finish);
    }
}

pub(crate) fn replica(replica: &Replica, mut out: peer_capnp::journal::Builder<'_>) {
    replica_header(replica.header(), out.reborrow().init_install());
    tokens(replica.tokens(), out.reborrow().init_tokens());
    if let Some(finish) = replica.finish() {
        out.set_finish(finish);
    }
}

pub(crate) fn append_status(status: AppendStatus) -> peer_capnp::AppendStatus {
    match status {
        AppendStatus::Accepted => peer_capnp::AppendStatus::Accepted,
        AppendStatus::Unknown => peer_capnp::AppendStatus::Unknown,
        AppendStatus::Superseded => peer_capnp::AppendStatus::Superseded,
        AppendStatus::Full => peer_capnp::AppendStatus::Full,
    }
}

pub(crate) fn claim_status<T>(outcome: &Result<T, ClaimError>) -> peer_capnp::ClaimStatus {
    match outcome {
        Ok(_) => peer_capnp::ClaimStatus::Accepted,
        Err(ClaimError::Unknown) => peer_capnp::ClaimStatus::Unknown,
        Err(ClaimError::Account) => peer_capnp::ClaimStatus::Account,
        Err(ClaimError::Cursor) => peer_capnp::ClaimStatus::Cursor,
    }
}
