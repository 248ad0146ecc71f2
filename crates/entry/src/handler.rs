//! Routing of callers' requests: generations, calls to plain services, and the routes for models, health and metrics.

use crate::{
    api_error::ApiError,
    authenticate::authenticate,
    call_request::{CallRequest, idempotency_key, request_id},
    job::Job,
    job_request::{chat_job, completion_job},
    keyed_call::{KeyedCall, RunError},
    models::models,
    output::Output,
    queue_permit::QueuePermit,
    relay::{Relay, RelayError},
    render,
    request_meter::RequestMeter,
    service,
    shared::Shared,
    stream,
};
use bytes::Bytes;
use call::RequestDigest;
use http_body_util::BodyExt;
use hyper::{
    Request, Response,
    body::{Body, Incoming},
    header::{CONNECTION, CONTENT_TYPE, HeaderValue},
};
use limit::Class;
use recovery::{CursorError, Journal};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use web::{Handler, Method, ReadBodyError, RequestContext, ResponseBody, StatusCode};

/// Header in which a caller that reconnects to a streamed answer sends the identifier of the last event it received.
const LAST_EVENT_ID: &str = "last-event-id";

/// Longest time for which a generation is expected to run. A retry with the same idempotency key does not wait for an
/// open claim that is older.
const GENERATION_RUN_MS: u64 = 600_000;

/// Longest wait for the whole body of a request.
const BODY_WAIT_MS: u64 = 30_000;

/// Request handler of the HTTP server for callers.
#[derive(Debug)]
pub(crate) struct CallerHandler {
    pub shared: Arc<Shared>,
}

