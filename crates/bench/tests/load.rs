//! Guards against rate and capacity limits that a real daemon does not enforce, or enforces without a typed error.

use bench::{
    caller::{AnswerEnd, Caller, GenerationRequest},
    cluster::{Cluster, Layout, program},
};
use tokio::task::JoinSet;
use web::{Client, Method};

fn generation_request(max_tokens: u32) -> GenerationRequest {
    GenerationRequest {
        model: Layout::MODEL.to_owned(),
        prompt: "a peal plan".to_owned(),
        max_tokens,
    }
}

fn one_engine_layout() -> Layout {
    Layout {
        domains: vec!["clyde".to_owned()],
        engines_per_domain: 1,
        token_gap_ms: 20,
        ..Layout::default()
    }
}

/// Sends `count` requests at once and returns how each answer ended.
async fn ask_concurrently(
    cluster: &Cluster,
    count: usize,
    request: &GenerationRequest,
) -> Vec<AnswerEnd> {
    let addr = cluster.entry_addrs()[0];
    let mut answer_tasks = JoinSet::new();
    for _ in 0..count {
        let request = request.clone();
        answer_tasks.spawn(async move { Caller::new(Layout::KEY).ask(addr, &request).await.end });
    }
    answer_tasks.join_all().await
}

/// Guards against a client account that exceeds its rate limit, and against rejections without a typed error.
#[tokio::test(flavor = "multi_thread")]
async fn requests_over_the_rate_of_the_account_are_rejected_with_429() {
    let layout = Layout { requests_per_s: 1, ..one_engine_layout() };
    let cluster = Cluster::start(&program().unwrap(), layout).await.unwrap();
    let ends = ask_concurrently(&cluster, 30, &generation_request(1)).await;
    let limited = AnswerEnd::Refused(429, "rate_limit_exceeded".to_owned());
    assert!(ends.contains(&AnswerEnd::Done));
    assert!(ends.contains(&limited));
    assert!(ends.iter().all(|end| *end == AnswerEnd::Done || *end == limited));
}

/// Guards against a service that admits more requests than its engines and queue have capacity for, and against
/// admitted requests that are not finished.
#[tokio::test(flavor = "multi_thread")]
async fn requests_over_the_capacity_of_the_service_are_rejected_with_503() {
    let layout = Layout {
        engine_args: ["--batch-limit", "4"].map(str::to_owned).to_vec(),
        entry_settings: "[limits]\nqueue_wait_ms = 100".to_owned(),
        ..one_engine_layout()
    };
    let cluster = Cluster::start(&program().unwrap(), layout).await.unwrap();
    let client = Client::new(cluster.entry_addrs()[0], 2_000);
    // The entry knows the capacity once it has polled the load of the engine. More than 1,000 polled bytes show that.
    loop {
        let reply = client.send(Method::GET, "/metrics").await.unwrap();
        if String::from_utf8_lossy(&reply.body).contains("route_poll_bytes_total") {
            let text = String::from_utf8_lossy(&reply.body).into_owned();
            let row = text.lines().find(|line| line.starts_with("route_poll_bytes_total"));
            let bytes = row.and_then(|row| row.rsplit(' ').next()?.parse::<u64>().ok());
            if bytes.is_some_and(|bytes| bytes > 1_000) {
                break;
            }
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    let ends = ask_concurrently(&cluster, 60, &generation_request(100)).await;
    let rejected = AnswerEnd::Refused(503, "overloaded".to_owned());
    assert!(ends.contains(&AnswerEnd::Done));
    assert!(ends.contains(&rejected));
    assert!(ends.iter().all(|end| *end == AnswerEnd::Done || *end == rejected), "{ends:?}");
}
