//! Actor that keeps the configuration up to date.

use crate::gossip::Gossip;
use plat::{Platform, PlatformError};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::{sync::Arc, time::Duration};

/// Key of the configuration document.
const CONFIG_KEY: &str = "config/current";

/// Longest wait of one watch.
const WATCH_WAIT_MS: u64 = 30_000;

/// Pause after the platform gave no answer.
const RETRY_PAUSE_MS: u64 = 500;

/// Pause of a daemon that leaves the watch to others, until it checks its part again.
const READER_CHECK_MS: u64 = 250;

/// Actor that watches the configuration document.
#[derive(Debug)]
pub(crate) struct ConfigActor;

/// What the actor is started with.
#[derive(Debug)]
pub(crate) struct ConfigArguments {
    pub platform: Platform,
    pub gossip: Arc<Gossip>,
    /// Newest revision that the platform has shown, valid or not.
    pub seen_revision: u64,
}

/// Message of the actor.
#[derive(Debug)]
pub(crate) enum ConfigMessage {
    /// Ask the platform for the next change.
    Poll,
}

impl Actor for ConfigActor {
    type Msg = ConfigMessage;
    type State = ConfigArguments;
    type Arguments = ConfigArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<ConfigMessage>,
        arguments: ConfigArguments,
    ) -> Result<ConfigArguments, ActorProcessingErr> {
        myself.cast(ConfigMessage::Poll)?;
        Ok(arguments)
    }

    async fn handle(
        &self,
        myself: ActorRef<ConfigMessage>,
        message: ConfigMessage,
        state: &mut ConfigArguments,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            ConfigMessage::Poll if state.gossip.is_reader() => {
                match state.watch().await {
                    Ok(()) => {}
                    Err(err) => {
                        log::warn!("config: the platform cannot be watched: {err}");
                        tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
                    }
                }
                myself.cast(ConfigMessage::Poll)?;
            }
            ConfigMessage::Poll => {
                let pause = Duration::from_millis(READER_CHECK_MS);
                drop(myself.send_after(pause, || ConfigMessage::Poll));
            }
        }
        Ok(())
    }
}

impl ConfigArguments {
    /// Waits for the next change and offers it.
    async fn watch(&mut self) -> Result<(), PlatformError> {
        let after = self.seen_revision.max(self.gossip.config_revision());
        let changes = self.platform.watch(CONFIG_KEY, after, WATCH_WAIT_MS).await?;
        for entry in changes.entries.iter().filter(|entry| entry.key == CONFIG_KEY) {
            self.seen_revision = self.seen_revision.max(entry.revision);
            self.gossip.offer_config(entry.revision, &entry.value);
        }
        Ok(())
    }
}
