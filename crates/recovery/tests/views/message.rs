//! Messages between the simulated daemons.

use recovery::{Append, AppendStatus, Cursor, Replica, ViewId};

/// Message that was sent and has not arrived.
#[derive(Clone, Debug)]
pub struct Message {
    /// Number of the daemon that sent the message.
    pub from: usize,
    /// Number of the daemon that receives the message.
    pub to: usize,
    pub body: Body,
}

/// Content of a message. `server` is the position of a server in `World::servers`.
#[derive(Clone, Debug)]
pub enum Body {
    /// Append of a server to the replica of its holder.
    Append { server: usize, append: Append },
    /// Response to an append in `view`. The append contained the tokens before `token_count`, and the end of the answer
    /// if `has_finish` is set.
    Status { server: usize, view: ViewId, token_count: u32, has_finish: bool, status: AppendStatus },
    /// Claim of the journal by the sender.
    Claim { cursor: Cursor, nonce: u32 },
    /// Response to a claim: the claimed replica, and the number of crashes of its daemon so far.
    Claimed { cursor: Cursor, nonce: u32, replica: Replica, crashes: u32 },
}
