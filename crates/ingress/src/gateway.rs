//! HTTP handlers for callers' requests and for readiness probes.

use crate::{
    caller_error::CallerError,
    config::{ClientAccount, Config},
    core::Core,
    inbound::{Inbound, InboundHead},
    route_kind::RouteKind,
    route_table::Route,
    short_call,
    stream_relay::{StreamRelay, StreamStart},
    take_up::learn_service,
};
use bytes::Bytes;
use futures::{FutureExt, StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    HeaderMap, Request, Response,
    body::{Body, Frame, Incoming},
    header::{CONNECTION, HOST, HeaderValue},
};
use std::{panic::AssertUnwindSafe, sync::Arc, time::Duration};
use web::{
    AbortedBody, Handler, ReadBodyError, RequestContext, ResponseBody, StatusCode, read_body,
};

/// Longest wait for the body of a request.
const BODY_TIMEOUT_MS: u64 = 10_000;

/// Part of the time until the deadline that a request may wait for room for its body, as a divisor. The rest is for a
/// retry at another daemon.
const ROOM_WAIT_DIVISOR: u64 = 2;

/// Early in a shutdown, a stream is accepted if this multiple of the usual duration of streams is left. A stream that
/// resumes at another engine takes longer than usual.
const SHUTDOWN_DURATION_FACTOR: u64 = 2;

/// Authenticates and routes requests of callers, and serves them as calls or streams.
#[derive(Debug)]
pub struct Gateway {
    core: Arc<Core>,
}

impl Gateway {
    /// Creates a gateway that uses the daemon's shared state.
    pub fn new(core: Arc<Core>) -> Self {
        Self { core }
    }

    /// Serves a request. Sets `has_body_read` once its body was read to the end.
    async fn serve(
        &self,
        request: Request<Incoming>,
        has_body_read: &mut bool,
    ) -> Result<Response<ResponseBody>, CallerError> {
        let waited_ms = RequestContext::of(&request).map_or(0, RequestContext::waited_ms);
        let arrived_ms = self.core.clock.now_ms().saturating_sub(waited_ms);
        let config = self.core.wait_for_config().await.ok_or(CallerError::NoConfig)?;
        if headers_size_bytes(&request) > config.limits.max_headers_bytes {
            return Err(CallerError::HeadersTooLarge);
        }
        let route = route_of(&config, &request)?;
        let account = self.account(&config, route, request.headers())?;
        let resumes = request.headers().get(&self.core.dialect.resumed_request_id);
        let resumes = resumes.and_then(|id| id.to_str().ok());
        if let Some(id) = resumes.filter(|_| route.services.len() > 1) {
            learn_service(&self.core, id).await;
        }
        let service = self.core.pick_service(route, resumes).ok_or(CallerError::NoRoute)?;
        let head = InboundHead { dialect: &self.core.dialect, route, service, account, arrived_ms };
        let (parts, body) = request.into_parts();
        let body_end_ms = arrived_ms.saturating_add(route.timeout_ms);
        // A malformed header is reported once the body has been read.
        let left_ms = head.time_left_ms(&parts.headers).unwrap_or(0).saturating_sub(waited_ms);
        let room_wait_ms = left_ms / ROOM_WAIT_DIVISOR;
        let context = parts.extensions.get::<RequestContext>();
        let max_body_bytes = config.limits.max_body_bytes;
        let body = self.read_body(body, context, max_body_bytes, room_wait_ms, body_end_ms);
        let body = tokio::select! {
            biased;
            body = body => body?,
            () = self.core.wait_for_last_answers() => {
                return Err(CallerError::Busy(self.core.call_retry_after_ms()));
            }
        };
        *has_body_read = true;
        let inbound = head.with_body(parts.method, parts.uri, &parts.headers, body)?;
        self.check_shutdown(&inbound)?;
        match inbound.kind {
            RouteKind::Idempotent | RouteKind::NonIdempotent => self.serve_call(&inbound).await,
            RouteKind::Streaming { .. } => self.serve_stream(inbound).await,
        }
    }

