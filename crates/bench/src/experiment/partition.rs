//! Experiment `partition`: failure domains serve while they are cut from each other and from the platform.

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

/// Callers at a time of each failure domain.
const CALLERS: usize = 6;

/// Tokens of each answer.
const TOKENS: u32 = 40;

/// Longest wait until all daemons know each other again.
const HEAL_WAIT_MS: u64 = 60_000;

/// Pause between two looks at the metrics.
const LOOK_PAUSE_MS: u64 = 100;

/// What the callers of one failure domain got.
#[derive(Clone, Copy, Default)]
struct Served {
    whole: u64,
    whole_while_cut: u64,
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
    let (cut, is_cut) = watch::channel(false);
    let end = Instant::now() + Duration::from_secs(options.duration_s);
    let mut callers = JoinSet::new();
    for (number, domain) in (0..CALLERS).flat_map(|n| (0..domains.len()).map(move |d| (n, d))) {
        let addr = cluster.entry_addr(domain * 2 + number % 2);
        callers.spawn(ask_until(addr, domain, number, end, is_cut.clone()));
    }
    let phase = Duration::from_secs(options.duration_s) / 4;
    tokio::time::sleep(phase).await;
    set_all(&cluster, ProxyFault::Refuse);
    set_all(&cluster, ProxyFault::Cut);
    cut.send_replace(true);
    tokio::time::sleep(phase * 2).await;
    let live_while_cut = Metrics::read(cluster.entry_addr(0)).await?.value("member_live");
    cut.send_replace(false);
    set_all(&cluster, ProxyFault::Restore);
    let healed = Instant::now();
    wait_live(&cluster, live).await?;
    let heal_ms = healed.elapsed().as_millis() as u64;
    let mut served = vec![Served::default(); domains.len()];
    for (domain, part) in callers.join_all().await {
        served[domain].whole += part.whole;
        served[domain].whole_while_cut += part.whole_while_cut;
        served[domain].broken += part.broken;
    }
    let broken: u64 = served.iter().map(|served| served.broken).sum();
    let sides: Vec<_> = domains
        .iter()
        .zip(&served)
        .map(|(domain, served)| {
            json!({ "domain": domain, "served": served.whole, "served_while_cut": served.whole_while_cut })
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
    let is_served = served.iter().all(|served| served.whole_while_cut > 0);
    if broken == 0 && is_served {
        Ok(())
    } else {
        Err(BenchError::Failed(format!("{broken} answers are not whole")))
    }
}

/// Sets a fault between all failure domains and to the platform.
fn set_all(cluster: &Cluster, fault: ProxyFault) {
    let domains = &cluster.layout().domains;
    for (number, domain) in domains.iter().enumerate() {
        cluster.network().fault_platform(domain, fault);
        for other in &domains[number + 1..] {
            cluster.network().fault_between(domain, other, fault);
        }
    }
}

async fn wait_live(cluster: &Cluster, live: usize) -> Result<(), BenchError> {
    let deadline = Instant::now() + Duration::from_millis(HEAL_WAIT_MS);
    for addr in cluster.entry_addrs() {
        while Metrics::read(addr).await?.value("member_live") as usize != live {
            if Instant::now() > deadline {
                return Err(BenchError::Failed("the membership does not heal".to_owned()));
            }
            tokio::time::sleep(Duration::from_millis(LOOK_PAUSE_MS)).await;
        }
    }
    Ok(())
}

/// Asks one question after another until `end`.
async fn ask_until(
    addr: SocketAddr,
    domain: usize,
    number: usize,
    end: Instant,
    is_cut: watch::Receiver<bool>,
) -> (usize, Served) {
    let caller = Caller::new(Layout::KEY);
    let mut served = Served::default();
    for turn in 0.. {
        if Instant::now() >= end {
            break;
        }
        let question = GenerationRequest {
            model: Layout::MODEL.to_owned(),
            prompt: format!("domain {domain} caller {number} question {turn}"),
            max_tokens: TOKENS,
        };
        let was_cut = *is_cut.borrow();
        let answer: Answer = caller.ask(addr, &question).await;
        if answer.is_whole(&question.model, "", &question.prompt) {
            served.whole += 1;
            served.whole_while_cut += u64::from(was_cut && *is_cut.borrow());
        } else {
            eprintln!("not whole: {:?}", answer.end);
            served.broken += 1;
        }
    }
    (domain, served)
}
