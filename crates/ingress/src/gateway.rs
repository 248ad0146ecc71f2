//! Serves callers.

use crate::{
    caller_error::CallerError,
    config::{ClientAccount, Config},
    core::Core,
    inbound::{Inbound, InboundHead},
    route_kind::RouteKind,
    route_table::Route,
    short_call,
    stream_relay::{Begun, StreamRelay},
};
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    HeaderMap, Request, Response,
    body::{Frame, Incoming},
    header::{CONNECTION, HOST, HeaderValue},
};
use std::{sync::Arc, time::Duration};
use web::{Handler, ReadBodyError, ResponseBody, StatusCode, read_body};

/// Longest wait for the body of a request.
const BODY_WAIT_MS: u64 = 10_000;

/// Multiple of the usual duration of a stream that is left for it during a shutdown. A stream that is moved to another
/// engine takes longer than usual.
const SHUTDOWN_FACTOR: u64 = 2;

/// Serves callers: routes a request, and hands it to the part that carries its kind.
#[derive(Debug)]
pub struct Gateway {
    core: Arc<Core>,
}

impl Gateway {
    /// Gateway on the state of a daemon.
    pub fn new(core: Arc<Core>) -> Self {
        Self { core }
    }

    async fn serve(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, CallerError> {
        let arrived_ms = self.core.clock.now_ms();
        let config = self.core.config().ok_or(CallerError::NoConfig)?;
        if headers_size_bytes(&request) > config.limits.max_headers_bytes {
            return Err(CallerError::HeadersTooLarge);
        }
        let route = route_of(&config, &request)?;
        let tenant = self.tenant(&config, route, request.headers())?;
        let service = self.core.pick_service(route).ok_or(CallerError::NoRoute)?;
        let head = InboundHead { dialect: &self.core.dialect, route, service, tenant, arrived_ms };
        let (parts, body) = request.into_parts();
        let body = tokio::time::timeout(
            Duration::from_millis(BODY_WAIT_MS.min(route.timeout_ms)),
            read_body(body, config.limits.max_body_bytes),
        );
        let body = match body.await {
            Ok(Ok(body)) => body,
            Ok(Err(ReadBodyError::TooLarge(_))) => return Err(CallerError::TooLarge),
            Ok(Err(ReadBodyError::Transport(_))) => return Err(CallerError::Body),
            Err(_) => return Err(CallerError::BodyTimeout),
        };
        let inbound = head.with_body(parts.method, parts.uri, &parts.headers, body)?;
        self.check_shutdown(&inbound)?;
        match inbound.kind {
            RouteKind::Idempotent | RouteKind::NonIdempotent => self.serve_call(&inbound).await,
            RouteKind::Streaming { .. } => self.serve_stream(inbound).await,
        }
    }

    async fn serve_call(&self, inbound: &Inbound) -> Result<Response<ResponseBody>, CallerError> {
        let watch = CallWatch { core: &self.core, inbound, has_outcome: false };
        let outcome = short_call::serve(&self.core, inbound).await;
        watch.close();
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
        let mut relay = StreamRelay::new(Arc::clone(&self.core), Arc::new(inbound));
        let headers = match relay.begin().await? {
            Begun::Stream(headers) => headers,
            Begun::Failure(answer) => return Ok(answer.into_response()),
        };
        let events = stream::unfold(Some(relay), |relay| async move {
            let mut relay = relay?;
            match relay.next_bytes().await? {
                Ok(bytes) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Err(err) => Some((Err(err), None)),
            }
        });
        let mut response = Response::new(StreamBody::new(events).boxed_unsync());
        *response.headers_mut() = headers;
        Ok(response)
    }

    /// Refuses a request that the shutdown would probably cut off. Its caller can go to another daemon.
    fn check_shutdown(&self, inbound: &Inbound) -> Result<(), CallerError> {
        let Some(left_ms) = self.core.until_cut_ms() else { return Ok(()) };
        let deadline_ms = inbound.left_ms(self.core.clock.now_ms());
        let (needed_ms, retry_after_ms) = match inbound.kind {
            RouteKind::Idempotent | RouteKind::NonIdempotent => {
                (deadline_ms, self.core.call_retry_after_ms())
            }
            RouteKind::Streaming { .. } => {
                let usual_ms = self.core.timing(&inbound.service).generation_ms;
                let needed_ms = usual_ms.map(|ms| ms as u64 * SHUTDOWN_FACTOR);
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

    fn tenant<'a>(
        &self,
        config: &'a Config,
        route: &Route,
        headers: &HeaderMap,
    ) -> Result<Option<&'a ClientAccount>, CallerError> {
        let Some(tenants) = &config.accounts else { return Ok(None) };
        let key = headers.get(&self.core.dialect.key).and_then(|value| value.to_str().ok());
        match key.and_then(|key| tenants.get(key)) {
            Some(tenant) => Ok(Some(tenant)),
            None if route.allows_anonymous => Ok(None),
            None => Err(CallerError::UnknownKey),
        }
    }
}

/// Size of the request line and the headers on the wire, without optional white space. The server's own bound is
/// coarse, because it counts whole reads.
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

/// Logs a call whose caller has left, which drops it before it has an outcome.
struct CallWatch<'a> {
    core: &'a Core,
    inbound: &'a Inbound,
    has_outcome: bool,
}

impl CallWatch<'_> {
    /// The call has an outcome.
    fn close(mut self) {
        self.has_outcome = true;
    }
}

impl Drop for CallWatch<'_> {
    fn drop(&mut self) {
        if self.has_outcome {
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

fn route_of<'a>(config: &'a Config, request: &Request<Incoming>) -> Result<&'a Route, CallerError> {
    let stated = request.headers().get(HOST).and_then(|value| value.to_str().ok());
    let host = request.uri().host().or(stated).ok_or(CallerError::NoRoute)?;
    config.routes.find(host, request.uri().path()).ok_or(CallerError::NoRoute)
}

impl Handler for Gateway {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let id = request.headers().get(&self.core.dialect.request_id).cloned();
        let mut response = match self.serve(request).await {
            Ok(response) => response,
            Err(err) => {
                let shown = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-");
                let version = self.core.config().map_or(0, |config| config.version);
                log::info!(
                    "request: id={shown} status={} outcome={} config={version}",
                    err.status().as_u16(),
                    err.code()
                );
                metrics::counter!("requests_failed_total", "outcome" => err.code()).increment(1);
                err.response(&self.core.dialect, id.as_ref())
            }
        };
        if self.core.is_stopping() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// Tells the platform's balancer whether new connections should come here.
#[derive(Debug)]
pub struct ReadyProbe {
    core: Arc<Core>,
}

impl ReadyProbe {
    /// Probe on the state of a daemon.
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
