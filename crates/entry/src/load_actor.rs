//! Actor that polls engines for load and cache events at a bounded cost.

use crate::{admission::Admission, upstreams::Upstreams};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::{sync::Arc, time::Duration};

/// Shortest time between two polls of load: 20 a second, whatever the number of engines, are about 6 KB/s.
const POLL_INTERVAL_MS: u64 = 50;

/// Entries for each of which the time between two polls grows by the shortest one. In a large fleet heartbeats take most
/// of the 13 KB/s for control, and many daemons poll the same engine.
const ENTRIES_PER_SLOWDOWN: u64 = 25;

/// Largest multiple of the shortest time between two polls.
const MAX_SLOWDOWN: u64 = 4;

/// Bytes a second for cache events in a small fleet; in a large one less, as polls of load.
const CACHE_EVENT_BYTES_PER_S: u64 = 2_000;

/// Actor that polls engines.
#[derive(Debug)]
pub(crate) struct LoadActor;

/// What the actor is started with.
#[derive(Debug)]
pub(crate) struct LoadArguments {
    pub upstreams: Arc<Upstreams>,
    pub admission: Arc<Admission>,
}

/// Message of the actor.
#[derive(Debug)]
pub(crate) enum LoadMessage {
    /// Poll the load of the next engine.
    PollLoad,
    /// Poll the cache events of the next engine.
    PollCacheEvents,
}

impl Actor for LoadActor {
    type Msg = LoadMessage;
    type State = LoadArguments;
    type Arguments = LoadArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<LoadMessage>,
        arguments: LoadArguments,
    ) -> Result<LoadArguments, ActorProcessingErr> {
        myself.cast(LoadMessage::PollLoad)?;
        myself.cast(LoadMessage::PollCacheEvents)?;
        Ok(arguments)
    }

    async fn handle(
        &self,
        myself: ActorRef<LoadMessage>,
        message: LoadMessage,
        state: &mut LoadArguments,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            LoadMessage::PollLoad => {
                if let Some(poll) = state.upstreams.next_load_poll() {
                    // Polls run beside each other, so that a silent engine does not delay the others; the time limit
                    // of a poll bounds their number to ten.
                    tokio::spawn(async move { count_poll_bytes(poll.read_load().await) });
                }
                state.admission.refresh();
                let interval = poll_interval(state.admission.entry_count());
                drop(myself.send_after(interval, || LoadMessage::PollLoad));
            }
            LoadMessage::PollCacheEvents => {
                let poll = state.upstreams.next_cache_poll();
                let bytes_per_s = CACHE_EVENT_BYTES_PER_S / slowdown(state.admission.entry_count());
                tokio::spawn(async move {
                    let bytes = match poll {
                        Some(poll) => poll.read_cache_events().await,
                        None => 0,
                    };
                    count_poll_bytes(bytes);
                    let pause_ms = (bytes * 1_000 / bytes_per_s).max(200);
                    let pause = Duration::from_millis(pause_ms);
                    drop(myself.send_after(pause, || LoadMessage::PollCacheEvents));
                });
            }
        }
        Ok(())
    }
}

/// Time between two polls of load in a fleet of `entries`.
fn poll_interval(entries: usize) -> Duration {
    Duration::from_millis(POLL_INTERVAL_MS * slowdown(entries))
}

/// How much rarer polls are in a fleet of `entries`.
fn slowdown(entries: usize) -> u64 {
    (1 + entries as u64 / ENTRIES_PER_SLOWDOWN).min(MAX_SLOWDOWN)
}

fn count_poll_bytes(bytes: u64) {
    metrics::counter!("route_poll_bytes_total").increment(bytes);
}
