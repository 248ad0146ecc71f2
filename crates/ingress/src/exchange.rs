//! HTTP exchange of a request with an instance.

use crate::{
    attempt_error::AttemptError,
    core::Core,
    inbound::Inbound,
    instance::Instance,
    instance_connection::InstanceConnection,
    instance_guards::InFlightGuard,
    observation::Observation,
    probe::connect_verified,
    response_head::{ResponseClass, classify_response, keep_alive_s, named_limit_per_s},
    room_wait::RoomWait,
};
use affinity::StreamVersion;
use bytes::Bytes;
use futures::FutureExt;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Request, StatusCode,
    body::Incoming,
    header::{CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING},
};
use recovery::LossCause;
use std::{
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};
use web::{ClientError, Connection, HeldBytes, read_body};

/// Longest wait for a connection inside the site. It is a few hundred times the network latency, so that a busy
/// instance does not count as dead.
const CONNECT_TIMEOUT_MS: u64 = 250;

/// Largest body of a refusal that is read so that its connection can be reused. A refusal is a response that states
/// that the request has not run.
const MAX_REFUSAL_BYTES: usize = 4 * 1024;

/// Largest part of a response that is kept without being counted. Most calls and events are smaller.
const UNCOUNTED_BYTES: usize = 4 * 1024;

/// Longest wait for the body of a refusal.
const REFUSAL_TIMEOUT_MS: u64 = 50;

/// HTTP exchange whose response head has arrived. Dropping the exchange closes its connection, which cancels the
/// request at the instance.
#[derive(Debug)]
pub(crate) struct Exchange {
    /// Counts the request as in flight at the instance.
    pub guard: InFlightGuard,
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Incoming,
    connection: InstanceConnection,
    /// Part of the body that is kept.
    held: HeldBytes,
    /// Wait for room for the part that is kept; `None` while there is room.
    room: Option<RoomWait>,
    /// Observation of the request for rollouts; `None` if they are not in force.
    observation: Option<Observation>,
}

impl Exchange {
    /// Sends `inbound` to `instance` with the additional headers `extra_headers` and waits for the response head.
    ///
    /// `stream_version` is the software version at which a stream may go on; `None` for a call. A stream is sent only
    /// to the process of the registry entry, because another one under the same identifier may have another version.
    ///
    /// # Errors
    ///
    /// `NotAccepting`, `NotSent`, `OtherVersion`, `Refused` and `Misdirected` if the request has not run, `Lost` if it
    /// may have run.
    pub async fn open(
        core: &Core,
        inbound: &Inbound,
        instance: Arc<Instance>,
        extra_headers: &[(HeaderName, HeaderValue)],
        stream_version: Option<&StreamVersion>,
    ) -> Result<Self, AttemptError> {
        // Every request passes here, whatever was known when its instance was chosen.
        if !core.may_send(&instance) {
            return Err(AttemptError::NotAccepting);
        }
        let version = &instance.entry.software_version;
        if stream_version.is_some_and(|stream_version| !stream_version.allows(version)) {
            return Err(AttemptError::OtherVersion(version.clone()));
        }
        let required = stream_version.and_then(StreamVersion::required);
        if !core.rollouts.permits(inbound, &instance, required) {
            return Err(AttemptError::NotAccepting);
        }
        let is_stream = stream_version.is_some();
        let is_resumed = required.is_some();
        let observation = core.rollouts.observe(inbound, &instance, is_stream, is_resumed);
        let guard = InFlightGuard::new(Arc::clone(&instance));
        let now_ms = core.clock.now_ms();
        let pooled = match is_stream {
            true => instance.connections.take_verified(now_ms),
            false => instance.connections.take(now_ms),
        };
        let is_pooled = pooled.is_some();
        let mut connection = match pooled {
            Some(connection) => connection,
            None => open_connection(core, &instance, is_stream).await?,
        };
        let first = request(core, inbound, &instance, extra_headers);
        let mut sent = connection.connection.send(first).await;
        // A pooled connection may have been closed by the instance meanwhile.
        if is_pooled && matches!(sent, Err(ClientError::Unsent(_))) {
            connection = open_connection(core, &instance, is_stream).await?;
            let second = request(core, inbound, &instance, extra_headers);
            sent = connection.connection.send(second).await;
        }
        let response = match sent {
            Ok(response) => response,
            Err(ClientError::Unsent(cause)) => {
                return Err(AttemptError::NotSent(ClientError::Unsent(cause)));
            }
            Err(err) => {
                log::debug!("attempt: {} at {}: {err}", inbound.id_text(), instance.entry.id);
                return Err(AttemptError::Lost(loss_cause(&err)));
            }
        };
        let (head, body) = response.into_parts();
        connection.connection.limit_framing();
        let is_reused = connection.is_reused;
        let held = core.kept_bytes.hold_none();
        let (status, headers) = (head.status, head.headers);
        let room = None;
        let exchange = Self { guard, status, headers, body, connection, held, room, observation };
        let (status, headers) = (exchange.status, &exchange.headers);
        let class = classify_response(status, headers, &inbound.id, is_reused, &core.dialect);
        if matches!(class, ResponseClass::Valid | ResponseClass::NotRun) {
            core.record_limit(&instance, named_limit_per_s(headers, &core.dialect));
            core.record_statements(&instance, status, headers);
        }
        match class {
            ResponseClass::Valid => {
                exchange.observe_head();
                Ok(exchange)
            }
            ResponseClass::Misdirected => {
                let actual = exchange.headers.get(&core.dialect.instance);
                if actual.is_some_and(|id| id.as_bytes() != instance.entry.id.as_bytes()) {
                    instance.retire();
                }
                Err(AttemptError::Misdirected)
            }
            ResponseClass::NotRun => {
                let status = exchange.status.as_u16();
                exchange.close_refused(core).await;
                Err(AttemptError::Refused(status))
            }
            ResponseClass::Invalid => Err(AttemptError::Lost(LossCause::Malformed)),
        }
    }

