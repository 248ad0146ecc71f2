//! Periodic reads of the list of VMs from the platform.

use crate::gossip::Gossip;
use plat::Platform;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::{sync::Arc, time::Duration};

/// Actor that reads the list of VMs while this daemon is one of those that read from the platform.
#[derive(Debug)]
pub(crate) struct VmListActor;

/// Arguments of `VmListActor`, which are also its state.
#[derive(Debug)]
pub(crate) struct VmListArguments {
    pub platform: Platform,
    pub gossip: Arc<Gossip>,
    /// Time between two reads.
    pub interval_ms: u64,
}

/// Message of `VmListActor` to itself.
#[derive(Debug)]
pub(crate) enum VmListMessage {
    /// Read the list from the platform, if this daemon is a reader (`Gossip::is_reader`).
    Poll,
}

impl Actor for VmListActor {
    type Msg = VmListMessage;
    type State = VmListArguments;
    type Arguments = VmListArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<VmListMessage>,
        arguments: VmListArguments,
    ) -> Result<VmListArguments, ActorProcessingErr> {
        myself.cast(VmListMessage::Poll)?;
        Ok(arguments)
    }

    async fn handle(
        &self,
        myself: ActorRef<VmListMessage>,
        message: VmListMessage,
        state: &mut VmListArguments,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            VmListMessage::Poll => {
                if state.gossip.is_reader() {
                    match state.platform.vms().await {
                        Ok(list) => state.gossip.apply_vms(list),
                        Err(err) => {
                            log::warn!("vms: the platform's list of VMs cannot be read: {err}")
                        }
                    }
                }
                let interval = Duration::from_millis(state.interval_ms);
                drop(myself.send_after(interval, || VmListMessage::Poll));
            }
        }
        Ok(())
    }
}
