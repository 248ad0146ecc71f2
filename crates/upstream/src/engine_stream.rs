//! Reads and checks the events of a completion stream.

use crate::{engine_error::EngineError, engine_pool::EnginePool};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::{net::SocketAddr, time::Duration};
use web::{ClientError, Connection};
use wire::{
    engine::{EngineEvent, EngineRequest, RawEngineEvent},
    sse::Decoder,
};

/// Largest size of a server-sent event that an engine may send.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Largest size of the text of a token. Tokens of known models have at most a few hundred bytes. Together with the
/// limit on the number of tokens, this limit bounds the memory that an answer needs.
const MAX_TOKEN_TEXT_BYTES: usize = 1024;

/// Longest wait for the end of a stream after its finish event, in milliseconds.
const DRAIN_TIMEOUT_MS: u64 = 1_000;

/// Largest number of bytes that a stream may send after its finish event.
const MAX_DRAIN_BYTES: usize = 64 * 1024;

/// Data of the event after the finish event.
const DONE: &str = "[DONE]";

/// Open completion stream from an engine. Dropping it closes the connection, which cancels the request.
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
        let decoder = Decoder::new(MAX_EVENT_BYTES);
        let request_id = request.request_id.as_str().into();
        Self { addr, pool, connection, body, decoder, request_id, max_tokens: request.max_tokens }
    }

    /// Waits for the next event. This method is cancel safe.
    ///
    /// # Errors
    ///
    /// The stream must not be used after an error.
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

    /// Returns the next event, or `None` if it has not been received completely yet. Does not wait.
    ///
    /// # Errors
    ///
    /// The stream must not be used after an error.
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
            EngineEvent::Token { text, .. } if text.len() > MAX_TOKEN_TEXT_BYTES => {
                Err(EngineError::TokenTextTooLong(text.len()))
            }
            event => Ok(Some(event)),
        }
    }

    /// Reads the rest of the stream after its finish event and returns the connection to the pool. The connection is
    /// closed instead if it fails, or if the rest exceeds `MAX_DRAIN_BYTES` or does not end within `DRAIN_TIMEOUT_MS`.
    pub async fn close(mut self) {
        let wait = Duration::from_millis(DRAIN_TIMEOUT_MS);
        if tokio::time::timeout(wait, self.drain()).await == Ok(true) {
            self.pool.put(self.addr, self.connection);
        }
    }

    /// Reads the rest of the stream. Returns whether the connection can carry another request, which is `false` if the
    /// stream fails or its rest exceeds `MAX_DRAIN_BYTES`.
    async fn drain(&mut self) -> bool {
        let mut size_bytes = 0;
        while let Some(frame) = self.body.frame().await {
            let Ok(frame) = frame else { return false };
            size_bytes += frame.data_ref().map_or(0, |data| data.len());
            if size_bytes > MAX_DRAIN_BYTES {
                return false;
            }
        }
        self.connection.ready().await
    }
}
