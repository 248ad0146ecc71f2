//! Response that is buffered until it is complete, so that a broken one never reaches the caller.

use crate::{
    attempt_error::AttemptError, core::Core, exchange::Exchange, response_head::forwarded_headers,
};
use bytes::{Bytes, BytesMut};
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{HeaderMap, Response, StatusCode, body::Frame};
use std::future::poll_fn;
use tokio::time::Instant;
use web::{AbortedBody, ResponseBody};

/// Largest body that is buffered completely. A larger one is forwarded as it arrives; if it then breaks off, it cannot
/// be replaced by the response to a retry any more.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Response of an instance, with a body that is complete or too large to buffer.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    pub status: StatusCode,
    /// Whether the body had neither a length nor chunks, so that its end may be that of the upstream.
    pub ends_with_connection: bool,
    headers: HeaderMap,
    body: ResponseBody,
}

impl BufferedResponse {
    /// Reads a response to its end, or until the body exceeds the buffer limit or there is no room for it. A body that
    /// has not ended by `deadline_ms` on the daemon's clock is aborted then.
    ///
    /// # Errors
    ///
    /// `Lost` if the connection fails before the end of the body or the buffer limit.
    pub async fn read(
        core: &Core,
        mut exchange: Exchange,
        deadline_ms: u64,
    ) -> Result<Self, AttemptError> {
        let status = exchange.status;
        let ends_with_connection = exchange.ends_with_connection();
        let headers = forwarded_headers(&exchange.headers);
        let mut content = BytesMut::new();
        loop {
            match poll_fn(|cx| exchange.poll_data(cx)).await {
                Some(data) => content.extend_from_slice(&data?),
                None => {
                    let content = exchange.close(core).attach_to(content.freeze());
                    let body = web::full(content);
                    return Ok(Self { status, ends_with_connection, headers, body });
                }
            }
            if content.len() > MAX_BUFFERED_BYTES
                || !exchange.keep(content.len(), content.capacity())
            {
                let deadline = Instant::from_std(core.clock.instant_at(deadline_ms));
                let body = forward(content.freeze(), exchange, deadline);
                return Ok(Self { status, ends_with_connection, headers, body });
            }
        }
    }

    /// Converts the buffered response into the response to the caller.
    pub fn into_response(self) -> Response<ResponseBody> {
        let mut response = Response::new(self.body);
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

/// Creates a body that sends `first` and then forwards the rest of the exchange as it arrives, until `deadline`. An
/// upstream that never ends its body would otherwise occupy the connections for ever.
fn forward(first: Bytes, exchange: Exchange, deadline: Instant) -> ResponseBody {
    let chunks =
        stream::unfold((Some(first), Some(exchange)), move |(first, exchange)| async move {
            if let Some(first) = first {
                return Some((Ok(Frame::data(first)), (None, exchange)));
            }
            let mut exchange = exchange?;
            exchange.keep(0, 0);
            let data =
                tokio::time::timeout_at(deadline, poll_fn(|cx| exchange.poll_data(cx))).await;
            match data {
                // `timeout_at` polls the data first, so data that is always available would never time out.
                Ok(data) if Instant::now() < deadline => match data? {
                    Ok(data) => Some((Ok(Frame::data(data)), (None, Some(exchange)))),
                    Err(_) => Some((Err(AbortedBody::Aborted), (None, None))),
                },
                _ => Some((Err(AbortedBody::Aborted), (None, None))),
            }
        });
    StreamBody::new(chunks).boxed_unsync()
}