    /// Ends an exchange whose body was read to its end, and keeps its connection for reuse. Returns the holder of the
    /// part of the body that is kept.
    pub fn close(self, core: &Core) -> HeldBytes {
        let is_refusal = self.status == StatusCode::SERVICE_UNAVAILABLE;
        if let Some(observation) = self.observation.as_ref().filter(|_| !is_refusal) {
            observation.answer(false);
        }
        return_connection(core, &self.guard, self.connection, &self.headers);
        self.held
    }

    /// Counts a buffer with `bytes` of the body, which takes `capacity_bytes`, as kept, in place of an earlier one.
    /// Returns `false` if there is no room for it.
    pub fn keep(&mut self, bytes: usize, capacity_bytes: usize) -> bool {
        self.held.try_resize(if bytes > UNCOUNTED_BYTES { capacity_bytes } else { 0 })
    }

    /// Like `keep`, but waits for room if there is none. `poll_room` tells when there is.
    pub fn keep_or_wait(&mut self, bytes: usize, capacity_bytes: usize) {
        if !self.keep(bytes, capacity_bytes) {
            metrics::counter!("events_delayed_total").increment(1);
            self.room = Some(RoomWait::start(Arc::clone(self.held.account()), capacity_bytes));
        }
    }

    /// Whether the exchange waits for room for what it has read.
    pub fn waits_for_room(&self) -> bool {
        self.room.is_some()
    }

    /// Is ready with `true` if there is room for the part of the body that is kept, and with `false` if there was none in
    /// time.
    pub fn poll_room(&mut self, cx: &mut Context<'_>) -> Poll<bool> {
        let Some(room) = &mut self.room else { return Poll::Ready(true) };
        let held = ready!(room.poll(cx));
        self.room = None;
        let has_room = held.is_some();
        self.held = held.unwrap_or_else(|| self.held.account().hold_none());
        Poll::Ready(has_room)
    }

