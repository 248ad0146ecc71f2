//! Routes of the server towards callers.

use crate::{
    api_error::ApiError,
    authenticate::authenticate,
    job::Job,
    job_request::{chat_job, text_job},
    models::models,
    output::Output,
    permit::Permit,
    relay::{Relay, RelayError},
    render::{self, Renderer},
    service,
    shared::Shared,
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Request, Response,
    body::Incoming,
    header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue},
};
use limit::Class;
use std::sync::Arc;
use web::{ChannelBody, Handler, Method, ReadBodyError, ResponseBody, StatusCode};

/// Chunks that may wait for a slow caller.
const PENDING_CHUNKS: usize = 32;

/// Handler of the server towards callers.
#[derive(Debug)]
pub(crate) struct CallerHandler {
    pub shared: Arc<Shared>,
}

impl Handler for CallerHandler {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        match self.route(request).await {
            Ok(response) => response,
            Err(error) => {
                metrics::counter!("caller_errors_total", "code" => error.code()).increment(1);
                error.response()
            }
        }
    }
}

impl CallerHandler {
    async fn route(&self, request: Request<Incoming>) -> Result<Response<ResponseBody>, ApiError> {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        match path.as_str() {
            "/healthz" => Ok(Response::new(web::full("ok\n"))),
            "/readyz" => Ok(self.readiness()),
            "/metrics" => Ok(self.metrics()),
            "/v1/models" => {
                allow(&method, &Method::GET, "GET")?;
                let config = self.shared.config();
                authenticate(request.headers(), &config)?;
                Ok(models(&config))
            }
            "/v1/completions" | "/v1/chat/completions" => {
                allow(&method, &Method::POST, "POST")?;
                self.generate(&path, request).await
            }
            _ => match path.strip_prefix("/services/") {
                Some(rest) => self.call(method, rest, request).await,
                None => Err(ApiError::Route),
            },
        }
    }

    async fn generate(
        &self,
        path: &str,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, ApiError> {
        let config = self.shared.config();
        let account = authenticate(request.headers(), &config)?;
        let body = self.read_body(request).await?;
        let job = if path == "/v1/completions" {
            text_job(&body, account, &config, &self.shared)?
        } else {
            chat_job(&body, account, &config, &self.shared)?
        };
        let admission = &self.shared.admission;
        let permit =
            admission.admit(account, &job.service, job.class, job.request.max_tokens).await?;
        metrics::counter!("generations_total").increment(1);
        if job.is_stream { Ok(self.stream(job, permit)) } else { self.whole(job, permit).await }
    }

    fn stream(&self, job: Job, permit: Permit) -> Response<ResponseBody> {
        let (sender, body) = ChannelBody::new(PENDING_CHUNKS);
        let id_prefix = format!("{}/1/{}/-/", job.generation_id, self.shared.vm_id);
        let renderer = Renderer::new(&job, id_prefix);
        let output = Output::Stream { renderer, sender, pending: Vec::new() };
        let relay = Relay::new(Arc::clone(&self.shared), job, output);
        tokio::spawn(async move {
            let outcome = relay.run().await;
            drop(permit);
            outcome
        });
        let mut response = Response::new(body.boxed_unsync());
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
        response
    }

    async fn whole(&self, job: Job, permit: Permit) -> Result<Response<ResponseBody>, ApiError> {
        let relay = Relay::new(Arc::clone(&self.shared), job.clone(), Output::Whole);
        let outcome = relay.run().await;
        drop(permit);
        match outcome {
            Ok(answer) => {
                Ok(render::whole(&job, answer.journal.text(), answer.reason, answer.usage))
            }
            Err(RelayError::Failed(cause)) => Err(ApiError::from(cause)),
            Err(RelayError::CallerGone) => Err(ApiError::Internal),
        }
    }

    async fn call(
        &self,
        method: Method,
        rest: &str,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, ApiError> {
        let config = self.shared.config();
        let account = authenticate(request.headers(), &config)?;
        let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
        let path = match request.uri().query() {
            Some(query) => format!("/{path}?{query}"),
            None => format!("/{path}"),
        };
        let body = self.read_body(request).await?;
        let service = service::find(&config, name)?;
        let _permit = self.shared.admission.admit(account, &service, Class::Short, 0).await?;
        service::forward(&self.shared, name, method, &path, body).await
    }

    async fn read_body(&self, request: Request<Incoming>) -> Result<Bytes, ApiError> {
        let limit_bytes = usize::try_from(self.shared.limits.body_bytes).unwrap_or(usize::MAX);
        web::read_body(request.into_body(), limit_bytes).await.map_err(|err| match err {
            ReadBodyError::TooLarge(limit_bytes) => ApiError::TooLarge(limit_bytes),
            ReadBodyError::Transport(_) => ApiError::Body,
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

fn allow(method: &Method, allowed: &Method, name: &'static str) -> Result<(), ApiError> {
    if method == allowed { Ok(()) } else { Err(ApiError::Method(name)) }
}