    /// Reads a body of at most `max_bytes` until `body_end_ms` on the daemon's clock, after at most `room_wait_ms` until
    /// there is room for it. The room is for the stated size, or for the largest one if the size is not stated, and is
    /// held until the last copy of the body is dropped.
    ///
    /// # Errors
    ///
    /// `TooLarge`, `MemorySpent`, `IncompleteBody` and `BodyTimeout`. The request has not run.
    async fn read_body(
        &self,
        body: Incoming,
        context: Option<&RequestContext>,
        max_bytes: usize,
        room_wait_ms: u64,
        body_end_ms: u64,
    ) -> Result<Bytes, CallerError> {
        let kept_bytes = &self.core.kept_bytes;
        let max_bytes = max_bytes.min(kept_bytes.largest_bytes());
        let stated_bytes = body.size_hint().exact();
        if stated_bytes.is_some_and(|bytes| bytes > max_bytes as u64) {
            return Err(CallerError::TooLarge);
        }
        let size_bytes = stated_bytes.map_or(max_bytes, |bytes| bytes as usize);
        let room_wait = Duration::from_millis(room_wait_ms);
        let held = match kept_bytes.try_hold(size_bytes) {
            Some(held) => Ok(held),
            None => {
                metrics::counter!("bodies_delayed_total").increment(1);
                let hold = async {
                    match context {
                        Some(context) => context.hold(kept_bytes, size_bytes).await,
                        None => kept_bytes.hold(size_bytes).await,
                    }
                };
                tokio::time::timeout(room_wait, hold).await
            }
        };
        let Ok(mut held) = held else {
            log::warn!(
                "memory: no room for a body of {size_bytes} bytes within {room_wait_ms} ms, kept_bytes={}",
                kept_bytes.held_bytes()
            );
            return Err(CallerError::MemorySpent(self.core.stream_retry_after_ms()));
        };
        let left_ms = body_end_ms.saturating_sub(self.core.clock.now_ms());
        let body_wait_ms = BODY_TIMEOUT_MS.min(left_ms);
        let body_wait = Duration::from_millis(body_wait_ms);
        let read = async {
            match context {
                Some(context) => {
                    read_body(context.receive(body, size_bytes, body_wait_ms), max_bytes).await
                }
                None => read_body(body, max_bytes).await,
            }
        };
        match tokio::time::timeout(body_wait, read).await {
            Ok(Ok(body)) => {
                held.try_resize(body.len());
                Ok(held.attach_to(body))
            }
            Ok(Err(ReadBodyError::TooLarge(_))) => Err(CallerError::TooLarge),
            Ok(Err(ReadBodyError::Transport(_))) => Err(CallerError::IncompleteBody),
            Err(_) => Err(CallerError::BodyTimeout),
        }
    }

    async fn serve_call(&self, inbound: &Inbound) -> Result<Response<ResponseBody>, CallerError> {
        let abandonment = AbandonmentLog { core: &self.core, inbound, is_disarmed: false };
        let outcome = short_call::serve(&self.core, inbound).await;
        abandonment.disarm();
        let status = outcome.as_ref().map_or_else(|err| err.status(), Response::status);
        let took_ms = self.core.clock.now_ms() - inbound.arrived_ms;
        metrics::histogram!("call_duration_ms").record(took_ms as f64);
        if !status.is_success() || took_ms > inbound.target_latency_ms {
            log::info!(
                "call: id={} route={} status={} outcome={} took_ms={took_ms}",
                inbound.id_text(),
                inbound.route,
                status.as_u16(),
                outcome.as_ref().map_or_else(|err| err.code(), |_| "answered"),
            );
        }
        outcome
    }

    async fn serve_stream(&self, inbound: Inbound) -> Result<Response<ResponseBody>, CallerError> {
        let inbound = Arc::new(inbound);
        let mut relay = StreamRelay::new(Arc::clone(&self.core), Arc::clone(&inbound));
        let start = tokio::select! {
            biased;
            start = relay.start() => start,
            () = self.core.wait_for_last_answers() => relay.give_up(),
        };
        let headers = match start? {
            StreamStart::Events(headers) => headers,
            StreamStart::Error(response) => return Ok(response.into_response()),
        };
        let events = stream::unfold(Some(relay), |relay| async move {
            let mut relay = relay?;
            match relay.next_bytes().await? {
                Ok(bytes) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Err(err) => Some((Err(err), None)),
            }
        });
        let events = AssertUnwindSafe(events).catch_unwind().map(move |event| {
            event.unwrap_or_else(|_| {
                log::error!("stream: id={} panicked", inbound.id_text());
                metrics::counter!("streams_panicked_total").increment(1);
                Err(AbortedBody::Aborted)
            })
        });
        let mut response = Response::new(StreamBody::new(events).boxed_unsync());
        *response.headers_mut() = headers;
        Ok(response)
    }

    /// Refuses a request that may not finish before the shutdown aborts it. The caller can retry at another daemon.
    /// Early in the shutdown, a stream that may be resumed is accepted if it will probably finish.
    ///
    /// # Errors
    ///
    /// `Busy` if the time until the abort is shorter than the request needs.
    fn check_shutdown(&self, inbound: &Inbound) -> Result<(), CallerError> {
        let Some(left_ms) = self.core.time_until_last_answers_ms() else { return Ok(()) };
        let deadline_ms = inbound.left_ms(self.core.clock.now_ms());
        let (needed_ms, retry_after_ms) = match inbound.kind {
            RouteKind::Idempotent | RouteKind::NonIdempotent => {
                (deadline_ms, self.core.call_retry_after_ms())
            }
            RouteKind::Streaming { is_resumable, .. }
                if !is_resumable || self.core.is_late_in_shutdown() =>
            {
                (deadline_ms, self.core.stream_retry_after_ms())
            }
            RouteKind::Streaming { .. } => {
                let usual_ms = self.core.timing(&inbound.service).generation_ms;
                let needed_ms = usual_ms.map(|ms| ms as u64 * SHUTDOWN_DURATION_FACTOR);
                let needed_ms = needed_ms.map_or(deadline_ms, |ms| ms.min(deadline_ms));
                (needed_ms, self.core.stream_retry_after_ms())
            }
        };
        if needed_ms <= left_ms {
            return Ok(());
        }
        log::info!(
            "request: id={} refused, reason=shutdown left_ms={left_ms} needed_ms={needed_ms}",
            inbound.id_text()
        );
        Err(CallerError::Busy(retry_after_ms))
    }

