//! Starts environment, daemons and clients of a soak, injects faults, and checks the results.

use crate::{
    cli::Cli,
    clients::{Client, Findings},
    daemon_process::DaemonProcess,
    fault_injector::FaultInjector,
    loopback_net::LoopbackNet,
    soak_error::SoakError,
    soak_report::SoakReport,
    test_environment::{DOMAINS, TestEnvironment},
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

/// Longest wait until the first daemon is ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest time after the last fault until as many requests are served as there are clients.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Runs a soak and returns its report. If a guarantee was violated, the daemons' logs are kept and the path of their
/// directory is printed.
///
/// # Errors
///
/// Returns an error if a process, a file or a fake could not be started, or the first daemon did not become ready.
pub async fn run(cli: &Cli) -> Result<SoakReport, SoakError> {
    let program = program(cli)?;
    let log_dir = tempfile::tempdir()?;
    let mut environment = TestEnvironment::start().await?;
    let daemon_count = cli.daemons.max(1);
    let net = LoopbackNet::reserve(cli.seed, daemon_count)?;
    let mut daemons = Vec::new();
    for number in 1..=daemon_count {
        let domain = DOMAINS[usize::from(number) % DOMAINS.len()];
        daemons.push(DaemonProcess::start(
            &program,
            log_dir.path(),
            &net,
            number,
            domain,
            environment.add_store_proxy().await?,
        )?);
    }
    wait_ready(&daemons).await?;
    let findings = Arc::new(Mutex::new(Findings::default()));
    let is_stopped = Arc::new(AtomicBool::new(false));
    let entry_addrs: Vec<_> = daemons.iter().map(|daemon| daemon.entry_addr).collect();
    let clients: Vec<_> = (0..cli.clients)
        .map(|number| Client {
            number,
            seed: cli.seed,
            entry_addrs: entry_addrs.clone(),
            findings: Arc::clone(&findings),
            crashing_part: Arc::clone(&environment.crashing_part),
            is_stopped: Arc::clone(&is_stopped),
        })
        .map(|client| tokio::spawn(client.run()))
        .collect();
    let mut faults = FaultInjector::new(SmallRng::seed_from_u64(cli.seed));
    let end = Instant::now() + Duration::from_secs_f64(cli.minutes.max(0.0) * 60.0);
    while Instant::now() < end {
        faults.inject_next(&mut environment, &mut daemons).await?;
    }
    faults.end_all(&mut environment, &mut daemons)?;
    let served_before = count_served(&findings);
    let recovery_deadline = Instant::now() + RECOVERY_TIMEOUT;
    while Instant::now() < recovery_deadline
        && count_served(&findings) < served_before + u64::from(cli.clients)
    {
        tokio::time::sleep(Duration::from_millis(200)).await;
        faults.end_all(&mut environment, &mut daemons)?;
    }
    let has_recovered = count_served(&findings) >= served_before + u64::from(cli.clients);
    is_stopped.store(true, Ordering::SeqCst);
    for client in clients {
        // A client that panicked has still recorded its findings in the shared state.
        let _ = client.await;
    }
    let found = lock(&findings);
    let mut report = found.report.clone();
    report.faults = faults.counts.clone();
    environment.end_episode();
    environment.check_foreign_entries();
    environment.check_memory(&daemons);
    report.peak_memory_bytes = environment.peak_memory_bytes;
    report.violations.append(&mut environment.violations);
    report.check_abandoned(&found.checks, &environment.last_arrivals());
    report.check_executions(&found.checks, &environment.count_executions());
    if !has_recovered {
        report.violations.push("requests are not served again after the last fault".to_owned());
    }
    drop(daemons);
    net.close();
    if !report.violations.is_empty() {
        println!("logs: {}", log_dir.keep().display());
    }
    Ok(report)
}

/// Returns the number of requests that have been served so far.
fn count_served(findings: &Mutex<Findings>) -> u64 {
    let findings = lock(findings);
    findings.report.answered_calls + findings.report.whole_streams
}

/// Returns the path of the daemon's program, from the command line or the default.
fn program(cli: &Cli) -> Result<PathBuf, SoakError> {
    let program = match &cli.program {
        Some(program) => program.clone(),
        None => default_program(&std::env::current_exe()?),
    };
    if program.exists() { Ok(program) } else { Err(SoakError::MissingProgram(program)) }
}

/// Returns the default path of the daemon's program, relative to the soak's program in the directory of examples.
fn default_program(soak: &Path) -> PathBuf {
    soak.parent().unwrap_or(soak).with_file_name("geraniumroad")
}

/// Waits until the first daemon is ready. Clients may send requests to the others before they are ready.
async fn wait_ready(daemons: &[DaemonProcess]) -> Result<(), SoakError> {
    let end = Instant::now() + START_TIMEOUT;
    while Instant::now() < end {
        let reply = call_with(daemons[0].ready_addr, "GET", "/v1/readiness", "-", &[]).await;
        if reply.is_some_and(|reply| reply.status == 200) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Err(SoakError::NotReady)
}
