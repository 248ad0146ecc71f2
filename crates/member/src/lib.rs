//! Gossip membership of daemons and replication of versioned texts, as state machines without sockets or clocks.
//!
//! The replicated texts are the fleet configuration and the VM list of the deployment platform. A few daemons of each
//! failure domain, the readers, read both from the platform and publish new versions; the other daemons learn of a
//! version from heartbeats and fetch it.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod heartbeat;
mod incarnation;
mod member;
mod member_record;
mod member_state;
mod membership;
mod message;
mod message_error;
mod options;
mod patch;
mod patch_error;
mod platform_readers;
mod read_filter;
mod replicated_text;
mod stats;
mod target;
mod topic;
mod update;
mod version;

pub use crate::{
    heartbeat::Heartbeat, incarnation::Incarnation, member::Member, member_state::MemberState,
    membership::Membership, message::Message, message_error::MessageError, options::Options,
    patch::Patch, patch_error::PatchError, platform_readers::platform_readers,
    read_filter::ReadFilter, replicated_text::ReplicatedText, stats::Stats, target::Target,
    topic::Topic, update::Update, version::Version,
};
