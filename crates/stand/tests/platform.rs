//! Guards against a fake platform whose guarantees differ from those of the real platform.

mod common;

use base::{DomainName, VmId};
use common::{are_distinct, complete_in_time};
use plat::PlatformError;
use stand::{Platform, PlatformFault, PlatformSettings};
use std::time::Duration;
use wire::platform::{KvWrite, Vm, VmRole, VmState, WeightRequest};

async fn start_platform(settings: PlatformSettings) -> (Platform, plat::Platform) {
    let platform = Platform::start(settings).await.unwrap();
    let client = plat::Platform::new(platform.addr(), 30_000);
    (platform, client)
}

fn kv_write(value: &str, expect_revision: Option<u64>) -> KvWrite {
    KvWrite { value: value.to_owned(), expect_revision, lease_id: None }
}

fn vm(id: &str) -> Vm {
    Vm {
        id: VmId::try_from(id).unwrap(),
        role: VmRole::Entry,
        service: None,
        domain: DomainName::try_from("clyde").unwrap(),
        addr: "127.0.0.1:1".parse().unwrap(),
        peer_addr: None,
        state: VmState::Live,
    }
}

#[tokio::test]
async fn only_a_write_with_the_current_revision_takes_effect() {
    let (platform, client) = start_platform(PlatformSettings::default()).await;
    let first = client.put("plans/a", &kv_write("1", Some(0))).await.unwrap();
    let second = client.put("plans/a", &kv_write("2", Some(first))).await.unwrap();
    for stale in [0, first] {
        match client.put("plans/a", &kv_write("3", Some(stale))).await {
            Err(PlatformError::Conflict(current)) => assert_eq!(current.revision, second),
            other => panic!("unexpected outcome {other:?}"),
        }
    }
    assert!(matches!(client.delete("plans/a", Some(first)).await, Err(PlatformError::Conflict(_))));
    client.delete("plans/a", Some(second)).await.unwrap();
    assert_eq!(client.get("plans/a").await.unwrap(), None);
    let again = client.put("plans/a", &kv_write("4", Some(0))).await.unwrap();
    assert!(again > second, "revisions must increase, also after a removal");
    platform.close().await;
}

#[tokio::test]
async fn a_list_holds_the_existing_keys_of_its_prefix_only() {
    let (platform, client) = start_platform(PlatformSettings::default()).await;
    for key in ["plans/a", "plans/b", "plans/c", "plan", "calls/a"] {
        platform.put(key, key);
    }
    client.delete("plans/b", None).await.unwrap();
    let list = client.list("plans/").await.unwrap();
    let keys: Vec<&str> = list.entries.iter().map(|entry| entry.key.as_str()).collect();
    assert_eq!(keys, ["plans/a", "plans/c"]);
    platform.close().await;
}

#[tokio::test]
async fn a_response_is_lost_only_after_its_write_took_effect() {
    let (platform, client) = start_platform(PlatformSettings::default()).await;
    platform.inject_fault(PlatformFault::LoseNextAnswers { writes: 1 });
    let lost = client.put("calls/a", &kv_write("nonce", Some(0))).await;
    assert!(matches!(lost, Err(PlatformError::Unavailable(_))));
    assert_eq!(client.get("calls/a").await.unwrap().unwrap().value, "nonce");
    // A rejected write has not taken effect, so its response is not lost.
    platform.inject_fault(PlatformFault::LoseNextAnswers { writes: 1 });
    let refused = client.put("calls/a", &kv_write("other", Some(0))).await;
    assert!(matches!(refused, Err(PlatformError::Conflict(_))));
    assert_eq!(platform.counts().lost_answers, 1);
    platform.close().await;
}

#[tokio::test]
async fn the_same_seed_loses_the_same_responses() {
    let mut patterns = Vec::new();
    for _ in 0..2 {
        let (platform, client) = start_platform(PlatformSettings::default()).await;
        platform.inject_fault(PlatformFault::LoseAnswers { probability: 0.5, seed: 7 });
        let mut pattern = Vec::new();
        for number in 0..20 {
            pattern.push(client.put(&format!("k{number}"), &kv_write("v", None)).await.is_ok());
        }
        assert!(pattern.contains(&true) && pattern.contains(&false));
        assert_eq!(client.list("k").await.unwrap().entries.len(), 20);
        patterns.push(pattern);
        platform.close().await;
    }
    assert_eq!(patterns[0], patterns[1]);
}

#[tokio::test]
async fn the_end_of_a_lease_removes_its_keys_and_wakes_watches() {
    let (platform, client) = start_platform(PlatformSettings::default()).await;
    // On a busy machine a short lease may expire before the key is written. Then the test retries with a longer one.
    let mut ttl_ms = 50;
    let (lease, attached, revision) = loop {
        let lease = client.grant_lease(ttl_ms).await.unwrap();
        let attached = KvWrite { lease_id: Some(lease.lease_id), ..kv_write("holder", None) };
        match client.put("lease/composer", &attached).await {
            Ok(revision) => break (lease, attached, revision),
            Err(PlatformError::LeaseEnded) => ttl_ms *= 2,
            Err(err) => panic!("unexpected outcome {err}"),
        }
    };
    let changes = client.watch("lease/", revision, 30_000).await.unwrap();
    assert_eq!(changes.entries[0].value, "");
    assert_eq!(client.get("lease/composer").await.unwrap(), None);
    let ended = client.keep_lease(lease.lease_id).await;
    assert!(matches!(ended, Err(PlatformError::LeaseEnded)));
    let late = client.put("lease/composer", &attached).await;
    assert!(matches!(late, Err(PlatformError::LeaseEnded)));
    platform.close().await;
}

