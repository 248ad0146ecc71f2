//! Reservation of an engine's memory for a request that is about to be sent there.

use crate::{
    core::Core,
    engine_call::{engine_call, isolated_engine_call},
    instance::Instance,
};
use hyper::{Method, StatusCode, header::HeaderValue};
use std::sync::Arc;

/// Longest time for which memory is reserved. The request follows at once, and a reservation that is lost costs
/// capacity until its end.
const HOLD_MS: u64 = 500;

/// Result of the attempt to reserve memory.
#[derive(Debug)]
pub(crate) enum HoldResult {
    Taken(EngineHold),
    /// The engine has no room for the request.
    Full,
    /// The engine gave no valid answer. The request can be sent without a reservation.
    Unavailable,
}

/// Reservation at an engine. It is released when it is dropped, unless a request has used it.
#[derive(Debug)]
pub(crate) struct EngineHold {
    core: Arc<Core>,
    instance: Arc<Instance>,
    id: Box<str>,
    is_used: bool,
}

impl EngineHold {
    /// Reserves memory for a request of `tokens`, for at most `hold_ms`.
    pub async fn take(
        core: &Arc<Core>,
        instance: &Arc<Instance>,
        tokens: u64,
        hold_ms: u64,
    ) -> HoldResult {
        let dialect = &core.dialect;
        let body = (dialect.encode_hold_request)(tokens, hold_ms.min(HOLD_MS));
        let timeout_ms = core.options.report_timeout_ms;
        // On a connection that was used before, a late copy of an earlier answer would name another reservation.
        let call =
            isolated_engine_call(instance, Method::POST, dialect.hold_path, body, timeout_ms);
        let result = match call.await {
            Ok((StatusCode::OK, body)) => match (dialect.decode_hold)(&body) {
                Some(id) => HoldResult::Taken(Self {
                    core: Arc::clone(core),
                    instance: Arc::clone(instance),
                    id,
                    is_used: false,
                }),
                None => HoldResult::Unavailable,
            },
            Ok((StatusCode::SERVICE_UNAVAILABLE, _)) => HoldResult::Full,
            Ok(_) | Err(_) => HoldResult::Unavailable,
        };
        let outcome = match result {
            HoldResult::Taken(_) => "taken",
            HoldResult::Full => "full",
            HoldResult::Unavailable => "unavailable",
        };
        metrics::counter!("engine_holds_total", "outcome" => outcome).increment(1);
        log::debug!("hold: instance={} tokens={tokens} {outcome}", instance.entry.id);
        result
    }

    /// Value by which a request refers to the reservation, which is used up with it; `None` if it cannot be sent.
    pub fn spend(mut self) -> Option<HeaderValue> {
        let value = HeaderValue::from_str(&self.id).ok();
        self.is_used = value.is_some();
        value
    }
}

impl Drop for EngineHold {
    fn drop(&mut self) {
        if self.is_used {
            return;
        }
        let (core, instance) = (Arc::clone(&self.core), Arc::clone(&self.instance));
        let path = format!("{}{}", core.dialect.drop_hold_path, self.id);
        tokio::spawn(async move {
            let timeout_ms = core.options.report_timeout_ms;
            let call = engine_call(&core, &instance, Method::DELETE, &path, Vec::new(), timeout_ms);
            if let Err(err) = call.await {
                log::info!("hold: not released at {}: {err}", instance.entry.id);
            }
        });
    }
}
