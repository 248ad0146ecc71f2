//! Actor that watches the configuration document on the platform.

use crate::gossip::Gossip;
use plat::{Platform, PlatformError};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::{sync::Arc, time::Duration};

/// Key of the configuration document in the platform's key-value store.
const CONFIG_KEY: &str = "config/current";

/// Longest wait for a change in one watch request.
const WATCH_WAIT_MS: u64 = 30_000;

/// Pause after a failed watch request.
const RETRY_PAUSE_MS: u64 = 500;

/// Interval at which a daemon that does not read from the platform checks whether it has become a reader.
const READER_CHECK_MS: u64 = 250;

/// Actor that watches the configuration document on the platform while this daemon is a reader.
#[derive(Debug)]
pub(crate) struct ConfigActor;

/// Arguments and state of the actor.
#[derive(Debug)]
pub(crate) struct ConfigArguments {
    pub platform: Platform,
    pub gossip: Arc<Gossip>,
    /// Newest revision that was read from the platform, whether its document was valid or not. A document that was
    /// rejected is therefore not read again.
    pub seen_revision: u64,
}

/// Message to the actor.
#[derive(Debug)]
pub(crate) enum ConfigMessage {
    /// Wait for the next change on the platform.
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
    /// Waits for the next change and passes the new document to the gossip.
    async fn watch(&mut self) -> Result<(), PlatformError> {
        let after = self.seen_revision.max(self.gossip.config_revision());
        let changes = self.platform.watch(CONFIG_KEY, after, WATCH_WAIT_MS).await?;
        for entry in changes.entries.iter().filter(|entry| entry.key == CONFIG_KEY) {
            self.seen_revision = self.seen_revision.max(entry.revision);
            self.gossip.apply_config(entry.revision, &entry.value);
        }
        Ok(())
    }
}