#[tokio::test]
async fn a_revoked_lease_removes_only_keys_that_are_still_attached() {
    let (platform, client) = start_platform(PlatformSettings::default()).await;
    let lease = client.grant_lease(3_600_000).await.unwrap();
    assert_eq!(client.keep_lease(lease.lease_id).await.unwrap(), lease);
    let attached = KvWrite { lease_id: Some(lease.lease_id), ..kv_write("1", None) };
    client.put("a", &attached).await.unwrap();
    client.put("b", &attached).await.unwrap();
    client.put("b", &kv_write("2", None)).await.unwrap();
    client.revoke_lease(lease.lease_id).await.unwrap();
    assert_eq!(client.get("a").await.unwrap(), None);
    assert_eq!(client.get("b").await.unwrap().unwrap().value, "2");
    let again = client.revoke_lease(lease.lease_id).await;
    assert!(matches!(again, Err(PlatformError::LeaseEnded)));
    platform.close().await;
}

#[tokio::test]
async fn fencing_tokens_increase() {
    let (platform, client) = start_platform(PlatformSettings::default()).await;
    let mut tokens = Vec::new();
    for _ in 0..5 {
        let lease = client.grant_lease(3_600_000).await.unwrap();
        client.revoke_lease(lease.lease_id).await.unwrap();
        tokens.push(lease.fencing_token);
    }
    assert!(tokens.is_sorted() && are_distinct(&tokens));
    platform.close().await;
}

#[tokio::test]
async fn a_platform_that_is_down_does_not_respond_and_keeps_its_state() {
    let (platform, client) = start_platform(PlatformSettings::default()).await;
    platform.put("a", "1");
    platform.inject_fault(PlatformFault::Down);
    assert!(matches!(client.get("a").await, Err(PlatformError::Unavailable(_))));
    platform.inject_fault(PlatformFault::Restore);
    assert_eq!(client.get("a").await.unwrap().unwrap().value, "1");
    platform.close().await;
}

#[tokio::test]
async fn each_call_counts_once_under_its_kind() {
    let (platform, client) = start_platform(PlatformSettings::default()).await;
    let _ = client.get("a").await;
    let _ = client.list("a").await;
    let _ = client.put("a", &kv_write("1", None)).await;
    let _ = client.delete("a", None).await;
    let _ = client.watch("b", 0, 20).await;
    let _ = client.grant_lease(1).await;
    let _ = client.vms().await;
    let counts = platform.counts();
    let kinds = [
        counts.gets,
        counts.lists,
        counts.puts,
        counts.deletes,
        counts.watches,
        counts.leases,
        counts.vms,
    ];
    assert_eq!(kinds, [1; 7]);
    platform.close().await;
}

#[tokio::test]
async fn a_value_of_one_megabyte_is_accepted_and_a_larger_one_is_not() {
    let (platform, client) = start_platform(PlatformSettings::default()).await;
    let largest = "x".repeat(1024 * 1024);
    client.put("a", &kv_write(&largest, None)).await.unwrap();
    let too_large = client.put("a", &kv_write(&format!("{largest}x"), None)).await;
    assert!(matches!(too_large, Err(PlatformError::Status(413))));
    platform.close().await;
}

#[tokio::test]
async fn the_list_of_vms_is_published_with_a_delay() {
    for (vm_list_lag_ms, state) in [(0, VmState::Leaving), (3_600_000, VmState::Live)] {
        let settings = PlatformSettings { vm_list_lag_ms, ..PlatformSettings::default() };
        let (platform, client) = start_platform(settings).await;
        platform.set_vms(vec![vm("entry-1"), vm("entry-2")]);
        assert!(platform.set_vm_state("entry-1", Some(VmState::Leaving)));
        assert!(!platform.set_vm_state("entry-3", Some(VmState::Leaving)));
        assert_eq!(client.vms().await.unwrap().vms[0].state, state);
        platform.close().await;
    }
}

#[tokio::test]
async fn the_weight_store_refuses_transfers_beyond_its_limit() {
    let settings = PlatformSettings {
        weight_transfers: 1,
        weight_size_bytes: 3_600_000,
        weight_rate_bytes_per_s: 1_000,
        ..PlatformSettings::default()
    };
    let (platform, client) = start_platform(settings).await;
    let request = WeightRequest {
        model: "composer".to_owned(),
        version: "v1".to_owned(),
        adapters: Vec::new(),
    };
    let (first_client, first_request) = (client.clone(), request.clone());
    let first = tokio::spawn(async move {
        let _ = first_client.fetch_weights(&first_request, 3_600_000).await;
    });
    complete_in_time(async {
        while platform.counts().weights == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
    // The platform counts a transfer before it schedules it, so the second transfer may be scheduled first. Then the
    // second one times out, and is requested again.
    let refused = loop {
        match client.fetch_weights(&request, 200).await {
            Err(PlatformError::Unavailable(_)) => {}
            outcome => break outcome,
        }
    };
    assert!(matches!(refused, Err(PlatformError::Busy)));
    first.abort();
    platform.close().await;
}
