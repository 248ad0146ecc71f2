//! Orders to an engine: fencing, versions, role, and weight transfers.

use crate::engine::{fencing::FencingPolicy, shared::Shared};
use std::{sync::Arc, time::Duration};
use web::{Client, Method, StatusCode};
use wire::{
    engine::{EngineOrder, LoadedVersion, OrderAction},
    platform::WeightRequest,
};

/// Longest weight transfer.
const TRANSFER_WAIT_MS: u64 = 600_000;

/// Pause before a refused or failed transfer is tried again.
const TRANSFER_PAUSE_MS: u64 = 200;

/// Applies an order; false if its fencing token is old and the engine rejects old ones.
pub(super) fn apply(shared: &Arc<Shared>, order: &EngineOrder) -> bool {
    let mut transfers = Vec::new();
    {
        let mut ordered = shared.ordered();
        if order.fencing_token < ordered.last_fencing_token {
            shared.scheduler().counters.stale_orders += 1;
            if shared.settings.fencing == FencingPolicy::Reject {
                return false;
            }
        }
        ordered.last_fencing_token = ordered.last_fencing_token.max(order.fencing_token);
        for action in &order.actions {
            match action {
                OrderAction::Load(version) => transfers.extend(ordered.versions.begin(version)),
                OrderAction::Unload(version) => ordered.versions.unload(version),
                OrderAction::SetLoaded { versions } => {
                    ordered.versions.keep_only(versions);
                    for version in versions {
                        transfers.extend(ordered.versions.begin(version));
                    }
                }
                OrderAction::SetRole { role } => ordered.role = *role,
            }
        }
    }
    shared.scheduler().counters.orders += 1;
    for version in transfers {
        if shared.settings.weight_store.is_none() {
            shared.ordered().versions.finish(&version);
        } else {
            tokio::spawn(transfer(Arc::clone(shared), version));
        }
    }
    true
}

/// Loads weights from the weight store, however often it refuses.
async fn transfer(shared: Arc<Shared>, version: LoadedVersion) {
    let Some(addr) = shared.settings.weight_store else { return };
    let client = Client::new(addr, TRANSFER_WAIT_MS);
    let request = WeightRequest {
        model: version.model.clone(),
        version: version.version.clone(),
        adapters: version.adapters.clone(),
    };
    loop {
        shared.wait_awake().await;
        let reply = client.send_json(Method::POST, "/weights", &request).await;
        match reply {
            Ok(reply) if reply.status == StatusCode::OK => break,
            Ok(reply) if reply.status == StatusCode::TOO_MANY_REQUESTS => {
                shared.scheduler().counters.weight_refusals += 1;
            }
            Ok(_) | Err(_) => {}
        }
        tokio::time::sleep(Duration::from_millis(TRANSFER_PAUSE_MS)).await;
    }
    shared.ordered().versions.finish(&version);
}
