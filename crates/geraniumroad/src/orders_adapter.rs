//! Starts and stops the orders component, and gives this component access to the entry (the daemon that serves callers)
//! in this process.

use crate::run_error::RunError;
use base::VmId;
use conf::{OrdersSettings, Secret};
use entry::EntryView;
use fleet::Document;
use orders::{
    LeaseTiming, LoadPacing, OrdersActor, OrdersArguments, OrdersOptions, OrdersView,
    PinnedVersions,
};
use plat::Platform;
use ractor::{Actor, ActorCell};
use std::sync::Arc;
use wire::platform::Vm;

/// Interval in milliseconds at which a daemon that does not hold the lease of a service tries to acquire the lease.
const LEASE_RETRY_INTERVAL_MS: u64 = 2_000;

/// Time in milliseconds for which an engine whose state cannot be read counts as loading. This time is longer than a
/// transfer from the weight store.
const UNKNOWN_STATE_TIMEOUT_MS: u64 = 60_000;

/// Implements the `OrdersView` of the orders component for an entry.
#[derive(Clone, Debug)]
pub(crate) struct OrdersAdapter(pub EntryView);

impl OrdersView for OrdersAdapter {
    fn document(&self) -> Option<Document> {
        let config = self.0.config();
        (config.revision > 0).then(|| config.document.clone())
    }

    fn upstreams(&self) -> Vec<Vm> {
        self.0.upstreams()
    }

    /// Always `None`, because an entry does not know the versions that are pinned at other entries. Therefore no
    /// version is unloaded.
    fn pinned_versions(&self) -> PinnedVersions {
        None
    }
}

/// Starts the actor of the orders component, which `close` stops.
///
/// # Errors
///
/// The actor cannot be started.
pub(crate) async fn start(
    settings: &OrdersSettings,
    vm_id: &VmId,
    platform: Platform,
    view: EntryView,
) -> Result<ActorCell, RunError> {
    let timeout_ms = settings.order_timeout_ms;
    let timing = LeaseTiming::new(
        settings.lease_ms,
        timeout_ms,
        LEASE_RETRY_INTERVAL_MS.min(settings.lease_ms),
    );
    let pacing = LoadPacing {
        max_loads: usize::try_from(settings.max_loads).unwrap_or(usize::MAX),
        load_interval_ms: settings.load_interval_ms,
        pending_timeout_ms: timeout_ms * 2,
        unknown_timeout_ms: UNKNOWN_STATE_TIMEOUT_MS,
        unload_delay_ms: settings.unload_delay_ms,
        shift_pct: usize::try_from(settings.shift_pct).unwrap_or(100),
    };
    let options = OrdersOptions {
        vm_id: vm_id.clone(),
        timing,
        pacing,
        interval_ms: settings.interval_ms,
        sender_key: settings.sender_key.as_ref().map(Secret::expose).map(Into::into),
    };
    let arguments = OrdersArguments { platform, view: Arc::new(OrdersAdapter(view)), options };
    let (actor, _) = Actor::spawn(None, OrdersActor::default(), arguments).await?;
    Ok(actor.get_cell())
}

/// Stops the actor of the orders component after the order in flight is finished, and releases the actor's leases.
pub(crate) async fn close(actor: ActorCell) {
    // An error means that the actor has already stopped.
    let _ = actor.stop_and_wait(None, None).await;
}
