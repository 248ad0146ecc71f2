//! Requests that poll one engine for its load, versions or cache events.

use crate::upstream_state::UpstreamState;
use base::Clock;
use route::LoadReport;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use web::{Client, ClientError, Method};
use wire::engine::{CacheEventList, EngineLoad, EngineState};

/// Timeout of one poll request.
const POLL_WAIT_MS: u64 = 500;

/// Assumed age of the load in a response to `GET /load`.
const REPORT_LAG_MS: u64 = 100;

/// Longest age of the loaded versions of an engine before they are read again.
const STATE_AGE_MS: u64 = 30_000;

/// Size of the heads of a request and of its response together, which is added to the size of the response's body.
const HEAD_BYTES: u64 = 220;

/// Engine that is to be polled, with the state that the responses update.
#[derive(Clone, Debug)]
pub(crate) struct EnginePoll {
    pub addr: SocketAddr,
    pub state: UpstreamState,
    pub clock: Clock,
}

impl EnginePoll {
    /// Reads the load, or the load together with the loaded versions if these were last read `STATE_AGE_MS` ago or
    /// earlier. Returns the transferred bytes.
    pub async fn read_load(&self) -> u64 {
        let now_ms = self.clock.now_ms();
        let read_at_ms = self.state.state_read_at_ms();
        let is_state_due = read_at_ms.is_none_or(|at_ms| now_ms >= at_ms + STATE_AGE_MS);
        if is_state_due {
            let Some((state, bytes)) = self.get::<EngineState>("/state").await else {
                return HEAD_BYTES;
            };
            self.state.set_loaded_versions(state.loaded);
            self.apply_load(&state.load, self.clock.now_ms());
            return bytes;
        }
        let Some((load, bytes)) = self.get::<EngineLoad>("/load").await else { return HEAD_BYTES };
        self.apply_load(&load, self.clock.now_ms().saturating_sub(REPORT_LAG_MS));
        bytes
    }

    /// Reads the cache events after the last applied one. Returns the transferred bytes.
    pub async fn read_cache_events(&self) -> u64 {
        let after = self.state.last_cache_event();
        let path = format!("/cache_events?after={after}");
        let Some((list, bytes)) = self.get::<CacheEventList>(&path).await else {
            return HEAD_BYTES;
        };
        if list.last_number < after {
            // The numbers of events restart with the engine, whose cache is then empty.
            self.state.clear_cache();
        } else {
            self.state.apply_cache_events(&list);
        }
        bytes
    }

    fn apply_load(&self, load: &EngineLoad, at_ms: u64) {
        let requests = load.running.saturating_add(load.waiting);
        let report = LoadReport { at_ms, requests, batch_limit: load.batch_limit };
        self.state.apply_load_report(report, load.is_leaving);
    }

    /// Requests `path` and returns the decoded response with the transferred bytes; `None` if there is no valid
    /// response. Only a connection that cannot be opened counts as a failure of the engine.
    async fn get<T: DeserializeOwned>(&self, path: &str) -> Option<(T, u64)> {
        let reply = Client::new(self.addr, POLL_WAIT_MS).send(Method::GET, path).await;
        match reply {
            Ok(reply) => Some((reply.json().ok()?, HEAD_BYTES + reply.body.len() as u64)),
            Err(ClientError::Connect(_)) if self.state.record_failure() => {
                log::warn!(
                    "route: upstream {} is ejected because it accepts no connections",
                    self.addr
                );
                metrics::counter!("route_ejections_total").increment(1);
                None
            }
            Err(_) => None,
        }
    }
}
