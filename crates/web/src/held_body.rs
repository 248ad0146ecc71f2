//! Reads complete bodies for which room is held in an account.

use crate::{
    body::{ReadBodyError, read_body},
    byte_account::ByteAccount,
    held_bytes::HeldBytes,
};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use quick_error::quick_error;
use std::{fmt::Display, sync::Arc, time::Duration};

/// Largest body that is read without being counted while its size is not known. Most responses are smaller.
const UNCOUNTED_BYTES: usize = 4 * 1024;

quick_error! {
    /// Why a body could not be read into an account.
    #[derive(Debug)]
    pub enum HeldBodyError {
        /// The body could not be read.
        Body(cause: ReadBodyError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The account had no room for the body within this time.
        NoRoom(wait_ms: u64) {
            display("no room for the body within {wait_ms} ms")
        }
    }
}

/// Reads a complete body of at most `limit_bytes`, and of no more than `account` can hold at all. Its size is held until the
/// last copy of the result is dropped. Waits for room up to `room_wait_ms`; meanwhile the rest of the body stays with its
/// sender.
///
/// # Errors
///
/// `Body` as for `read_body`, `NoRoom` if there was no room in time.
pub async fn read_held_body<B>(
    mut body: B,
    limit_bytes: usize,
    account: &Arc<ByteAccount>,
    room_wait_ms: u64,
) -> Result<Bytes, HeldBodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Display,
{
    let limit_bytes = limit_bytes.min(account.largest_bytes());
    if body.size_hint().lower() > limit_bytes as u64 {
        return Err(ReadBodyError::TooLarge(limit_bytes).into());
    }
    if let Some(size_bytes) = body.size_hint().exact() {
        let held = hold(account, size_bytes as usize, room_wait_ms).await?;
        return Ok(held.attach_to(read_body(body, limit_bytes).await?));
    }
    let mut held = account.hold_none();
    let mut content = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| ReadBodyError::Transport(err.to_string().into()))?;
        let Ok(data) = frame.into_data() else { continue };
        if content.len() + data.len() > limit_bytes {
            return Err(ReadBodyError::TooLarge(limit_bytes).into());
        }
        content.extend_from_slice(&data);
        let kept_bytes = if content.len() > UNCOUNTED_BYTES { content.capacity() } else { 0 };
        if !held.try_resize(kept_bytes) {
            held = hold(account, kept_bytes, room_wait_ms).await?;
        }
    }
    Ok(held.attach_to(content.freeze()))
}

async fn hold(
    account: &Arc<ByteAccount>,
    bytes: usize,
    wait_ms: u64,
) -> Result<HeldBytes, HeldBodyError> {
    let wait = Duration::from_millis(wait_ms);
    let held = tokio::time::timeout(wait, account.hold(bytes)).await;
    held.map_err(|_| HeldBodyError::NoRoom(wait_ms))
}
