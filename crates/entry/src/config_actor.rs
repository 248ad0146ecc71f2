//! Actor that keeps the configuration up to date.

use crate::config::Config;
use fleet::Document;
use plat::Platform;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::{sync::Arc, time::Duration};
use tokio::sync::watch;
use wire::platform::KvEntry;

/// Key of the configuration document.
const CONFIG_KEY: &str = "config/current";

/// Longest wait of one watch.
const WATCH_WAIT_MS: u64 = 30_000;

/// Pause after the platform gave no answer.
const RETRY_PAUSE_MS: u64 = 500;

/// Actor that watches the configuration document.
#[derive(Debug)]
pub(crate) struct ConfigActor;

/// What the actor is started with.
#[derive(Debug)]
pub(crate) struct ConfigArguments {
    pub platform: Platform,
    pub sender: watch::Sender<Arc<Config>>,
}

/// State of the actor.
#[derive(Debug)]
pub(crate) struct ConfigState {
    platform: Platform,
    sender: watch::Sender<Arc<Config>>,
    /// Latest revision that the platform showed. A watch goes on from here and not from the revision in force, because
    /// the platform would show a document that was ignored again and again.
    seen_revision: u64,
}

/// Message of the actor.
#[derive(Debug)]
pub(crate) enum ConfigMessage {
    /// Ask the platform for the next change.
    Poll,
}

impl Actor for ConfigActor {
    type Msg = ConfigMessage;
    type State = ConfigState;
    type Arguments = ConfigArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<ConfigMessage>,
        arguments: ConfigArguments,
    ) -> Result<ConfigState, ActorProcessingErr> {
        myself.cast(ConfigMessage::Poll)?;
        let ConfigArguments { platform, sender } = arguments;
        Ok(ConfigState { platform, sender, seen_revision: 0 })
    }

    async fn handle(
        &self,
        myself: ActorRef<ConfigMessage>,
        message: ConfigMessage,
        state: &mut ConfigState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            ConfigMessage::Poll => {
                let seen_revision = state.seen_revision;
                let changes = state.platform.watch(CONFIG_KEY, seen_revision, WATCH_WAIT_MS).await;
                match changes {
                    Ok(list) => {
                        for entry in &list.entries {
                            apply(entry, &state.sender);
                            state.seen_revision = state.seen_revision.max(entry.revision);
                        }
                    }
                    Err(err) => {
                        log::warn!("config: the platform cannot be watched: {err}");
                        tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
                    }
                }
                myself.cast(ConfigMessage::Poll)?;
            }
        }
        Ok(())
    }
}

/// Puts a document into force if it is valid and may follow the present one.
fn apply(entry: &KvEntry, sender: &watch::Sender<Arc<Config>>) {
    if entry.key != CONFIG_KEY || entry.revision <= sender.borrow().revision {
        return;
    }
    let document = match Document::decode(&entry.value) {
        Ok(document) => document,
        Err(err) => {
            log::error!("config: revision {} is not valid: {err}", entry.revision);
            return;
        }
    };
    let present = sender.borrow().succession();
    if present.may_become(entry.revision, &document) {
        log::info!("config: revision {} is in force", entry.revision);
        sender.send_replace(Arc::new(Config { revision: entry.revision, document }));
    } else {
        log::error!("config: revision {} lacks accepted changes and is ignored", entry.revision);
    }
}
