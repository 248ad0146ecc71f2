//! Answer of an instance that is held back until it is whole.

use crate::{answer::passed_on, attempt_error::AttemptError, core::Core, exchange::Exchange};
use bytes::{Bytes, BytesMut};
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{HeaderMap, Response, StatusCode, body::Frame};
use std::future::poll_fn;
use web::{AbortedBody, ResponseBody};

/// Part of an answer that is held back, so that a broken answer can be replaced. Larger answers are passed on as they
/// come.
const HELD_BACK_BYTES: usize = 64 * 1024;

/// Answer of an instance.
#[derive(Debug)]
pub(crate) struct HeldAnswer {
    pub status: StatusCode,
    headers: HeaderMap,
    body: ResponseBody,
}

impl HeldAnswer {
    /// Reads an answer to its end, or to the part that is held back.
    ///
    /// # Errors
    ///
    /// `Lost` if the connection failed before.
    pub async fn read(core: &Core, mut exchange: Exchange) -> Result<Self, AttemptError> {
        let status = exchange.status;
        let headers = passed_on(&exchange.headers);
        let mut content = BytesMut::new();
        loop {
            match poll_fn(|cx| exchange.poll_data(cx)).await {
                Some(data) => content.extend_from_slice(&data?),
                None => {
                    exchange.close(core);
                    return Ok(Self { status, headers, body: web::full(content.freeze()) });
                }
            }
            if content.len() > HELD_BACK_BYTES {
                let body = pass_on(content.freeze(), exchange);
                return Ok(Self { status, headers, body });
            }
        }
    }

    /// The response to the caller.
    pub fn into_response(self) -> Response<ResponseBody> {
        let mut response = Response::new(self.body);
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

/// Body of an answer that is passed on as it comes.
fn pass_on(first: Bytes, exchange: Exchange) -> ResponseBody {
    let parts = stream::unfold((Some(first), Some(exchange)), |(first, exchange)| async move {
        if let Some(first) = first {
            return Some((Ok(Frame::data(first)), (None, exchange)));
        }
        let mut exchange = exchange?;
        match poll_fn(|cx| exchange.poll_data(cx)).await? {
            Ok(data) => Some((Ok(Frame::data(data)), (None, Some(exchange)))),
            Err(_) => Some((Err(AbortedBody::Aborted), (None, None))),
        }
    });
    StreamBody::new(parts).boxed_unsync()
}
