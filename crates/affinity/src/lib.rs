//! Decides at which software version of an upstream a stream may go on, and what the fleet records of it.
//!
//! The crate does no I/O and reads no clock; callers pass the current time.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod begun_streams;
mod complete_era;
mod copy_holders;
mod era_watch;
mod item_error;
mod origin;
mod record_item;
mod replica_record;
mod run_copy;
mod service_version;
mod software_version;
mod step;
mod stream_version;
mod take_up_error;
mod version_change;
mod version_error;
mod version_records;
mod versions_in_play;

pub use crate::{
    complete_era::CompleteEra,
    copy_holders::{ASKED_DAEMONS, TOLD_DAEMONS, copy_holders},
    item_error::ItemError,
    origin::Origin,
    record_item::{RecordBatch, RecordItem},
    replica_record::ReplicaRecord,
    run_copy::RunCopy,
    service_version::ServiceVersion,
    software_version::SoftwareVersion,
    step::Step,
    stream_version::StreamVersion,
    take_up_error::TakeUpError,
    version_change::VersionChange,
    version_error::VersionError,
    version_records::{LEASE_MS, STREAM_LIFE_MS, VersionRecords},
};
