//! Identifier of a part of a prompt.

/// Identifier of a part of a prompt, as callers state it. It is unique within one service.
pub type PartId = Box<str>;
