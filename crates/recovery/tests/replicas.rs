//! Guards against cursors that are parsed wrongly, journal replicas that use memory without limit, and claims of the
//! journal of another client account.

use base::{AccountName, VmId};
use quickcheck::{Gen, QuickCheck};
use recovery::{
    Append, AppendStatus, ClaimError, Cursor, Journal, ReplicaHeader, ReplicaLimits, ReplicaStore,
    View, ViewId,
};

const LIMITS: ReplicaLimits = ReplicaLimits {
    size_bytes: 2_000,
    finished_retention_ms: 60_000,
    unfinished_retention_ms: 300_000,
};

fn view() -> ViewId {
    ViewId { number: 1, nonce: 0xab, owner: VmId::try_from("entry-1").unwrap() }
}

fn account() -> AccountName {
    AccountName::try_from("guild").unwrap()
}

/// Returns an append that installs a replica of about 900 bytes with one token.
fn installing_append(generation: &str, finish: Option<&[u8]>) -> Append {
    let mut tokens = Journal::default();
    tokens.push(7, "bell");
    let views = vec![View { id: view(), first_index: 0 }];
    Append {
        generation: generation.into(),
        view: view(),
        first_index: 0,
        tokens,
        install: Some(ReplicaHeader { account: account(), request: vec![0; 500].into(), views }),
        finish: finish.map(Into::into),
    }
}

fn cursor(generation: &str, index: u32) -> Cursor {
    Cursor { generation: generation.into(), view: view(), holder: None, index }
}

#[test]
fn a_cursor_is_parsed_as_it_was_written() {
    let text = "gen-1/3-ab/entry-1/entry-2/17";
    let cursor = Cursor::try_from(text).unwrap();
    assert_eq!((cursor.view.number, cursor.view.nonce, cursor.index), (3, 0xab, 17));
    assert_eq!(cursor.to_string(), text);
    assert_eq!(Cursor::try_from("gen-1/1-0/entry-1/-/0").unwrap().holder, None);
    for invalid in ["", "a/b", "gen-1/3/e/h/1", "gen 1/3-0/e/h/1", "g/3-0/e/h/-1", "g/3-0//h/1"] {
        assert!(Cursor::try_from(invalid).is_err(), "{invalid}");
    }
}

#[test]
fn arbitrary_text_is_rejected_or_parsed_as_the_same_cursor() {
    fn holds(raw: String) -> bool {
        Cursor::try_from(raw.as_str()).is_ok_and(|cursor| cursor.to_string() == raw)
            || Cursor::try_from(raw.as_str()).is_err()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 3))
        .tests(2_000)
        .quickcheck(holds as fn(String) -> bool);
}

#[test]
fn a_full_store_refuses_new_replicas_and_keeps_the_existing_ones() {
    let mut store = ReplicaStore::new(LIMITS);
    assert_eq!(store.append(&installing_append("gen-1", None), 0), AppendStatus::Accepted);
    assert_eq!(store.append(&installing_append("gen-2", None), 0), AppendStatus::Accepted);
    assert_eq!(store.append(&installing_append("gen-3", None), 0), AppendStatus::Full);
    assert!(store.size_bytes() <= LIMITS.size_bytes);
    assert!(store.check_claim(&cursor("gen-1", 1), &account()).is_ok());
}

#[test]
fn finished_and_unfinished_journals_are_dropped_after_their_retention_time() {
    let mut store = ReplicaStore::new(LIMITS);
    store.append(&installing_append("gen-1", Some(b"end")), 0);
    store.append(&installing_append("gen-2", None), 0);
    store.expire(59_999);
    assert_eq!(store.len(), 2);
    store.expire(60_000);
    assert_eq!(store.check_claim(&cursor("gen-1", 1), &account()), Err(ClaimError::Unknown));
    assert_eq!(store.len(), 1);
    store.expire(300_000);
    assert!(store.is_empty());
    assert_eq!(store.size_bytes(), 0);
}

#[test]
fn a_claim_by_another_account_is_refused() {
    let mut store = ReplicaStore::new(LIMITS);
    store.append(&installing_append("gen-1", Some(b"end")), 0);
    let other_account = AccountName::try_from("stranger").unwrap();
    let owner = VmId::try_from("entry-2").unwrap();
    let outcome = store.claim(&cursor("gen-1", 0), &other_account, &owner, 1, 0);
    assert_eq!(outcome, Err(ClaimError::Account));
}