    /// Client account of the request's key; `None` if the configuration has no accounts, or if the key is missing or
    /// unknown on a route that accepts such requests.
    ///
    /// # Errors
    ///
    /// `UnknownKey` if the key is missing or unknown on any other route.
    fn account<'a>(
        &self,
        config: &'a Config,
        route: &Route,
        headers: &HeaderMap,
    ) -> Result<Option<&'a ClientAccount>, CallerError> {
        let Some(accounts) = &config.accounts else { return Ok(None) };
        let key = headers.get(&self.core.dialect.key).and_then(|value| value.to_str().ok());
        match key.and_then(|key| accounts.get(key)) {
            Some(account) => Ok(Some(account)),
            None if route.allows_anonymous => Ok(None),
            None => Err(CallerError::UnknownKey),
        }
    }
}

/// Size of the request line and the headers on the wire, without optional white space. The limit is checked here
/// because the HTTP server, which counts whole reads, enforces it only roughly.
fn headers_size_bytes(request: &Request<Incoming>) -> usize {
    let uri = request.uri();
    let line = request.method().as_str().len()
        + uri.path_and_query().map_or(0, |target| target.as_str().len())
        + " HTTP/1.1\r\n ".len();
    let fields = request.headers().iter();
    line + fields
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len())
        .sum::<usize>()
}

/// Guard that logs a call when it is dropped without `disarm`: the caller has disconnected before the call had an
/// outcome.
struct AbandonmentLog<'a> {
    core: &'a Core,
    inbound: &'a Inbound,
    is_disarmed: bool,
}

impl AbandonmentLog<'_> {
    /// Suppresses the log line, because the call has an outcome.
    fn disarm(mut self) {
        self.is_disarmed = true;
    }
}

impl Drop for AbandonmentLog<'_> {
    fn drop(&mut self) {
        if self.is_disarmed {
            return;
        }
        log::info!(
            "call: id={} route={} outcome=caller_gone took_ms={}",
            self.inbound.id_text(),
            self.inbound.route,
            self.core.clock.now_ms() - self.inbound.arrived_ms,
        );
        metrics::counter!("calls_abandoned_total").increment(1);
    }
}

/// Finds the route of a request by the host of its URI, or else of its `Host` header, and by its path.
fn route_of<'a>(config: &'a Config, request: &Request<Incoming>) -> Result<&'a Route, CallerError> {
    let host_header = request.headers().get(HOST).and_then(|value| value.to_str().ok());
    let host = request.uri().host().or(host_header).ok_or(CallerError::NoRoute)?;
    config.routes.find(host, request.uri().path()).ok_or(CallerError::NoRoute)
}

impl Handler for Gateway {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let id = request.headers().get(&self.core.dialect.request_id).cloned();
        let mut has_body_read = request.body().is_end_stream();
        let serving = AssertUnwindSafe(self.serve(request, &mut has_body_read)).catch_unwind();
        let mut response = match serving.await.unwrap_or(Err(CallerError::Panicked)) {
            Ok(response) => response,
            Err(err) => {
                let id_text = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-");
                let version = self.core.config().map_or(0, |config| config.version);
                log::info!(
                    "request: id={id_text} status={} outcome={} config={version}",
                    err.status().as_u16(),
                    err.code()
                );
                metrics::counter!("requests_failed_total", "outcome" => err.code()).increment(1);
                err.response(&self.core.dialect, id.as_ref())
            }
        };
        // The server closes a connection with an unread body. Without the header, the caller would send its next request
        // on that connection.
        if self.core.is_stopping() || !has_body_read {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// Answers the readiness probe of the platform's load balancer: 200 if the daemon accepts new connections, else 503.
#[derive(Debug)]
pub struct ReadyProbe {
    core: Arc<Core>,
}

impl ReadyProbe {
    /// Creates a handler that uses the daemon's shared state.
    pub fn new(core: Arc<Core>) -> Self {
        Self { core }
    }
}

impl Handler for ReadyProbe {
    async fn handle(self: Arc<Self>, _request: Request<Incoming>) -> Response<ResponseBody> {
        let mut response = Response::new(web::empty());
        if !self.core.is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }
}
