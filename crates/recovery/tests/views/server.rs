//! Server of the answer at one entry.

use recovery::{Cursor, ViewId};
use std::collections::VecDeque;

/// Event on its way to the caller.
#[derive(Clone, Debug)]
pub enum Event {
    Token(Cursor, u32),
    End(Cursor),
}

/// Server of the answer at one entry.
#[derive(Clone, Debug)]
pub struct Server {
    pub daemon: usize,
    pub view: ViewId,
    pub holder: Option<usize>,
    /// Crashes of the holder when it took the view.
    pub holder_crashes: u32,
    pub is_installed: bool,
    pub is_waiting: bool,
    pub is_live: bool,
    pub has_ended: bool,
    pub released: u32,
    pub events: VecDeque<Event>,
}
