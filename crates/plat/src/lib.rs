//! Client of the platform (key-value service, leases, list of VMs and weight store) and helpers for key-value services
//! in general.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod announce;
mod compare_and_swap;
mod item_cache;
mod kv;
mod list_and_watch;
mod platform;
mod platform_error;
mod position;
mod read_path;
mod record_store;
mod relay;
mod relay_options;
mod relay_tree;
mod relayed_source;
mod serve_budget;
mod served_items;
mod source;
mod swap_outcome;
mod watch_timing;

pub use crate::{
    announce::{Lease, LeaseClient, announce},
    compare_and_swap::compare_and_swap,
    item_cache::{IsSame, ItemCache},
    kv::Kv,
    list_and_watch::{WatchHandler, list_and_watch},
    platform::Platform,
    platform_error::PlatformError,
    position::Position,
    read_path::{ReadPath, choose_read_path},
    record_store::RecordStore,
    relay::Relay,
    relay_options::RelayOptions,
    relayed_source::RelayedSource,
    serve_budget::ServeBudget,
    served_items::ServedItems,
    source::{Change, Changes, Freshness, Source, SourceError},
    swap_outcome::SwapOutcome,
    watch_timing::WatchTiming,
};
