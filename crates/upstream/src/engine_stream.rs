//! Stream of events from an engine.

use crate::{
    engine_error::EngineError,
    engine_pool::{EnginePool, Sender},
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::net::SocketAddr;
use wire::{
    engine::{EngineEvent, RawEngineEvent},
    sse::Decoder,
};

/// Largest event that an engine may send.
const EVENT_SIZE_BYTES: usize = 64 * 1024;

/// Data of the event after the finish event.
const DONE: &str = "[DONE]";

/// Open stream of an engine. Dropping it closes the connection, which cancels the request.
#[derive(Debug)]
pub struct EngineStream {
    addr: SocketAddr,
    pool: EnginePool,
    sender: Sender,
    body: Incoming,
    decoder: Decoder,
    request_id: Box<str>,
}

impl EngineStream {
    pub(crate) fn new(
        addr: SocketAddr,
        pool: EnginePool,
        sender: Sender,
        body: Incoming,
        request_id: &str,
    ) -> Self {
        let decoder = Decoder::new(EVENT_SIZE_BYTES);
        Self { addr, pool, sender, body, decoder, request_id: request_id.into() }
    }

    /// Waits for the next event. Cancel safe.
    ///
    /// # Errors
    ///
    /// Any error ends the stream.
    pub async fn next(&mut self) -> Result<EngineEvent, EngineError> {
        loop {
            if let Some(event) = self.buffered()? {
                return Ok(event);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.decoder.feed(data)?;
                    }
                }
                Some(Err(err)) => return Err(EngineError::Transport(err)),
                None => return Err(EngineError::Closed),
            }
        }
    }

    /// The next event that has arrived already, if there is one.
    ///
    /// # Errors
    ///
    /// Any error ends the stream.
    pub fn buffered(&mut self) -> Result<Option<EngineEvent>, EngineError> {
        let Some(event) = self.decoder.next_event()? else { return Ok(None) };
        if event.data == DONE {
            return Err(EngineError::Closed);
        }
        let raw: RawEngineEvent<'_> = serde_json::from_str(&event.data)?;
        if raw.request_id != *self.request_id {
            return Err(EngineError::Crossed);
        }
        match EngineEvent::try_from(raw)? {
            EngineEvent::Error { message } => Err(EngineError::Engine(message)),
            event => Ok(Some(event)),
        }
    }

    /// Reads the rest of a finished answer and returns the connection to the pool. Call it after the finish event.
    pub async fn close(mut self) {
        while let Some(frame) = self.body.frame().await {
            if frame.is_err() {
                return;
            }
        }
        if self.sender.ready().await.is_ok() {
            self.pool.put(self.addr, self.sender);
        }
    }
}
