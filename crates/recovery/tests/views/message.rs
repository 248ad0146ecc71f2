//! Messages between the simulated daemons.

use recovery::{Append, AppendStatus, Cursor, Replica, ViewId};

/// Message that was sent and has not arrived.
#[derive(Clone, Debug)]
pub struct Message {
    pub from: usize,
    pub to: usize,
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug)]
pub enum Body {
    Append { server: usize, append: Append },
    Status { server: usize, view: ViewId, end: u32, is_end: bool, status: AppendStatus },
    Claim { cursor: Cursor, nonce: u32 },
    Claimed { cursor: Cursor, nonce: u32, replica: Replica, crashes: u32 },
}
