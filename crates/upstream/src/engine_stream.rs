//! Stream of events from an engine.

use crate::{engine_error::EngineError, engine_pool::EnginePool};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::{net::SocketAddr, time::Duration};
use web::{ClientError, Connection};
use wire::{
    engine::{EngineEvent, EngineRequest, RawEngineEvent},
    sse::Decoder,
};

/// Largest event that an engine may send.
const EVENT_SIZE_BYTES: usize = 64 * 1024;

/// Longest text of a token. Tokens of known models have at most a few hundred bytes; with the limit on tokens this bounds
/// the memory of an answer.
const TOKEN_TEXT_SIZE_BYTES: usize = 1024;

/// Longest wait for the end of a stream after its finish event.
const CLOSE_WAIT_MS: u64 = 1_000;

/// Largest rest of a stream after its finish event.
const CLOSE_SIZE_BYTES: usize = 64 * 1024;

/// Data of the event after the finish event.
const DONE: &str = "[DONE]";

/// Open stream of an engine. Dropping it closes the connection, which cancels the request.
#[derive(Debug)]
pub struct EngineStream {
    addr: SocketAddr,
    pool: EnginePool,
    connection: Connection,
    body: Incoming,
    decoder: Decoder,
    request_id: Box<str>,
    max_tokens: u32,
}

impl EngineStream {
    pub(crate) fn new(
        addr: SocketAddr,
        pool: EnginePool,
        connection: Connection,
        body: Incoming,
        request: &EngineRequest,
    ) -> Self {
        let decoder = Decoder::new(EVENT_SIZE_BYTES);
        let request_id = request.request_id.as_str().into();
        Self { addr, pool, connection, body, decoder, request_id, max_tokens: request.max_tokens }
    }

    /// Waits for the next event. Cancel safe.
    ///
    /// # Errors
    ///
    /// Any error ends the stream.
    pub async fn next(&mut self) -> Result<EngineEvent, EngineError> {
        loop {
            if let Some(event) = self.next_buffered()? {
                return Ok(event);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.decoder.feed(data)?;
                    }
                }
                Some(Err(err)) => return Err(ClientError::Transport(err).into()),
                None => return Err(EngineError::Closed),
            }
        }
    }

    /// The next event that has arrived already, if there is one.
    ///
    /// # Errors
    ///
    /// Any error ends the stream.
    pub fn next_buffered(&mut self) -> Result<Option<EngineEvent>, EngineError> {
        let Some(event) = self.decoder.next_event()? else { return Ok(None) };
        if event.data == DONE {
            return Err(EngineError::Closed);
        }
        let raw: RawEngineEvent<'_> = serde_json::from_str(&event.data)?;
        if raw.request_id != *self.request_id {
            return Err(EngineError::WrongRequestId);
        }
        match EngineEvent::try_from(raw)? {
            EngineEvent::Error { message } => Err(EngineError::EngineReported(message)),
            EngineEvent::Token { index, .. } if index >= self.max_tokens => {
                Err(EngineError::TooManyTokens(self.max_tokens))
            }
            EngineEvent::Token { text, .. } if text.len() > TOKEN_TEXT_SIZE_BYTES => {
                Err(EngineError::TokenTextTooLong(text.len()))
            }
            event => Ok(Some(event)),
        }
    }

    /// Reads the rest of a finished answer and returns the connection to the pool. Call it after the finish event. A
    /// connection whose rest is long or does not end is closed.
    pub async fn close(mut self) {
        let wait = Duration::from_millis(CLOSE_WAIT_MS);
        if tokio::time::timeout(wait, self.read_rest()).await == Ok(true) {
            self.pool.put(self.addr, self.connection);
        }
    }

    /// Whether the stream ended and the connection can carry another request.
    async fn read_rest(&mut self) -> bool {
        let mut size_bytes = 0;
        while let Some(frame) = self.body.frame().await {
            let Ok(frame) = frame else { return false };
            size_bytes += frame.data_ref().map_or(0, |data| data.len());
            if size_bytes > CLOSE_SIZE_BYTES {
                return false;
            }
        }
        self.connection.ready().await
    }
}
