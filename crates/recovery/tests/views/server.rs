//! State of an entry that streams the answer.

use recovery::{Cursor, ViewId};
use std::collections::VecDeque;

/// Event that was released and that the caller has not read.
#[derive(Clone, Debug)]
pub enum Event {
    Token(Cursor, u32),
    End(Cursor),
}

/// State of an entry that streams the answer in one view.
#[derive(Clone, Debug)]
pub struct Server {
    pub daemon: usize,
    pub view: ViewId,
    pub holder: Option<usize>,
    /// Number of crashes of the holder before it received the view.
    pub holder_crashes: u32,
    /// Whether the holder has the replica in this view.
    pub is_installed: bool,
    /// Whether an append was sent and its status has not arrived.
    pub is_waiting: bool,
    pub is_running: bool,
    /// Whether the end of the answer was released.
    pub has_ended: bool,
    /// Number of released tokens.
    pub released: u32,
    pub events: VecDeque<Event>,
}
