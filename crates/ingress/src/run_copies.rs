//! KV cache replicas of this daemon's streams, which a few other daemons are told.

use crate::peer_message::PeerMessage;
use affinity::{RunCopy, TOLD_DAEMONS, copy_holders};
use base::lock;
use std::{collections::VecDeque, net::SocketAddr, sync::Mutex};
use tokio::sync::Notify;

/// Largest number of replicas that wait to be sent. Beyond it the oldest one is dropped, and its stream reads its prompt
/// again if its daemon is lost.
const MAX_UNSENT: usize = 1_024;

/// KV cache replicas of this daemon's streams, which a few other daemons are told. The identifier of the stream determines
/// which ones, so that each daemon can ask them.
#[derive(Debug, Default)]
pub(crate) struct RunCopies {
    /// Peer addresses of all listed daemons, including this one.
    daemons: Mutex<Vec<SocketAddr>>,
    unsent: Mutex<VecDeque<RunCopy>>,
    /// Wakes the sender.
    recorded: Notify,
}

impl RunCopies {
    /// Replaces the list of daemons.
    pub fn set_daemons(&self, daemons: Vec<SocketAddr>) {
        *lock(&self.daemons) = daemons;
    }

    /// Adds a replica that other daemons are to be told.
    pub fn push(&self, copy: RunCopy) {
        let mut unsent = lock(&self.unsent);
        if unsent.len() >= MAX_UNSENT {
            unsent.pop_front();
        }
        unsent.push_back(copy);
        self.recorded.notify_one();
    }

    /// Waits for the next replica. Returns it as a message with the daemons that are told, without the one with the peer
    /// address `own`.
    pub async fn next(&self, own: Option<SocketAddr>) -> (PeerMessage, Vec<SocketAddr>) {
        loop {
            let copy = lock(&self.unsent).pop_front();
            if let Some(copy) = copy {
                let mut daemons = copy_holders(&copy.stream_id, &lock(&self.daemons));
                daemons.truncate(TOLD_DAEMONS);
                daemons.retain(|daemon| Some(*daemon) != own);
                return (PeerMessage::Copy(copy), daemons);
            }
            self.recorded.notified().await;
        }
    }

    /// Daemons that are asked for the replica of a stream, without the one with the peer address `own`.
    pub fn asked(&self, stream_id: &str, own: Option<SocketAddr>) -> Vec<SocketAddr> {
        let mut daemons = copy_holders(stream_id, &lock(&self.daemons));
        daemons.retain(|daemon| Some(*daemon) != own);
        daemons
    }
}
