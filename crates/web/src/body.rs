//! Creates response bodies and reads complete bodies up to a size limit.

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{
    Response, StatusCode,
    body::{Body, Frame, SizeHint},
    header::{CONTENT_TYPE, HeaderValue},
};
use quick_error::quick_error;
use serde::Serialize;
use std::{
    convert::Infallible,
    fmt::Display,
    pin::Pin,
    task::{Context, Poll},
};
use tokio::sync::mpsc;

/// Body of the responses that a `Server` sends.
pub type ResponseBody = UnsyncBoxBody<Bytes, AbortedBody>;

quick_error! {
    /// Error of a response body that cannot be completed. The server closes the connection, so that the caller does not
    /// mistake the response for a complete one.
    #[derive(Clone, Copy, Debug)]
    pub enum AbortedBody {
        /// The rest of the response is not available.
        Aborted {
            display("the response cannot be finished")
        }
    }
}

quick_error! {
    /// Why a body could not be read.
    #[derive(Debug)]
    pub enum ReadBodyError {
        /// The body is larger than the limit, which is the field.
        TooLarge(limit_bytes: usize) {
            display("the body is larger than {limit_bytes} bytes")
        }
        /// The connection failed while the body was read. The field is the text of the error.
        Transport(cause: Box<str>) {
            display("the body ended early: {cause}")
        }
    }
}

/// Body whose chunks arrive over a channel. The body ends when the sender is dropped.
#[derive(Debug)]
pub struct ChannelBody {
    receiver: mpsc::Receiver<Bytes>,
}

impl ChannelBody {
    /// Creates a body and the sender of its chunks. The channel buffers up to `capacity` chunks.
    pub fn new(capacity: usize) -> (mpsc::Sender<Bytes>, Self) {
        let (sender, receiver) = mpsc::channel(capacity);
        (sender, Self { receiver })
    }
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = AbortedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AbortedBody>>> {
        self.receiver.poll_recv(cx).map(|chunk| chunk.map(|data| Ok(Frame::data(data))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

/// Creates a body with the given content.
pub fn full(content: impl Into<Bytes>) -> ResponseBody {
    Full::new(content.into()).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// Creates a body without content.
pub fn empty() -> ResponseBody {
    full(Bytes::new())
}

/// Creates a response with a JSON body. If `value` cannot be serialized, the response has status 500.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<ResponseBody> {
    let (status, content) = match serde_json::to_vec(value) {
        Ok(content) => (status, content),
        Err(_) => (StatusCode::INTERNAL_SERVER_ERROR, b"{}".to_vec()),
    };
    let mut response = Response::new(full(content));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Reads a complete body of at most `limit_bytes`.
///
/// # Errors
///
/// `TooLarge` as soon as the body exceeds the limit, `Transport` if the connection fails.
pub async fn read_body<B>(mut body: B, limit_bytes: usize) -> Result<Bytes, ReadBodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Display,
{
    if body.size_hint().lower() > limit_bytes as u64 {
        return Err(ReadBodyError::TooLarge(limit_bytes));
    }
    let mut content = BytesMut::with_capacity(body.size_hint().lower() as usize);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| ReadBodyError::Transport(err.to_string().into()))?;
        if let Ok(data) = frame.into_data() {
            if content.len() + data.len() > limit_bytes {
                return Err(ReadBodyError::TooLarge(limit_bytes));
            }
            content.extend_from_slice(&data);
        }
    }
    Ok(content.freeze())
}
