//! Messages between daemons and their encoding.

use crate::{
    heartbeat::Heartbeat, message_error::MessageError, topic::Topic, update::Update,
    version::Version,
};
use serde::{Deserialize, Serialize};

/// Message between daemons.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Heartbeat or the answer to one.
    Heartbeat(Heartbeat),
    /// Asks for the changes of a text since a version. The answer is an `Update`.
    Fetch(Topic, Version),
    /// Answer to `Fetch`.
    Update(Update),
}

impl Message {
    /// Encodes the message with postcard.
    ///
    /// # Errors
    ///
    /// `DigestSize` if the digest exceeds `Heartbeat::MAX_DIGEST_BYTES`, `Codec` if postcard fails.
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        self.validate()?;
        Ok(postcard::to_allocvec(self)?)
    }

    /// Decodes and validates a message.
    ///
    /// # Errors
    ///
    /// `Codec` if the bytes are not a message, `DigestSize` if the digest exceeds `Heartbeat::MAX_DIGEST_BYTES`.
    pub fn decode(raw: &[u8]) -> Result<Self, MessageError> {
        let message: Self = postcard::from_bytes(raw)?;
        message.validate()?;
        Ok(message)
    }

    fn validate(&self) -> Result<(), MessageError> {
        match self {
            Self::Heartbeat(heartbeat) if heartbeat.digest.len() > Heartbeat::MAX_DIGEST_BYTES => {
                Err(MessageError::DigestSize(heartbeat.digest.len()))
            }
            _ => Ok(()),
        }
    }
}
