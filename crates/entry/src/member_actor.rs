//! Exchange of heartbeats with other daemons, and fetching of newer replicated texts from them.

use crate::{gossip::Gossip, member_message::MemberMessage};
use member::{Message, Target, Topic, Version};
use peer::PeerHandle;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Interval between rounds of heartbeats, which gives about three rounds per second.
const TICK_MS: u64 = 333;

/// Actor that performs the network requests of the membership and gossip protocols.
#[derive(Debug)]
pub(crate) struct MemberActor;

/// Arguments of `MemberActor`, which are also its state.
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
    /// Sends extra heartbeats to some peers after a new version, so that it propagates before the next regular
    /// heartbeats.
    fn notify(&self) {
        for target in self.gossip.announcement_targets() {
            drop(tokio::spawn(self.clone().heartbeat(target)));
        }
    }

    /// Announces to some peers that this daemon shuts down.
    pub async fn leave(&self) {
        let messages = self.gossip.announcement_targets().into_iter().map(|target| async move {
            let body = self.gossip.leave_message(target.id.as_ref())?;
            self.handle.heartbeat(target.addr, body).await.ok()
        });
        // Peers that do not receive the announcement detect the loss of the daemon later.
        futures::future::join_all(messages).await;
    }

    async fn heartbeat(self, target: Target) {
        let Some(body) = self.gossip.heartbeat_message(target.id.as_ref()) else { return };
        match (self.handle.heartbeat(target.addr, body).await, &target.id) {
            (Ok(answer), _) => self.gossip.receive_answer(&answer),
            (Err(_), Some(id)) => self.gossip.record_failure(id),
            (Err(err), None) => {
                log::debug!("member: the seed {} did not answer a heartbeat: {err}", target.addr)
            }
        }
    }

    async fn fetch(self, topic: Topic, addr: SocketAddr, body: Vec<u8>) {
        let is_newer = match self.request_update(topic, addr, body).await {
            Some(is_newer) => is_newer,
            // If patches do not apply to the current text, the whole text is fetched.
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

    /// Sends the encoded fetch `body` to a peer and applies the update in the answer. Returns whether the update was
    /// newer, `Some(false)` if the peer did not answer, and `None` if the update does not apply to the current text.
    async fn request_update(&self, topic: Topic, addr: SocketAddr, body: Vec<u8>) -> Option<bool> {
        match self.handle.heartbeat(addr, body).await {
            Ok(answer) => match self.gossip.receive_update(topic, &answer) {
                Ok(is_newer) => Some(is_newer),
                Err(err) => {
                    log::warn!("member: an update from the peer {addr} does not apply: {err}");
                    None
                }
            },
            Err(err) => {
                log::info!("member: the peer {addr} did not send an update: {err}");
                Some(false)
            }
        }
    }
}
