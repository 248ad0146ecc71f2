//! Actor that reads new versions of the configuration document from the platform.

use crate::gossip::Gossip;
use plat::{Platform, PlatformError};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::{sync::Arc, time::Duration};

/// Key of the configuration document in the platform's key-value store.
const CONFIG_KEY: &str = "config/current";

/// Longest time for which one watch request waits for a change.
const WATCH_WAIT_MS: u64 = 30_000;

/// Pause after a failed watch request before the next one.
const RETRY_PAUSE_MS: u64 = 500;

/// Interval at which a daemon that is not a reader (`Gossip::is_reader`) checks whether it has become one.
const READER_CHECK_MS: u64 = 250;

/// Actor that watches the configuration document while this daemon is one of those that read from the platform.
#[derive(Debug)]
pub(crate) struct ConfigActor;

/// Arguments of `ConfigActor`, which are also its state.
#[derive(Debug)]
pub(crate) struct ConfigArguments {
    pub platform: Platform,
    pub gossip: Arc<Gossip>,
    /// Newest revision that was read from the platform, whether its document was valid or not. A document that was
    /// rejected is therefore not read again.
    pub seen_revision: u64,
}

/// Message of `ConfigActor` to itself.
#[derive(Debug)]
pub(crate) enum ConfigMessage {
    /// Wait for the next change on the platform, or pause if this daemon is not a reader.
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
    /// Waits up to `WATCH_WAIT_MS` for a change and passes the new document, if there is one, to the gossip.
    async fn watch(&mut self) -> Result<(), PlatformError> {
        let after = self.seen_revision.max(self.gossip.config_revision());
        let changes = self.platform.watch(CONFIG_KEY, after, WATCH_WAIT_MS).await?;
        for item in changes.entries.iter().filter(|item| item.key == CONFIG_KEY) {
            self.seen_revision = self.seen_revision.max(item.revision);
            self.gossip.apply_config(item.revision, &item.value);
        }
        Ok(())
    }
}
