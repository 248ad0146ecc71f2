//! Watch of the serving records on the platform, which name the model versions for new generations.

use crate::serving_versions::ServingVersions;
use orders::SERVING_PREFIX;
use plat::Platform;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::{sync::Arc, time::Duration};

/// Longest time for which one watch request waits for a change.
const WATCH_WAIT_MS: u64 = 30_000;

/// Pause after a failed watch request before the next one.
const RETRY_PAUSE_MS: u64 = 500;

/// Actor that passes changed serving records from the platform to `ServingVersions`.
#[derive(Debug)]
pub(crate) struct ServingActor;

/// Arguments of `ServingActor`.
#[derive(Debug)]
pub(crate) struct ServingArguments {
    pub platform: Platform,
    pub serving: Arc<ServingVersions>,
}

/// State of `ServingActor`.
#[derive(Debug)]
pub(crate) struct ServingState {
    arguments: ServingArguments,
    /// Newest revision of a serving record that was read, whether the record was valid or not.
    seen_revision: u64,
}

/// Message of `ServingActor` to itself.
#[derive(Debug)]
pub(crate) enum ServingMessage {
    /// Wait for the next change on the platform.
    Poll,
}

impl Actor for ServingActor {
    type Msg = ServingMessage;
    type State = ServingState;
    type Arguments = ServingArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<ServingMessage>,
        arguments: ServingArguments,
    ) -> Result<ServingState, ActorProcessingErr> {
        myself.cast(ServingMessage::Poll)?;
        Ok(ServingState { arguments, seen_revision: 0 })
    }

    async fn handle(
        &self,
        myself: ActorRef<ServingMessage>,
        message: ServingMessage,
        state: &mut ServingState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            ServingMessage::Poll => {
                let ServingArguments { platform, serving } = &state.arguments;
                match platform.watch(SERVING_PREFIX, state.seen_revision, WATCH_WAIT_MS).await {
                    Ok(list) => {
                        for item in &list.entries {
                            match serde_json::from_str(&item.value) {
                                Ok(record) => serving.update(&item.key, record),
                                Err(err) => {
                                    log::warn!(
                                        "serving: the record {} is not valid: {err}",
                                        item.key
                                    )
                                }
                            }
                            state.seen_revision = state.seen_revision.max(item.revision);
                        }
                    }
                    Err(err) => {
                        log::warn!("serving: the platform cannot be watched: {err}");
                        tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
                    }
                }
                myself.cast(ServingMessage::Poll)?;
            }
        }
        Ok(())
    }
}