    /// Ends an exchange whose response is a refusal. The connection is kept for reuse if the body can be read within
    /// the limits, and closed otherwise.
    async fn close_refused(mut self, core: &Core) {
        // A refusal comes sooner than an answer, and tells nothing of the version.
        self.observation = None;
        let timeout = Duration::from_millis(REFUSAL_TIMEOUT_MS);
        let body = read_body(&mut self.body, MAX_REFUSAL_BYTES);
        if matches!(tokio::time::timeout(timeout, body).await, Ok(Ok(_))) {
            drop(self.close(core));
        }
    }

    /// Takes note of the status. An answer with 503 is a refusal and tells nothing of the version.
    fn observe_head(&self) {
        let has_failed =
            self.status.is_server_error() && self.status != StatusCode::SERVICE_UNAVAILABLE;
        if let Some(observation) = self.observation.as_ref().filter(|_| has_failed) {
            observation.answer(true);
        }
    }

    /// Takes note of an event of the stream.
    pub fn observe_event(&self) {
        if let Some(observation) = &self.observation {
            observation.event();
        }
    }

    /// Whether the body has neither a length nor chunks, so that it ends with the connection.
    pub fn ends_with_connection(&self) -> bool {
        !self.headers.contains_key(CONTENT_LENGTH) && !self.headers.contains_key(TRANSFER_ENCODING)
    }

    /// Polls for the next chunk of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// `Lost` if the connection fails before the end of the body.
    pub fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, AttemptError>>> {
        let frame = ready!(self.body.frame().poll_unpin(cx));
        self.connection.connection.limit_framing();
        Poll::Ready(frame.map(|frame| match frame {
            Ok(frame) => Ok(frame.into_data().unwrap_or_default()),
            Err(_) => Err(AttemptError::Lost(LossCause::Closed)),
        }))
    }
}

/// Opens a new connection to an instance for a request. With `is_stream`, the process of the registry entry has
/// accepted it.
///
/// # Errors
///
/// `NotSent` or `NotAccepting` if there is no such connection.
async fn open_connection(
    core: &Core,
    instance: &Arc<Instance>,
    is_stream: bool,
) -> Result<InstanceConnection, AttemptError> {
    match is_stream {
        true => connect_verified(core, instance).await,
        false => connect(instance).await.map(Into::into).map_err(AttemptError::NotSent),
    }
}

/// Opens a new connection to an instance.
///
/// # Errors
///
/// The connection could not be opened within the timeout.
pub(crate) async fn connect(instance: &Instance) -> Result<Connection, ClientError> {
    metrics::counter!("upstream_connections_opened_total").increment(1);
    Connection::open(instance.entry.addr, CONNECT_TIMEOUT_MS).await
}

/// Returns a connection to the instance's pool. `headers` are those of the last response, which was read to its end.
pub(crate) fn return_connection(
    core: &Core,
    instance: &Instance,
    connection: InstanceConnection,
    headers: &HeaderMap,
) {
    instance.connections.put(connection, keep_alive_s(headers), core.clock.now_ms());
}

/// Creates the request to `instance`: that of the caller with the time left, the expected instance and `extra_headers`.
fn request(
    core: &Core,
    inbound: &Inbound,
    instance: &Instance,
    extra_headers: &[(HeaderName, HeaderValue)],
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(inbound.body.clone()));
    *request.method_mut() = inbound.method.clone();
    *request.uri_mut() = inbound.target.clone();
    let headers = request.headers_mut();
    *headers = inbound.headers.clone();
    let left_ms = inbound.left_ms(core.clock.now_ms());
    headers.insert(core.dialect.time_left_ms.clone(), HeaderValue::from(left_ms));
    if let Ok(id) = HeaderValue::from_str(&instance.entry.id) {
        headers.insert(core.dialect.expected_instance.clone(), id);
    }
    for (name, value) in extra_headers {
        headers.insert(name.clone(), value.clone());
    }
    request
}

fn loss_cause(err: &ClientError) -> LossCause {
    match err {
        ClientError::Transport(cause) if cause.is_parse() => LossCause::Malformed,
        ClientError::Timeout(_) => LossCause::Silent,
        _ => LossCause::Reset,
    }
}
