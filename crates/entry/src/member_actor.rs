//! Actor that sends heartbeats and fetches newer texts.

use crate::{gossip::Gossip, member_message::MemberMessage};
use member::{Message, Target, Topic, Version};
use peer::PeerHandle;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Time between two heartbeats, which gives about 3 a second.
const TICK_MS: u64 = 333;

/// Actor that sends heartbeats and fetches newer texts.
#[derive(Debug)]
pub(crate) struct MemberActor;

/// What the actor is started with.
#[derive(Clone, Debug)]
pub(crate) struct MemberArguments {
    pub gossip: Arc<Gossip>,
    pub handle: PeerHandle,
}

impl Actor for MemberActor {
    type Msg = MemberMessage;
    type State = MemberArguments;
    type Arguments = MemberArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<MemberMessage>,
        arguments: MemberArguments,
    ) -> Result<MemberArguments, ActorProcessingErr> {
        arguments.gossip.set_actor(myself.clone());
        myself.cast(MemberMessage::Tick)?;
        Ok(arguments)
    }

    async fn handle(
        &self,
        myself: ActorRef<MemberMessage>,
        message: MemberMessage,
        state: &mut MemberArguments,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            MemberMessage::Tick => {
                for target in state.gossip.tick() {
                    drop(tokio::spawn(state.clone().heartbeat(target)));
                }
                drop(myself.send_after(Duration::from_millis(TICK_MS), || MemberMessage::Tick));
            }
            MemberMessage::Fetch(topic, addr) => {
                if let Some(body) = state.gossip.begin_fetch(topic) {
                    drop(tokio::spawn(state.clone().fetch(topic, addr, body)));
                }
            }
            MemberMessage::Notify => state.notify(),
        }
        Ok(())
    }
}

impl MemberArguments {
    /// Tells some peers of a new version, so that it does not wait for the next heartbeats.
    fn notify(&self) {
        for target in self.gossip.announcement_targets() {
            drop(tokio::spawn(self.clone().heartbeat(target)));
        }
    }

    /// Tells some peers that this daemon leaves.
    pub async fn leave(&self) {
        let messages = self.gossip.announcement_targets().into_iter().map(|target| async move {
            let body = self.gossip.leave_message(target.id.as_ref())?;
            self.handle.heartbeat(target.addr, body).await.ok()
        });
        // Whoever does not hear it suspects the daemon later.
        futures::future::join_all(messages).await;
    }

    async fn heartbeat(self, target: Target) {
        let Some(body) = self.gossip.heartbeat_message(target.id.as_ref()) else { return };
        match (self.handle.heartbeat(target.addr, body).await, &target.id) {
            (Ok(answer), _) => self.gossip.receive_answer(&answer),
            (Err(_), Some(id)) => self.gossip.record_failure(id),
            (Err(err), None) => log::debug!("member: {} did not answer: {err}", target.addr),
        }
    }

    async fn fetch(self, topic: Topic, addr: SocketAddr, body: Vec<u8>) {
        let is_newer = match self.request_update(topic, addr, body).await {
            Some(is_newer) => is_newer,
            // Patches that do not fit are replaced by the whole text.
            None => match Message::Fetch(topic, Version::default()).encode() {
                Ok(body) => self.request_update(topic, addr, body).await.unwrap_or(false),
                Err(_) => false,
            },
        };
        self.gossip.end_fetch(topic);
        if is_newer {
            self.notify();
        }
    }

    /// Asks for an update; `None` if it does not fit.
    async fn request_update(&self, topic: Topic, addr: SocketAddr, body: Vec<u8>) -> Option<bool> {
        match self.handle.heartbeat(addr, body).await {
            Ok(answer) => match self.gossip.receive_update(topic, &answer) {
                Ok(is_newer) => Some(is_newer),
                Err(err) => {
                    log::warn!("member: an update of {addr} does not fit: {err}");
                    None
                }
            },
            Err(err) => {
                log::info!("member: {addr} gave no update: {err}");
                Some(false)
            }
        }
    }
}
