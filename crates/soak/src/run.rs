//! One soak from its start to its report.

use crate::{
    cli::Cli,
    clients::{Client, Findings},
    daemon_process::DaemonProcess,
    faults::Faults,
    site::{DOMAINS, Site},
    soak_error::SoakError,
    soak_report::SoakReport,
};
use base::lock;
use platform_stand::call_with;
use rand::{SeedableRng, rngs::SmallRng};
use std::{
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

/// Loopback networks that soaks are spread over by their seeds.
const NETS: u64 = 250;

/// Longest wait for the first daemon that is ready.
const START_WAIT: Duration = Duration::from_secs(20);

/// Time after the last fault in which requests must be served again.
const CALM: Duration = Duration::from_secs(12);

/// Runs a soak and returns its report. The daemons' logs stay in a folder of their own if a promise was broken.
///
/// # Errors
///
/// The soak itself could not run.
pub async fn run(cli: &Cli) -> Result<SoakReport, SoakError> {
    let program = program(cli)?;
    let folder = tempfile::tempdir()?;
    let mut site = Site::start().await?;
    let mut daemons = Vec::new();
    let net = u8::try_from(cli.seed % NETS).unwrap_or_default() + 1;
    for number in 1..=cli.daemons.max(1) {
        let domain = DOMAINS[usize::from(number) % DOMAINS.len()];
        daemons.push(DaemonProcess::start(
            &program,
            folder.path(),
            net,
            number,
            domain,
            site.link_store().await?,
        )?);
    }
    wait_ready(&daemons).await?;
    let findings = Arc::new(Mutex::new(Findings::default()));
    let is_over = Arc::new(AtomicBool::new(false));
    let entries: Vec<_> = daemons.iter().map(|daemon| daemon.entry_addr).collect();
    let clients: Vec<_> = (0..cli.clients)
        .map(|number| Client {
            number,
            seed: cli.seed,
            entries: entries.clone(),
            findings: Arc::clone(&findings),
            is_over: Arc::clone(&is_over),
        })
        .map(|client| tokio::spawn(client.run()))
        .collect();
    let mut faults = Faults::new(SmallRng::seed_from_u64(cli.seed));
    let end = Instant::now() + Duration::from_secs_f64(cli.minutes.max(0.0) * 60.0);
    while Instant::now() < end {
        faults.step(&mut site, &mut daemons).await?;
    }
    faults.end(&mut site, &mut daemons)?;
    let served_before = served(&findings);
    let calm_end = Instant::now() + CALM;
    while Instant::now() < calm_end && served(&findings) < served_before + u64::from(cli.clients) {
        tokio::time::sleep(Duration::from_millis(200)).await;
        faults.end(&mut site, &mut daemons)?;
    }
    let is_served_again = served(&findings) >= served_before + u64::from(cli.clients);
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        // A client that panicked has left its findings.
        let _ = client.await;
    }
    let found = lock(&findings);
    let mut report = found.report.clone();
    report.faults = faults.count;
    report.compare(&found.claims, &site.all_runs());
    if !is_served_again {
        report.violations.push("requests are not served again after the last fault".to_owned());
    }
    if !report.violations.is_empty() {
        println!("logs: {}", folder.keep().display());
    }
    Ok(report)
}

fn served(findings: &Mutex<Findings>) -> u64 {
    let findings = lock(findings);
    findings.report.answered_calls + findings.report.whole_streams
}

fn program(cli: &Cli) -> Result<PathBuf, SoakError> {
    let program = match &cli.program {
        Some(program) => program.clone(),
        None => beside(&std::env::current_exe()?),
    };
    if program.exists() { Ok(program) } else { Err(SoakError::MissingProgram(program)) }
}

/// Path of the daemon's program, seen from a program in the folder of examples.
fn beside(soak: &Path) -> PathBuf {
    soak.parent().unwrap_or(soak).with_file_name("geraniumroad")
}

async fn wait_ready(daemons: &[DaemonProcess]) -> Result<(), SoakError> {
    let end = Instant::now() + START_WAIT;
    while Instant::now() < end {
        let reply = call_with(daemons[0].ready_addr, "GET", "/v1/readiness", "-", &[]).await;
        if reply.is_some_and(|reply| reply.status == 200) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Err(SoakError::NotReady)
}
