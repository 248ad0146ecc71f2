//! Applies orders to an engine: checks the fencing token, changes versions and role, and transfers weights.

use crate::engine::{fencing::FencingPolicy, shared::Shared};
use std::{sync::Arc, time::Duration};
use web::{Client, Method, StatusCode};
use wire::{
    engine::{EngineOrder, LoadedVersion, OrderAction},
    platform::WeightRequest,
};

/// Timeout of one attempt to transfer weights.
const TRANSFER_TIMEOUT_MS: u64 = 600_000;

/// Delay before a refused or failed transfer is retried.
const TRANSFER_RETRY_DELAY_MS: u64 = 200;

/// Applies an order. Returns false if its fencing token is stale and the engine rejects stale tokens.
pub(super) fn apply(shared: &Arc<Shared>, order: &EngineOrder) -> bool {
    let mut transfers = Vec::new();
    {
        let mut state = shared.ordered_state();
        if order.fencing_token < state.last_fencing_token {
            shared.scheduler().counters.stale_orders += 1;
            if shared.settings.fencing == FencingPolicy::Reject {
                return false;
            }
        }
        state.last_fencing_token = state.last_fencing_token.max(order.fencing_token);
        for action in &order.actions {
            match action {
                OrderAction::Load(version) => {
                    transfers.extend(state.versions.begin_loading(version))
                }
                OrderAction::Unload(version) => state.versions.unload(version),
                OrderAction::SetLoaded { versions } => {
                    state.versions.keep_only(versions);
                    for version in versions {
                        transfers.extend(state.versions.begin_loading(version));
                    }
                }
                OrderAction::SetRole { role } => state.role = *role,
            }
        }
    }
    shared.scheduler().counters.orders += 1;
    for version in transfers {
        if shared.settings.weight_store.is_none() {
            shared.ordered_state().versions.finish_loading(&version);
        } else {
            tokio::spawn(transfer_weights(Arc::clone(shared), version));
        }
    }
    true
}

/// Transfers weights from the weight store, with unlimited retries, and marks the version as loaded.
async fn transfer_weights(shared: Arc<Shared>, version: LoadedVersion) {
    let Some(addr) = shared.settings.weight_store else { return };
    let client = Client::new(addr, TRANSFER_TIMEOUT_MS);
    let request = WeightRequest {
        model: version.model.clone(),
        version: version.version.clone(),
        adapters: version.adapters.clone(),
    };
    loop {
        shared.wait_until_awake().await;
        let reply = client.send_json(Method::POST, "/weights", &request).await;
        match reply {
            Ok(reply) if reply.status == StatusCode::OK => break,
            Ok(reply) if reply.status == StatusCode::TOO_MANY_REQUESTS => {
                shared.scheduler().counters.weight_refusals += 1;
            }
            Ok(_) | Err(_) => {}
        }
        tokio::time::sleep(Duration::from_millis(TRANSFER_RETRY_DELAY_MS)).await;
    }
    shared.ordered_state().versions.finish_loading(&version);
}
