//! Commands `run`, which serves callers, and `check`, which validates a settings file.

use crate::{
    admin_adapter::AdminAdapter,
    logging,
    memory_upkeep::{return_freed_memory, return_large_allocations},
    metrics_upkeep::{UPKEEP_INTERVAL, maintain_metrics},
    orders_adapter,
    run_error::RunError,
};
use admin::AdminServer;
use conf::Settings;
use entry::Entry;
use metrics_exporter_prometheus::PrometheusBuilder;
use plat::Platform;
use std::{path::Path, sync::Arc};
use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
};

/// Checks a settings file and prints that it is valid.
///
/// # Errors
///
/// The file cannot be read, or it contains mistakes. The error lists all of them.
pub fn check(path: &Path) -> Result<(), RunError> {
    load(path)?;
    println!("{} is valid", path.display());
    Ok(())
}

/// Serves callers until SIGINT or SIGTERM. Prints one line with the bound addresses when it is ready.
///
/// # Errors
///
/// The settings are not valid, or the entry, the orders component or the administration server cannot be started.
pub fn run(path: &Path) -> Result<(), RunError> {
    return_large_allocations();
    let settings = load(path)?;
    logging::install(&settings.log)?;
    let metrics = PrometheusBuilder::new().install_recorder().map_err(|_| RunError::Metrics)?;
    let worker_threads = usize::try_from(settings.entry.worker_threads).unwrap_or(1);
    let runtime =
        Builder::new_multi_thread().worker_threads(worker_threads).enable_all().build()?;
    runtime.block_on(async {
        tokio::spawn(maintain_metrics(metrics.clone(), UPKEEP_INTERVAL));
        let entry = Entry::start(&settings, Some(metrics)).await?;
        tokio::spawn(return_freed_memory(Arc::clone(entry.account())));
        let platform = Platform::new(settings.platform.addr, settings.platform.timeout_ms);
        let orders = match &settings.orders {
            Some(orders) => {
                let vm_id = &settings.entry.vm_id;
                Some(orders_adapter::start(orders, vm_id, platform.clone(), entry.view()).await?)
            }
            None => None,
        };
        let admin = match &settings.admin {
            Some(admin) => {
                let server = entry.bind_internal(admin.listen, &settings).await?;
                let account = Arc::clone(entry.account());
                let daemon = AdminAdapter(entry.view());
                Some(AdminServer::start(admin, server, account, platform, daemon)?)
            }
            None => None,
        };
        let mut ready = format!("ready addr={}", entry.addr());
        if let Some(peer_addr) = entry.peer_addr() {
            ready.push_str(&format!(" peer={peer_addr}"));
        }
        if let Some(admin) = &admin {
            ready.push_str(&format!(" admin={}", admin.addr()));
        }
        println!("{ready}");
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
        log::info!("entry: shutting down");
        let close_orders = async {
            if let Some(orders) = orders {
                orders_adapter::close(orders).await;
            }
        };
        let close_admin = async {
            if let Some(admin) = admin {
                admin.close().await;
            }
        };
        // All are closed concurrently, because the readiness check must fail at once, even if an order is still in flight or
        // an operator does not read.
        tokio::join!(close_orders, close_admin, entry.close());
        Ok(())
    })
}

/// Reads and checks a settings file.
fn load(path: &Path) -> Result<Settings, RunError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|cause| RunError::ReadSettings(name.clone(), cause))?;
    Settings::try_from(text.as_str()).map_err(|problems| RunError::InvalidSettings(name, problems))
}
