//! Guards against cursors of callers and messages of peers whose values cause a daemon to panic.

use base::{AccountName, VmId};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use recovery::{Append, Cursor, Journal, ReplicaHeader, ReplicaLimits, ReplicaStore, View, ViewId};

/// Seed of all properties.
const SEED: u64 = 1;

/// Numbers at the limits of their range and in between.
const NUMBERS: [u32; 7] = [0, 1, 2, 3, u32::MAX / 2, u32::MAX - 1, u32::MAX];

/// Texts that mutations insert into cursors.
const PIECES: [&str; 10] =
    ["/", "-", "", "4294967296", "-1", "+1", "ffffffffff", "é", "a b", "\u{0}"];

fn number(g: &mut Gen) -> u32 {
    *g.choose(&NUMBERS).unwrap()
}

fn owner(g: &mut Gen) -> VmId {
    VmId::try_from(*g.choose(&["entry-1", "entry-2"]).unwrap()).unwrap()
}

fn account() -> AccountName {
    AccountName::try_from("guild").unwrap()
}

fn view_id(g: &mut Gen) -> ViewId {
    ViewId { number: number(g), nonce: number(g) % 2, owner: owner(g) }
}

fn cursor(g: &mut Gen) -> Cursor {
    let generation = *g.choose(&["g1", "g2"]).unwrap();
    Cursor { generation: generation.into(), view: view_id(g), holder: None, index: number(g) }
}

/// Text of a cursor with up to three mutations.
#[derive(Clone, Debug)]
struct MutatedCursor(String);

impl Arbitrary for MutatedCursor {
    fn arbitrary(g: &mut Gen) -> Self {
        let text = cursor(g).to_string();
        let mut parts: Vec<String> = text.split('/').map(str::to_owned).collect();
        for _ in 0..usize::arbitrary(g) % 4 {
            let at = usize::arbitrary(g) % parts.len();
            let piece = *g.choose(&PIECES).unwrap();
            match u8::arbitrary(g) % 3 {
                0 => parts[at] = piece.to_owned(),
                1 => parts[at].push_str(piece),
                _ => parts.insert(at, piece.to_owned()),
            }
        }
        Self(parts.join("/"))
    }
}

/// Message of a peer, or start of another view by this daemon.
#[derive(Clone, Debug)]
enum Message {
    Append(Append),
    /// Claim with a cursor, by the new owner, with the nonce of its view.
    Claim(Cursor, VmId, u32),
    /// Start of a new view with the owner of the given one, and the nonce of the new view.
    BeginView(ViewId, u32),
}

impl Arbitrary for Message {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 4 {
            0 => Self::Claim(cursor(g), owner(g), number(g)),
            1 => Self::BeginView(view_id(g), number(g)),
            _ => Self::Append(append(g)),
        }
    }
}

fn append(g: &mut Gen) -> Append {
    let mut tokens = Journal::default();
    for _ in 0..usize::arbitrary(g) % 4 {
        tokens.push(number(g), "é ");
    }
    let views = (0..usize::arbitrary(g) % 3)
        .map(|_| View { id: view_id(g), first_index: number(g) })
        .collect();
    let install = bool::arbitrary(g).then(|| ReplicaHeader {
        account: account(),
        request: b"{}".as_slice().into(),
        views,
    });
    Append {
        generation: (*g.choose(&["g1", "g2"]).unwrap()).into(),
        view: view_id(g),
        first_index: number(g),
        tokens,
        install,
        finish: bool::arbitrary(g).then(|| b"{}".as_slice().into()),
    }
}

/// Every text is rejected, or is parsed as a cursor whose text form is parsed as the same cursor.
#[test]
fn no_cursor_text_causes_a_panic() {
    fn property(text: MutatedCursor, arbitrary: String) -> bool {
        [text.0.as_str(), arbitrary.as_str()].into_iter().all(|text| match Cursor::try_from(text) {
            Ok(cursor) => Cursor::try_from(cursor.to_string().as_str()) == Ok(cursor),
            Err(_) => true,
        })
    }
    let generator = Gen::from_size_and_seed(64, SEED);
    QuickCheck::new()
        .rng(generator)
        .tests(5_000)
        .quickcheck(property as fn(MutatedCursor, String) -> bool);
}

/// No sequence of messages causes a panic, and the memory accounting returns to zero once all replicas have expired.
#[test]
fn no_message_of_a_peer_causes_a_panic_in_the_store() {
    fn property(messages: Vec<Message>) -> bool {
        let mut store = ReplicaStore::new(ReplicaLimits::default());
        for message in &messages {
            match message {
                Message::Append(append) => drop(store.append(append, 0)),
                Message::Claim(cursor, owner, nonce) => {
                    let _ = store.claim(cursor, &account(), owner, *nonce, 0);
                }
                Message::BeginView(view, nonce) => drop(store.begin_view("g1", view, *nonce)),
            }
        }
        store.expire(u64::MAX);
        store.is_empty() && store.size_bytes() == 0
    }
    let generator = Gen::from_size_and_seed(60, SEED);
    QuickCheck::new().rng(generator).tests(3_000).quickcheck(property as fn(Vec<Message>) -> bool);
}

/// Guards against an overflow: a peer may send the largest number of a view, and a claim increments it.
#[test]
fn a_view_with_the_largest_number_can_be_claimed() {
    let owner = VmId::try_from("entry-1").unwrap();
    let id = ViewId { number: u32::MAX, nonce: 1, owner: owner.clone() };
    let install = ReplicaHeader {
        account: account(),
        request: b"{}".as_slice().into(),
        views: vec![View { id: id.clone(), first_index: 0 }],
    };
    let append = Append {
        generation: "g1".into(),
        view: id.clone(),
        first_index: 0,
        tokens: Journal::default(),
        install: Some(install),
        finish: None,
    };
    let mut store = ReplicaStore::new(ReplicaLimits::default());
    store.append(&append, 0);
    let cursor = Cursor { generation: "g1".into(), view: id.clone(), holder: None, index: 0 };
    let claimant = VmId::try_from("entry-2").unwrap();
    let replica = store.claim(&cursor, &account(), &claimant, 2, 0).unwrap();
    assert_ne!(replica.view(), Some(&id));
}
