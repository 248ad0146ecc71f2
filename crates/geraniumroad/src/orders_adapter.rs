//! The entry as the orders see it, and the start of the orders.

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

/// Pause of a daemon that is not the holder before it looks again.
const RETRY_MS: u64 = 2_000;

/// How long an engine that cannot be read counts as a load; longer than a transfer from the weight store.
const UNKNOWN_MS: u64 = 60_000;

/// The entry as the orders see it.
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

    /// Unknown, because an entry does not know the pins of the others. No version is unloaded until it does.
    fn pinned_versions(&self) -> PinnedVersions {
        None
    }
}

/// Starts the orders; `close` ends them.
///
/// # Errors
///
/// The actor cannot start.
pub(crate) async fn start(
    settings: &OrdersSettings,
    vm_id: &VmId,
    platform: Platform,
    view: EntryView,
) -> Result<ActorCell, RunError> {
    let timeout_ms = settings.order_timeout_ms;
    let timing = LeaseTiming::new(settings.lease_ms, timeout_ms, RETRY_MS.min(settings.lease_ms));
    let pacing = LoadPacing {
        max_loads: usize::try_from(settings.max_loads).unwrap_or(usize::MAX),
        load_interval_ms: settings.load_interval_ms,
        pending_timeout_ms: timeout_ms * 2,
        unknown_timeout_ms: UNKNOWN_MS,
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

/// Ends the orders after the last one that is under way, and gives the leases back.
pub(crate) async fn close(actor: ActorCell) {
    // The actor has ended if this fails.
    let _ = actor.stop_and_wait(None, None).await;
}
