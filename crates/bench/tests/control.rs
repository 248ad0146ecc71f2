//! Guards against methods of `Cluster` that inject no fault, or read the state of another process.

use bench::{
    caller::{AnswerEnd, Caller, GenerationRequest},
    cluster::{Cluster, Layout, program},
};
use stand::{EngineFault, PlatformFault, ProxyFault};
use wire::platform::VmState;

#[tokio::test(flavor = "multi_thread")]
async fn faults_and_state_changes_reach_engines_platform_and_proxies() {
    let layout = Layout {
        domains: vec!["clyde".to_owned()],
        engines_per_domain: 1,
        token_gap_ms: 5,
        has_engine_proxies: true,
        has_platform_proxy: true,
        engine_args: vec!["--batch-limit".to_owned(), "7".to_owned()],
        platform_args: vec!["--vm-list-lag-ms".to_owned(), "10".to_owned()],
        ..Layout::default()
    };
    let cluster = Cluster::start(&program().unwrap(), layout).await.unwrap();
    let request = GenerationRequest {
        model: Layout::MODEL.to_owned(),
        prompt: "a peal plan".to_owned(),
        max_tokens: 5,
    };
    let answer = Caller::new(Layout::KEY).ask(cluster.entry_addrs()[0], &request).await;
    assert_eq!(answer.end, AnswerEnd::Done);
    cluster.inject_engine_fault(0, EngineFault::Leave).await.unwrap();
    let state = cluster.engine_state(0).await.unwrap();
    assert!(state.load.is_leaving);
    assert_eq!(state.load.batch_limit, 7);
    assert_eq!(cluster.engine_counters().await.unwrap()[0].decoded_tokens, 5);
    cluster.inject_engine_fault(0, EngineFault::Freeze).await.unwrap();
    cluster.engine_state(0).await.unwrap();
    cluster.inject_engine_fault(0, EngineFault::Wake).await.unwrap();
    cluster.inject_platform_fault(PlatformFault::Down).await.unwrap();
    assert!(cluster.platform_counts().await.unwrap().vms > 0);
    cluster.inject_platform_fault(PlatformFault::Restore).await.unwrap();
    cluster.set_vm_state(cluster.engine_id(0), Some(VmState::Leaving)).await.unwrap();
    cluster.inject_engine_proxy_fault(0, ProxyFault::Cut).await.unwrap();
    cluster.inject_platform_proxy_fault(ProxyFault::Restore).await.unwrap();
}
