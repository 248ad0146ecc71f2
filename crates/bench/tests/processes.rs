//! Guards against answers that break when an engine process is killed in the middle of a stream, and against requests
//! that are served without a valid key or model.

use bench::{
    caller::{AnswerEnd, Caller, GenerationRequest},
    cluster::{Cluster, Layout, program},
};
use std::time::Duration;

fn generation_request(max_tokens: u32) -> GenerationRequest {
    GenerationRequest {
        model: Layout::MODEL.to_owned(),
        prompt: "a peal plan".to_owned(),
        max_tokens,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_complete_after_engines_were_killed_in_turn() {
    let layout = Layout { engines_per_domain: 1, token_gap_ms: 20, ..Layout::default() };
    let mut cluster = Cluster::start(&program().unwrap(), layout).await.unwrap();
    let addr = cluster.entry_addrs()[0];
    let answer_task = tokio::spawn(async move {
        let caller = Caller::new(Layout::KEY);
        caller.ask(addr, &generation_request(100)).await
    });
    for position in 0..cluster.engine_count() {
        tokio::time::sleep(Duration::from_millis(300)).await;
        cluster.kill_engine(position);
        cluster.restart_engine(position).unwrap();
    }
    let answer = answer_task.await.unwrap();
    assert_eq!(answer.end, AnswerEnd::Done);
    assert!(answer.is_whole(Layout::MODEL, "", "a peal plan"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_key_and_an_unknown_model_are_refused() {
    let layout = Layout { engines_per_domain: 1, ..Layout::default() };
    let cluster = Cluster::start(&program().unwrap(), layout).await.unwrap();
    let addr = cluster.entry_addrs()[0];
    let answer = Caller::new("wrong").ask(addr, &generation_request(1)).await;
    assert_eq!(answer.end, AnswerEnd::Refused(401, "invalid_api_key".to_owned()));
    let unknown = GenerationRequest { model: "unknown".to_owned(), ..generation_request(1) };
    let answer = Caller::new(Layout::KEY).ask(addr, &unknown).await;
    assert_eq!(answer.end, AnswerEnd::Refused(404, "model_not_found".to_owned()));
}
