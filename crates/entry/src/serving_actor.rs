//! Actor that watches the serving records, which name the model versions for new generations.

use crate::serving_versions::ServingVersions;
use orders::SERVING_PREFIX;
use plat::Platform;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::{sync::Arc, time::Duration};

/// Longest wait for a change in one watch request.
const WATCH_WAIT_MS: u64 = 30_000;

/// Pause after a failed watch request.
const RETRY_PAUSE_MS: u64 = 500;

/// Actor that watches the serving records on the platform.
#[derive(Debug)]
pub(crate) struct ServingActor;

/// Arguments of the actor.
#[derive(Debug)]
pub(crate) struct ServingArguments {
    pub platform: Platform,
    pub serving: Arc<ServingVersions>,
}

/// State of the actor.
#[derive(Debug)]
pub(crate) struct ServingState {
    arguments: ServingArguments,
    seen_revision: u64,
}

/// Message to the actor.
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
                        for entry in &list.entries {
                            match serde_json::from_str(&entry.value) {
                                Ok(record) => serving.update(&entry.key, record),
                                Err(err) => {
                                    log::warn!("serving: {} is not valid: {err}", entry.key)
                                }
                            }
                            state.seen_revision = state.seen_revision.max(entry.revision);
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
