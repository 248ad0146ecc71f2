//! Simulated servers, each of which streams the answer from one daemon.

use recovery::{Cursor, ViewId};
use std::collections::VecDeque;

/// Event that was released and that the caller has not read.
#[derive(Clone, Debug)]
pub enum Event {
    /// Token with its cursor and identifier.
    Token(Cursor, u32),
    /// End of the answer, with the cursor after its last token.
    End(Cursor),
}

/// Server that streams the answer to the caller until its view is superseded or its daemon crashes.
#[derive(Clone, Debug)]
pub struct Server {
    /// Number of the daemon that the server runs on.
    pub daemon: usize,
    /// View in which the server appends to the journal.
    pub view: ViewId,
    /// Number of the daemon that holds the journal replica; `None` if no other daemon holds one.
    pub holder: Option<usize>,
    /// Number of crashes that the holder had before the holder received the view.
    pub holder_crashes: u32,
    /// Whether the holder has the replica in this view.
    pub is_installed: bool,
    /// Whether an append was sent and its status has not arrived.
    pub is_waiting: bool,
    /// Whether the server still generates and releases tokens.
    pub is_running: bool,
    /// Whether the end of the answer was released.
    pub has_ended: bool,
    /// Number of released tokens.
    pub released: u32,
    /// Released events that the caller has not read, oldest first.
    pub events: VecDeque<Event>,
}
