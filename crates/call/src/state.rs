//! States of a call.

/// Nothing was written to any upstream.
#[derive(Debug)]
pub struct Unsent;

/// A byte may have reached an upstream.
#[derive(Debug)]
pub struct Sent;

/// The upstream's answer has arrived.
#[derive(Debug)]
pub struct Answered;

/// Whether the upstream ran the call cannot be determined.
#[derive(Debug)]
pub struct Unknown;
