//! Body of a request whose progress is known to the other connections.

use crate::connection_use::ConnectionUse;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

/// Body of a request for which bytes are held in the account, until the value is dropped.
#[derive(Debug)]
pub struct ArrivingBody<B> {
    body: B,
    connection: Arc<ConnectionUse>,
}

impl<B> ArrivingBody<B> {
    pub(crate) fn new(
        body: B,
        connection: Arc<ConnectionUse>,
        held_bytes: usize,
        wait_ms: u64,
    ) -> Self {
        connection.begin_body(held_bytes, wait_ms);
        Self { body, connection }
    }
}

impl<B> Drop for ArrivingBody<B> {
    fn drop(&mut self) {
        self.connection.end_body();
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for ArrivingBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame {
            self.connection.record_body(frame.data_ref().map_or(0, Bytes::len));
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
