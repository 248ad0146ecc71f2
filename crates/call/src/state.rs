//! States of a call.

/// The call is not being sent. If it is idempotent, it may have been sent before, without an answer.
#[derive(Debug)]
pub struct Unsent;

/// The call may have reached an upstream, at least in part.
#[derive(Debug)]
pub struct Sent;

/// The answer of the upstream has arrived.
#[derive(Debug)]
pub struct Answered;

/// The call was sent, and it cannot be determined whether an upstream ran it.
#[derive(Debug)]
pub struct Unknown;
