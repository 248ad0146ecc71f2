//! Guards against retries of calls that are not idempotent, keys that escape their account, and claims that are removed
//! too early.

use base::{AccountName, VmId};
use call::{
    CLAIM_RETENTION_MS, Call, ClaimRecord, ClaimState, Idempotency, IdempotencyKey,
    IdempotencyRules, LostCall, MAX_STORED_BODY_BYTES, RequestDigest, StoredAnswer, Unsent,
    expired_claims,
};

#[test]
fn a_sent_call_is_retried_only_if_it_is_idempotent_and_a_retry_is_left() {
    assert!(matches!(Call::new(Idempotency::AtMostOnce, 5).send().lost(), LostCall::Unknown(_)));
    assert!(matches!(Call::new(Idempotency::Idempotent, 0).send().lost(), LostCall::Unknown(_)));
    assert!(matches!(Call::new(Idempotency::Idempotent, 1).send().lost(), LostCall::Retry(_)));
    assert!(Call::new(Idempotency::AtMostOnce, 1).retry().unwrap().retry().is_err());
}

#[test]
fn a_retried_call_that_was_sent_before_is_not_reported_as_not_run() {
    assert!(Call::new(Idempotency::Idempotent, 1).close().is_ok());
    let LostCall::Retry(call) = Call::new(Idempotency::Idempotent, 1).send().lost() else {
        panic!("the call must be retried")
    };
    assert!(call.close().is_err());
}

/// Guards against an unknown outcome of a call that each upstream has refused, some of them late, and against "not run"
/// while another upstream may have run it.
#[test]
fn a_late_refusal_shows_that_its_send_did_not_run() {
    let lost = |call: Call<Unsent>| match call.send().lost() {
        LostCall::Retry(call) => call,
        LostCall::Unknown(_) => panic!("the call must be retried"),
    };
    let call = || lost(lost(Call::new(Idempotency::Idempotent, 3)));
    assert!(call().refused_late(1).close().is_err());
    assert!(call().refused_late(2).close().is_ok());
    assert!(call().refused_late(1).send().refused().refused_late(1).close().is_ok());
}

#[test]
fn an_idempotency_key_or_a_rule_of_the_service_overrides_the_method() {
    let rules = IdempotencyRules::default();
    for method in ["POST", "PATCH", "get", "BOOK"] {
        assert_eq!(rules.decide(method, false), Idempotency::AtMostOnce, "{method}");
    }
    assert_eq!(rules.decide("PUT", false), Idempotency::Idempotent);
    assert_eq!(rules.decide("PUT", true), Idempotency::AtMostOnce);
    let listed = ["PUT".to_owned()];
    let rules = IdempotencyRules { idempotent_methods: &listed, at_most_once_methods: &listed };
    assert_eq!(rules.decide("PUT", false), Idempotency::AtMostOnce);
    let declared = ["POST".to_owned()];
    let rules = IdempotencyRules { idempotent_methods: &declared, at_most_once_methods: &[] };
    assert_eq!(rules.decide("POST", false), Idempotency::Idempotent);
}

#[test]
fn an_idempotency_key_cannot_escape_the_path_of_its_account() {
    let account = AccountName::try_from("alba").unwrap();
    let key = IdempotencyKey::try_from("9f:1_a.b-c").unwrap();
    assert_eq!(key.kv_key(&account), "calls/alba/9f:1_a.b-c");
    for raw in ["", "..", "../x", "a/b", "a b", "ä", "a?b", "a%2f"] {
        assert!(IdempotencyKey::try_from(raw).is_err(), "{raw}");
    }
    assert!(IdempotencyKey::try_from("a".repeat(129).as_str()).is_err());
}

#[test]
fn an_answer_over_the_limit_is_stored_without_its_body() {
    let largest = vec![0xff; MAX_STORED_BODY_BYTES];
    assert_eq!(StoredAnswer::new(200, Vec::new(), &largest).body(), Some(largest));
    let answer = StoredAnswer::new(201, Vec::new(), &vec![0; MAX_STORED_BODY_BYTES + 1]);
    assert_eq!((answer.status, answer.body()), (201, None));
}

#[test]
fn only_claims_older_than_a_day_are_removed_up_to_the_limit() {
    let record = |created_unix_ms| ClaimRecord {
        nonce: 1,
        owner: VmId::try_from("entry").unwrap(),
        digest: RequestDigest::of(&[b"x"]),
        created_unix_ms,
        state: ClaimState::Open,
    };
    let (old, new) = (record(0), record(2));
    let claims = [("a", &old, 1), ("b", &new, 2), ("c", &old, 3), ("d", &old, 4)];
    let now_ms = CLAIM_RETENTION_MS + 1;
    assert_eq!(expired_claims(claims, now_ms, 2), [("a", 1), ("c", 3)]);
}
