//! Request of a caller, after routing and authentication.

use crate::{
    caller_error::CallerError, config::ClientAccount, dialect::Dialect, route_kind::RouteKind,
    route_table::Route,
};
use base::{AccountName, ServiceName};
use bytes::Bytes;
use hyper::{
    HeaderMap, Method, Uri,
    header::{CONTENT_LENGTH, EXPECT, HOST, HeaderName, HeaderValue},
};
use limit::RequestPriority;
use quarantine::PartId;
use rollout::Pass;
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::{Mutex, OnceLock},
};
use web::end_to_end_headers;

/// Largest number of a prompt's parts that are considered, as many as a header of 16,384 bytes can name.
const MAX_SHARED_PARTS: usize = 4_096;

/// Part of the route's timeout from which on a caller that states less time has sent the request before. The shortest
/// `Retry-After` is longer.
const REPEATED_MS: u64 = 100;

/// Request of a caller, with the properties of its route that decide how it is served.
#[derive(Debug)]
pub(crate) struct Inbound {
    /// Identifier of the caller's attempt.
    pub id: HeaderValue,
    pub method: Method,
    /// Path and query that are forwarded.
    pub target: Uri,
    /// Headers that are forwarded to every upstream.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Client account of the caller; `None` if the route needs none.
    pub account: Option<AccountName>,
    pub service: ServiceName,
    /// Name of the route, for logs.
    pub route: Box<str>,
    pub kind: RouteKind,
    /// Priority by the client account and the route.
    pub priority: RequestPriority,
    pub max_attempts: u32,
    pub target_latency_ms: u64,
    /// Tokens of the prompt; `None` if the caller does not state them.
    pub prompt_tokens: Option<u64>,
    /// Tokens of the answer as far as they are known: the caller's estimate, or else the largest number that it asks for.
    pub output_tokens: u64,
    /// Whether the caller has probably sent the request before: it has used up a part of the route's timeout.
    pub is_repeated: bool,
    /// Time of arrival on the daemon's clock.
    pub arrived_ms: u64,
    /// Deadline of the caller or of the route, whichever is earlier, on the daemon's clock.
    pub deadline_ms: u64,
    /// Identifiers of the prompt's parts that other requests may share, which are all but the last one, in order.
    pub shared_parts: Vec<PartId>,
    /// Parts of the prompt as the caller stated them; `None` for a request without a prompt.
    prompt: Option<HeaderValue>,
    /// Identifier of the last event that the caller has received, after which the stream resumes; `None` for a new
    /// request.
    pub last_event_id: Option<u64>,
    /// Identifier of the caller's attempt that brought the first event of the stream; `None` if the caller names none.
    pub resumes: Option<Box<str>>,
    /// Decision on the request during a rollout.
    pub rollout: Mutex<Pass>,
    /// See `fingerprint`.
    fingerprint: OnceLock<PartId>,
}

impl Inbound {
    /// Identifier of what is requested: the method, the target, the client account, the prompt and the body. It is the
    /// same for each attempt of a caller and at each daemon, because the hasher has fixed keys.
    pub fn fingerprint(&self) -> PartId {
        *self.fingerprint.get_or_init(|| {
            let mut hasher = DefaultHasher::new();
            self.method.hash(&mut hasher);
            self.target.hash(&mut hasher);
            self.headers.get(HOST).map(HeaderValue::as_bytes).hash(&mut hasher);
            self.account.hash(&mut hasher);
            self.prompt.as_ref().map(HeaderValue::as_bytes).hash(&mut hasher);
            self.body.hash(&mut hasher);
            hasher.finish().into()
        })
    }

    /// Like `fingerprint`, with the model and the numbers of tokens. Only a request with the same value may resume from
    /// the KV cache of a run.
    pub fn run_fingerprint(&self, dialect: &Dialect) -> Box<str> {
        let mut hasher = DefaultHasher::new();
        self.fingerprint().hash(&mut hasher);
        for name in [&dialect.model, &dialect.token_counts] {
            self.headers.get(name).map(HeaderValue::as_bytes).hash(&mut hasher);
        }
        format!("{:016x}", hasher.finish()).into()
    }

    /// Identifier of the caller's attempt as text for logs and engines; `?` if `id` is not visible ASCII.
    pub fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("?")
    }

    /// Time on the daemon's clock at which the first event of a stream is late; the deadline if the route has no target.
    pub fn first_event_target_ms(&self) -> u64 {
        match self.target_latency_ms {
            0 => self.deadline_ms,
            target_ms => self.arrived_ms.saturating_add(target_ms).min(self.deadline_ms),
        }
    }

    /// Time from `now_ms` to the deadline; 0 after it.
    pub fn left_ms(&self, now_ms: u64) -> u64 {
        self.deadline_ms.saturating_sub(now_ms)
    }
}