impl Handler for CallerHandler {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let mut has_body_read = request.body().is_end_stream();
        let routed = self.route(request, &mut has_body_read).await;
        let mut response = routed.unwrap_or_else(|error| {
            metrics::counter!("caller_errors_total", "code" => error.code()).increment(1);
            error.response()
        });
        // The header makes callers with open connections move to other entries before the listener closes. The server
        // also closes a connection with an unread body.
        if self.shared.is_draining.load(Ordering::Relaxed) || !has_body_read {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

impl CallerHandler {
    /// Serves a request. Sets `has_body_read` once its body was read to the end.
    async fn route(
        &self,
        request: Request<Incoming>,
        has_body_read: &mut bool,
    ) -> Result<Response<ResponseBody>, ApiError> {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        match path.as_str() {
            "/healthz" => Ok(Response::new(web::full("ok\n"))),
            "/readyz" => Ok(self.readiness()),
            "/metrics" => Ok(self.metrics()),
            "/v1/models" => {
                require_method(&method, &Method::GET, "GET")?;
                let config = self.shared.config();
                authenticate(request.headers(), &config)?;
                Ok(models(&config))
            }
            "/v1/completions" | "/v1/chat/completions" => {
                require_method(&method, &Method::POST, "POST")?;
                self.generate(&path, request, has_body_read).await
            }
            _ => match path.strip_prefix("/services/") {
                Some(rest) => self.call_service(method, rest, request, has_body_read).await,
                None => Err(ApiError::UnknownRoute),
            },
        }
    }

    async fn generate(
        &self,
        path: &str,
        request: Request<Incoming>,
        has_body_read: &mut bool,
    ) -> Result<Response<ResponseBody>, ApiError> {
        let config = self.shared.config();
        let account = authenticate(request.headers(), &config)?;
        let last_event_id = request.headers().get(LAST_EVENT_ID).cloned();
        let key = idempotency_key(request.headers())?;
        let body = self.read_body(request).await?;
        *has_body_read = true;
        let digest = RequestDigest::of(&[path.as_bytes(), &body]);
        let job = if path == "/v1/completions" {
            completion_job(&body, account, &config, &self.shared)?
        } else {
            chat_job(&body, account, &config, &self.shared)?
        };
        if job.is_stream
            && let Some(id) = last_event_id
        {
            let id = id.to_str().map_err(|_| ApiError::InvalidCursor(CursorError::Format))?;
            return stream::resume(&self.shared, &job, id).await;
        }
        let admission = &self.shared.admission;
        let permit =
            admission.admit(account, &job.service, job.class, job.request.max_tokens).await?;
        metrics::counter!("generations_total").increment(1);
        match (job.is_stream, key) {
            (true, _) => Ok(stream::begin(&self.shared, job, permit)),
            (false, None) => self.generate_whole(job, permit).await,
            (false, Some(key)) => {
                let account = job.account.clone();
                let call = KeyedCall { account, key, digest, max_run_ms: GENERATION_RUN_MS };
                self.generate_whole_once(job, call, permit).await
            }
        }
    }

    /// Generates an answer that is not streamed, at most once for its idempotency key. The generation continues if the
    /// caller disconnects, so that the answer is stored for a retry.
    async fn generate_whole_once(
        &self,
        job: Job,
        call: KeyedCall,
        permit: QueuePermit,
    ) -> Result<Response<ResponseBody>, ApiError> {
        let handler = Self { shared: Arc::clone(&self.shared) };
        let task = self.shared.calls.spawn(async move {
            let generate = || async {
                let response =
                    handler.generate_whole(job, permit).await.map_err(RunError::Unknown)?;
                let (parts, body) = response.into_parts();
                let body =
                    body.collect().await.map_err(|_| RunError::Unknown(ApiError::Internal))?;
                Ok(Response::from_parts(parts, body.to_bytes()))
            };
            call.run(&handler.shared, generate).await
        });
        task.await.map_err(|_| ApiError::UnknownOutcome)?
    }

    async fn generate_whole(
        &self,
        job: Job,
        permit: QueuePermit,
    ) -> Result<Response<ResponseBody>, ApiError> {
        let relay =
            Relay::new(Arc::clone(&self.shared), job.clone(), Journal::default(), Output::Whole);
        let outcome = relay.run().await;
        drop(permit);
        match outcome {
            Ok(answer) => {
                Ok(render::whole_response(&job, answer.journal.text(), answer.reason, answer.usage))
            }
            Err(RelayError::Failed(cause)) => Err(ApiError::from(cause)),
            // Only a streamed answer has a release gate that reports this.
            Err(RelayError::CallerDisconnected) => Err(ApiError::Internal),
        }
    }

    async fn call_service(
        &self,
        method: Method,
        rest: &str,
        request: Request<Incoming>,
        has_body_read: &mut bool,
    ) -> Result<Response<ResponseBody>, ApiError> {
        let config = self.shared.config();
        let account = authenticate(request.headers(), &config)?;
        let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
        let path = match request.uri().query() {
            Some(query) => format!("/{path}?{query}"),
            None => format!("/{path}"),
        };
        let (service, rules) = service::plain_service(&self.shared, name)?;
        let key = idempotency_key(request.headers())?;
        let request_id = request_id(request.headers())?;
        let headers = request.headers().clone();
        let body = self.read_body(request).await?;
        *has_body_read = true;
        let permit = self.shared.admission.admit(account, &service, Class::Short, 0).await?;
        let account = account.name.clone();
        let request =
            CallRequest { account, service, method, path, headers, body, request_id, key };
        let shared = Arc::clone(&self.shared);
        let mut meter = RequestMeter::new(&shared, &request.service, false);
        let task = self.shared.calls.spawn(async move {
            let answer = service::forward(shared, request, rules).await;
            drop(permit);
            answer
        });
        let answer = task.await.map_err(|_| ApiError::UnknownOutcome)?;
        let status = answer.as_ref().map_or_else(ApiError::status, Response::status);
        meter.record_answer(status.is_server_error());
        answer
    }

    async fn read_body(&self, request: Request<Incoming>) -> Result<Bytes, ApiError> {
        let account = &self.shared.account;
        let limit_bytes = usize::try_from(self.shared.limits.body_bytes).unwrap_or(usize::MAX);
        let limit_bytes = limit_bytes.min(account.largest_bytes());
        let context = RequestContext::of(&request).cloned();
        let body = request.into_body();
        let stated_bytes = body.size_hint().exact();
        if stated_bytes.is_some_and(|bytes| bytes > limit_bytes as u64) {
            return Err(ApiError::TooLarge(limit_bytes));
        }
        let size_bytes = stated_bytes.map_or(limit_bytes, |bytes| bytes as usize);
        let read = async {
            let mut held = match &context {
                Some(context) => context.hold(account, size_bytes).await,
                None => account.hold(size_bytes).await,
            };
            let body = match context {
                Some(context) => {
                    let body = context.receive(body, size_bytes, BODY_WAIT_MS);
                    web::read_body(body, limit_bytes).await?
                }
                None => web::read_body(body, limit_bytes).await?,
            };
            held.try_resize(body.len());
            Ok(held.attach_to(body))
        };
        let body = tokio::time::timeout(Duration::from_millis(BODY_WAIT_MS), read);
        body.await.map_err(|_| ApiError::BodyTimeout(BODY_WAIT_MS))?.map_err(|err| match err {
            ReadBodyError::TooLarge(limit_bytes) => ApiError::TooLarge(limit_bytes),
            ReadBodyError::Transport(_) => ApiError::IncompleteBody,
        })
    }

    fn readiness(&self) -> Response<ResponseBody> {
        if self.shared.is_ready() {
            return Response::new(web::full("ready\n"));
        }
        let mut response = Response::new(web::full("not ready\n"));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        response
    }

    fn metrics(&self) -> Response<ResponseBody> {
        let text = self.shared.metrics.as_ref().map(|handle| handle.render()).unwrap_or_default();
        let mut response = Response::new(web::full(text));
        let kind = HeaderValue::from_static("text/plain; version=0.0.4");
        response.headers_mut().insert(CONTENT_TYPE, kind);
        response
    }
}

fn require_method(method: &Method, allowed: &Method, name: &'static str) -> Result<(), ApiError> {
    if method == allowed { Ok(()) } else { Err(ApiError::MethodNotAllowed(name)) }
}
