//! Guards against updates that corrupt or revert a text, readers that alternately replace each other's list, and
//! oversized digests.

use member::{
    Heartbeat, Incarnation, Member, MemberState, Message, MessageError, Patch, PatchError,
    ReadFilter, ReplicatedText, Update, Version,
};
use quickcheck::{Gen, QuickCheck};

/// Seed of the random cases.
const SEED: u64 = 5;

/// Returns a checker with a fixed seed, so that every test run tries the same cases.
fn checker() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(60, SEED)).tests(2_000)
}

#[test]
fn a_patch_turns_any_text_into_any_other() {
    fn holds(start: String, old: String, new: String, end: String) -> bool {
        let (old, new) = (format!("{start}{old}{end}"), format!("{start}{new}{end}"));
        let target = Version::of(2, &new);
        Patch::between(Version::of(1, &old), &old, target, &new).apply(&old) == Ok(new)
    }
    checker().quickcheck(holds as fn(String, String, String, String) -> bool);
}

#[test]
fn a_patch_for_another_text_is_refused() {
    fn holds(old: String, new: String, other: String) -> bool {
        let patch = Patch::between(Version::of(1, &old), &old, Version::of(2, &new), &new);
        match patch.apply(&other) {
            Ok(result) => result == new,
            Err(err) => matches!(err, PatchError::Hash | PatchError::Range),
        }
    }
    checker().quickcheck(holds as fn(String, String, String) -> bool);
}

#[test]
fn a_replica_follows_over_several_versions_and_never_reverts() {
    fn holds(texts: Vec<String>, gap: u8) -> bool {
        let (mut leader, mut follower) = (ReplicatedText::default(), ReplicatedText::default());
        for (number, text) in (1..).zip(&texts) {
            leader.replace_if_newer(Version::of(number, text), text);
            if number % (u64::from(gap % 5) + 1) == 0 {
                let update = leader.update_since(follower.version());
                let Ok(Some((version, text))) = follower.resolve(&update) else { return false };
                follower.replace_if_newer(version, &text);
                if follower.text() != leader.text() {
                    return false;
                }
            }
        }
        let held = follower.version();
        let older = Version::of(held.number.saturating_sub(1), "older");
        !follower.replace_if_newer(older, "older") && follower.version() == held
    }
    checker().quickcheck(holds as fn(Vec<String>, u8) -> bool);
}

#[test]
fn a_corrupt_update_is_refused() {
    let replica = ReplicatedText::default();
    let update = Update::Whole(Version::of(3, "text"), "texT".to_owned());
    assert_eq!(replica.resolve(&update), Err(PatchError::Hash));
    let patch = Patch::between(Version::of(8, "a"), "a", Version::of(9, "b"), "b");
    assert_eq!(replica.resolve(&Update::Patches(vec![patch])), Err(PatchError::Base));
}

#[test]
fn a_reader_with_an_older_list_does_not_replace_a_newer_one_immediately() {
    let mut filter = ReadFilter::default();
    assert!(filter.accept(0, 1));
    // Another reader has published list 2, and this reader still reads list 1.
    assert!(!filter.accept(2, 1));
    assert!(!filter.accept(2, 1));
    assert!(!filter.accept(2, 2));
    // A read that differs from the previous one is accepted immediately.
    assert!(filter.accept(2, 3));
    // A read that stays the same but differs from the held list is accepted after some refusals.
    let kept = (0..10).take_while(|_| !filter.accept(4, 3)).count();
    assert_eq!(kept, 3);
}

#[test]
fn an_oversized_digest_is_refused() {
    let from = Member {
        id: "entry-1".parse().unwrap(),
        domain: "clyde".parse().unwrap(),
        addr: ([127, 0, 0, 1], 1).into(),
        incarnation: Incarnation(1),
        state: MemberState::Alive,
    };
    let size_bytes = Heartbeat::MAX_DIGEST_BYTES + 1;
    let heartbeat = Heartbeat {
        from,
        is_trusted: true,
        versions: [Version::default(); 2],
        records: Vec::new(),
        digest: vec![0; size_bytes].into(),
    };
    let outcome = Message::Heartbeat(heartbeat).encode();
    assert_eq!(outcome, Err(MessageError::DigestSize(size_bytes)));
}
