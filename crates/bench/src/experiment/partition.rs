//! Experiment `partition`: failure domains serve requests while a network partition separates them from each other and
//! from the platform.

use crate::{
    bench_error::BenchError,
    caller::{Answer, Caller, GenerationRequest},
    cluster::{Cluster, Layout},
    experiment::{metrics::Metrics, options::ExperimentOptions},
};
use serde_json::json;
use stand::ProxyFault;
use std::{net::SocketAddr, path::Path, time::Duration};
use tokio::{sync::watch, task::JoinSet, time::Instant};

/// Number of concurrent callers in each failure domain.
const CALLERS: usize = 6;

/// Most tokens of each answer.
const TOKENS: u32 = 40;

/// Time within which all daemons must see each other as live, counted from their start and again from the end of the
/// partition.
const HEAL_TIMEOUT_MS: u64 = 60_000;

/// Time between two reads of a daemon's metrics.
const POLL_INTERVAL_MS: u64 = 100;

/// Numbers of answers that one caller got, or all callers of one failure domain.
#[derive(Clone, Copy, Default)]
struct AnswerCounts {
    /// Complete answers.
    whole: u64,
    /// Complete answers for which the network was partitioned both at their start and at their end.
    whole_while_partitioned: u64,
    /// Answers that were not complete.
    broken: u64,
}

pub(super) async fn run(program: &Path, options: &ExperimentOptions) -> Result<(), BenchError> {
    let layout = Layout {
        entries_per_domain: 2,
        worker_threads: 2,
        has_network: true,
        seed: options.seed,
        ..Layout::default()
    };
    let domains = layout.domains.clone();
    let cluster = Cluster::start(program, layout).await?;
    let live = cluster.entry_count() - 1;
    wait_live(&cluster, live).await?;
    let (partition, is_partitioned) = watch::channel(false);
    let end = Instant::now() + Duration::from_secs(options.duration_s);
    let mut callers = JoinSet::new();
    for (number, domain) in (0..CALLERS).flat_map(|n| (0..domains.len()).map(move |d| (n, d))) {
        let addr = cluster.entry_addr(domain * 2 + number % 2);
        callers.spawn(ask_until(addr, domain, number, end, is_partitioned.clone()));
    }
    let phase = Duration::from_secs(options.duration_s) / 4;
    tokio::time::sleep(phase).await;
    set_fault_everywhere(&cluster, ProxyFault::Refuse);
    set_fault_everywhere(&cluster, ProxyFault::Cut);
    partition.send_replace(true);
    tokio::time::sleep(phase * 2).await;
    let live_while_cut = Metrics::read(cluster.entry_addr(0)).await?.value("member_live");
    partition.send_replace(false);
    set_fault_everywhere(&cluster, ProxyFault::Restore);
    let heal_start = Instant::now();
    wait_live(&cluster, live).await?;
    let heal_ms = heal_start.elapsed().as_millis() as u64;
    let mut served = vec![AnswerCounts::default(); domains.len()];
    for (domain, counts) in callers.join_all().await {
        served[domain].whole += counts.whole;
        served[domain].whole_while_partitioned += counts.whole_while_partitioned;
        served[domain].broken += counts.broken;
    }
    let broken: u64 = served.iter().map(|served| served.broken).sum();
    let sides: Vec<_> = domains
        .iter()
        .zip(&served)
        .map(|(domain, served)| {
            json!({
                "domain": domain,
                "served": served.whole,
                "served_while_cut": served.whole_while_partitioned,
            })
        })
        .collect();
    println!(
        "{}",
        json!({
            "sides": sides,
            "promises_broken": broken,
            "live_while_cut": live_while_cut,
            "heal_ms": heal_ms,
        })
    );
    let is_served = served.iter().all(|served| served.whole_while_partitioned > 0);
    if broken == 0 && is_served {
        Ok(())
    } else {
        Err(BenchError::Failed(format!("{broken} answers are not complete")))
    }
}

/// Injects a fault into all proxies between failure domains, and into those from failure domains to the platform.
fn set_fault_everywhere(cluster: &Cluster, fault: ProxyFault) {
    let domains = &cluster.layout().domains;
    for (number, domain) in domains.iter().enumerate() {
        cluster.network().inject_fault_to_platform(domain, fault);
        for other in &domains[number + 1..] {
            cluster.network().inject_fault_between(domain, other, fault);
        }
    }
}

/// Waits until the metric `member_live` of each entry shows that it sees `live` other daemons as live.
async fn wait_live(cluster: &Cluster, live: usize) -> Result<(), BenchError> {
    let deadline = Instant::now() + Duration::from_millis(HEAL_TIMEOUT_MS);
    for addr in cluster.entry_addrs() {
        while Metrics::read(addr).await?.value("member_live") as usize != live {
            if Instant::now() > deadline {
                return Err(BenchError::Failed(
                    "not all daemons see each other as live".to_owned(),
                ));
            }
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }
    Ok(())
}

/// Sends one request after another until `end`. Returns `domain`, the position of the caller's failure domain, with the
/// numbers of answers.
async fn ask_until(
    addr: SocketAddr,
    domain: usize,
    number: usize,
    end: Instant,
    is_partitioned: watch::Receiver<bool>,
) -> (usize, AnswerCounts) {
    let caller = Caller::new(Layout::KEY);
    let mut served = AnswerCounts::default();
    for turn in 0.. {
        if Instant::now() >= end {
            break;
        }
        let request = GenerationRequest {
            model: Layout::MODEL.to_owned(),
            prompt: format!("domain {domain} caller {number} question {turn}"),
            max_tokens: TOKENS,
        };
        let was_partitioned = *is_partitioned.borrow();
        let answer: Answer = caller.ask(addr, &request).await;
        if answer.is_whole(&request.model, "", &request.prompt) {
            served.whole += 1;
            served.whole_while_partitioned +=
                u64::from(was_partitioned && *is_partitioned.borrow());
        } else {
            eprintln!("an answer is incomplete: its end is {:?}", answer.end);
            served.broken += 1;
        }
    }
    (domain, served)
}
