//! Message between daemons.

use crate::{
    heartbeat::Heartbeat, message_error::MessageError, topic::Topic, update::Update,
    version::Version,
};
use serde::{Deserialize, Serialize};

/// Message between daemons.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Heartbeat or its answer.
    Heartbeat(Heartbeat),
    /// Asks for what is newer than a version. The answer is an `Update`.
    Fetch(Topic, Version),
    /// Answer to `Fetch`.
    Update(Update),
}

impl Message {
    /// Encodes the message.
    ///
    /// # Errors
    ///
    /// `Codec` or `DigestSize`.
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        self.check()?;
        Ok(postcard::to_allocvec(self)?)
    }

    /// Decodes and checks a message.
    ///
    /// # Errors
    ///
    /// `Codec` or `DigestSize`.
    pub fn decode(raw: &[u8]) -> Result<Self, MessageError> {
        let message: Self = postcard::from_bytes(raw)?;
        message.check()?;
        Ok(message)
    }

    fn check(&self) -> Result<(), MessageError> {
        match self {
            Self::Heartbeat(heartbeat) if heartbeat.digest.len() > Heartbeat::MAX_DIGEST_BYTES => {
                Err(MessageError::DigestSize(heartbeat.digest.len()))
            }
            _ => Ok(()),
        }
    }
}
