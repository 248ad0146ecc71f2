//! Polling of engines for load and cache events at a bounded cost.

use crate::{admission::Admission, upstreams::Upstreams};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::{sync::Arc, time::Duration};

/// Interval between load polls in a small fleet. It gives 20 polls per second regardless of the number of engines;
/// these polls transfer about 6 KB/s.
const POLL_INTERVAL_MS: u64 = 50;

/// Number of further entries that lengthen the poll interval by `POLL_INTERVAL_MS`. In a large fleet heartbeats use
/// most of the budget of 13 KB/s for control traffic, and many daemons poll the same engine.
const ENTRIES_PER_SLOWDOWN: u64 = 25;

/// Largest factor by which the interval between polls grows in a large fleet.
const MAX_SLOWDOWN: u64 = 4;

/// Bytes per second that polls of cache events may transfer in a small fleet. The limit is divided by the same factor
/// as the rate of load polls.
const CACHE_EVENT_BYTES_PER_S: u64 = 2_000;

/// Actor that starts the polls of one engine after another, and adapts admission control to the reported load.
#[derive(Debug)]
pub(crate) struct LoadActor;

/// Arguments of `LoadActor`, which are also its state.
#[derive(Debug)]
pub(crate) struct LoadArguments {
    pub upstreams: Arc<Upstreams>,
    pub admission: Arc<Admission>,
}

/// Message of `LoadActor` to itself.
#[derive(Debug)]
pub(crate) enum LoadMessage {
    /// Poll the load of the next engine and refresh the limits of admission control.
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
                    // Polls run concurrently, so that an engine that sends nothing does not delay the polls of other
                    // engines. The poll timeout limits the number of concurrent polls to ten.
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

/// Interval between load polls in a fleet of `entries` entries.
fn poll_interval(entries: usize) -> Duration {
    Duration::from_millis(POLL_INTERVAL_MS * slowdown(entries))
}

/// Factor by which the interval between polls is longer in a fleet of `entries` entries than in a small one.
fn slowdown(entries: usize) -> u64 {
    (1 + entries as u64 / ENTRIES_PER_SLOWDOWN).min(MAX_SLOWDOWN)
}

fn count_poll_bytes(bytes: u64) {
    metrics::counter!("route_poll_bytes_total").increment(bytes);
}
