//! Tracks the requests in flight on one connection of the server.

use crate::body::{AbortedBody, ResponseBody};
use bytes::Bytes;
use futures::task::AtomicWaker;
use http_body_util::BodyExt;
use hyper::{
    Response,
    body::{Body, Frame, SizeHint},
};
use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

/// Counts the requests of one connection that have no complete response yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlightRequests(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    /// Number of requests in flight.
    count: AtomicUsize,
    /// Number of all requests so far, the answered ones included.
    total: AtomicUsize,
    /// Whether the connection was closed without a request in flight.
    is_closed_idle: AtomicBool,
    /// Waker of the task that serves the connection.
    connection_waker: AtomicWaker,
}

/// Guard of one request, which counts as in flight until the guard is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(InFlightRequests);

impl InFlightRequests {
    /// Counts a request as in flight until the returned guard is dropped.
    pub fn start_request(&self) -> InFlightGuard {
        self.0.count.fetch_add(1, Ordering::Relaxed);
        self.0.total.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(self.clone())
    }

    /// Returns the number of all requests so far, the answered ones included.
    pub fn total(&self) -> usize {
        self.0.total.load(Ordering::Relaxed)
    }

    /// Records that the server closes the connection. Bytes that arrive later begin a new request if none is in flight.
    pub fn record_close(&self) {
        let is_idle = self.0.count.load(Ordering::Relaxed) == 0;
        self.0.is_closed_idle.store(is_idle, Ordering::Relaxed);
    }

    /// Whether no request was in flight when the server closed the connection.
    pub fn is_closed_idle(&self) -> bool {
        self.0.is_closed_idle.load(Ordering::Relaxed)
    }

    /// Is ready if no request is in flight. Otherwise, the task is woken when the next request has been answered.
    pub fn poll_idle(&self, cx: &Context<'_>) -> Poll<()> {
        self.0.connection_waker.register(cx.waker());
        match self.0.count.load(Ordering::Relaxed) {
            0 => Poll::Ready(()),
            _ => Poll::Pending,
        }
    }
}

impl InFlightGuard {
    /// Moves the guard into the body of the response, so that the request counts as in flight until the connection has
    /// read and dropped that body.
    pub fn attach_to(self, response: Response<ResponseBody>) -> Response<ResponseBody> {
        response.map(|body| GuardedBody { body, _guard: self }.boxed_unsync())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let shared = &self.0.0;
        shared.count.fetch_sub(1, Ordering::Relaxed);
        shared.connection_waker.wake();
    }
}

/// Response body that holds the guard of its request.
struct GuardedBody {
    body: ResponseBody,
    _guard: InFlightGuard,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = AbortedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AbortedBody>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