/// Head of a request after routing, before its body is read.
#[derive(Debug)]
pub(crate) struct InboundHead<'a> {
    pub dialect: &'a Dialect,
    pub route: &'a Route,
    pub service: &'a ServiceName,
    pub account: Option<&'a ClientAccount>,
    pub arrived_ms: u64,
}

impl InboundHead<'_> {
    /// Time from the arrival of the request to its deadline; that of the route if the caller states none.
    ///
    /// # Errors
    ///
    /// `Header` if the time that the caller states is malformed.
    pub fn time_left_ms(&self, headers: &HeaderMap) -> Result<u64, CallerError> {
        let caller_ms = number(headers, &self.dialect.time_left_ms, "time left")?;
        Ok(caller_ms.unwrap_or(u64::MAX).min(self.route.timeout_ms))
    }

    /// Combines the head with the body.
    ///
    /// # Errors
    ///
    /// `Header` if a header that decides how the request is served is missing or malformed.
    pub fn with_body(
        &self,
        method: Method,
        target: Uri,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<Inbound, CallerError> {
        let dialect = self.dialect;
        let id = headers.get(&dialect.request_id).ok_or(CallerError::Header("request id"))?;
        let left_ms = self.time_left_ms(headers)?;
        let counts = headers.get(&dialect.token_counts).and_then(|value| value.to_str().ok());
        let counts = counts.and_then(dialect.decode_token_counts);
        let hint = headers.get(&dialect.length_hint).and_then(|value| value.to_str().ok());
        let hint = hint.and_then(|value| value.trim().parse().ok());
        let output_tokens =
            counts.map_or(0, |(_, most)| hint.map_or(most, |hint: u64| hint.min(most)));
        Ok(Inbound {
            id: id.clone(),
            method,
            target,
            headers: self.forwarded_headers(headers),
            body,
            account: self.account.map(|account| account.name.clone()),
            service: self.service.clone(),
            route: self.route.name.clone(),
            kind: self.route.kind,
            priority: self.priority(),
            max_attempts: self.route.max_attempts.max(1),
            target_latency_ms: self.route.target_latency_ms,
            prompt_tokens: counts.map(|(prompt, _)| prompt),
            output_tokens,
            is_repeated: left_ms + REPEATED_MS < self.route.timeout_ms,
            arrived_ms: self.arrived_ms,
            deadline_ms: self.arrived_ms.saturating_add(left_ms),
            shared_parts: self.shared_parts(headers),
            prompt: headers.get(&dialect.prompt_parts).cloned(),
            last_event_id: number(headers, &dialect.last_event_id, "last event")?,
            resumes: headers
                .get(&dialect.resumed_request_id)
                .and_then(|value| value.to_str().ok())
                .map(Into::into),
            rollout: Mutex::default(),
            fingerprint: OnceLock::new(),
        })
    }

    fn priority(&self) -> RequestPriority {
        let of_account = self.account.and_then(|account| account.priority);
        RequestPriority::new(of_account, self.route.priority)
    }

    /// Identifiers of the prompt's parts but the last one, which belongs to this request or its session alone.
    fn shared_parts(&self, headers: &HeaderMap) -> Vec<PartId> {
        let value = headers.get(&self.dialect.prompt_parts).and_then(|value| value.to_str().ok());
        let mut parts = value.map(self.dialect.decode_prompt_parts).unwrap_or_default();
        parts.pop();
        parts.iter().take(MAX_SHARED_PARTS).map(|part| PartId::from(&**part)).collect()
    }

    /// Headers of the caller without those that this system sets itself, plus one with the name of the client account.
    fn forwarded_headers(&self, headers: &HeaderMap) -> HeaderMap {
        let dialect = self.dialect;
        let own = [
            &dialect.account,
            &dialect.replica_from,
            &dialect.replica_to,
            &dialect.expected_instance,
            &dialect.expected_weights_version,
            &dialect.hold,
            &dialect.key,
            &dialect.last_event_id,
            &dialect.time_left_ms,
            &dialect.urgency,
        ];
        let mut forwarded = end_to_end_headers(headers);
        // The request to the upstream gets framing headers of its own.
        for name in [&CONTENT_LENGTH, &EXPECT].into_iter().chain(own).chain(&dialect.reserved) {
            forwarded.remove(name);
        }
        if let Some(account) = self.account
            && let Ok(value) = HeaderValue::from_str(account.name.as_str())
        {
            forwarded.insert(dialect.account.clone(), value);
        }
        forwarded
    }
}

/// Value of a numeric header; `None` if it is absent. `what` names the header in the error.
fn number(
    headers: &HeaderMap,
    name: &HeaderName,
    what: &'static str,
) -> Result<Option<u64>, CallerError> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| CallerError::Header(what))?;
    text.trim().parse().map(Some).map_err(|_| CallerError::Header(what))
}
