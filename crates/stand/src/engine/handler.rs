//! Handles completion requests, orders, polls and control messages of the fake engine.

use crate::{
    engine::{context::Context, orders, sequence::Sequence, shared::Shared},
    reply,
};
use http_body_util::BodyExt;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue},
};
use serde::de::DeserializeOwned;
use std::sync::Arc;
use web::{ChannelBody, Handler, Method, ResponseBody};
use wire::engine::{EngineOrder, EngineRequest};

/// Largest accepted request body.
const MAX_REQUEST_BYTES: usize = 64 * 1024 * 1024;

/// Number of scheduler steps whose events are buffered for a slow client.
const MAX_BUFFERED_STEPS: usize = 16;

/// Request handler of an engine. While the engine is frozen, only control messages are answered.
#[derive(Debug)]
pub(super) struct EngineHandler {
    shared: Arc<Shared>,
}

impl EngineHandler {
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn handle_completion(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let request: EngineRequest = match read_json(request).await {
            Ok(request) => request,
            Err(response) => return response,
        };
        let shared = &self.shared;
        if !shared.ordered_state().versions.can_serve(&request) {
            shared.scheduler().counters.refused += 1;
            let message = "the model version or adapter is not loaded";
            return reply::error(StatusCode::NOT_FOUND, "version_not_loaded", message);
        }
        let context = Context::new(&request, shared.settings.cache_block_bytes);
        let (sender, body) = ChannelBody::new(MAX_BUFFERED_STEPS);
        let sequence = Sequence::new(&request, context, sender);
        let now_us = shared.now_us();
        if !shared.scheduler().submit(sequence, request.priority, now_us) {
            let message = "the queue is full";
            return reply::error(StatusCode::TOO_MANY_REQUESTS, "queue_full", message);
        }
        shared.work_available.notify_one();
        let mut response = Response::new(body.boxed_unsync());
        let event_stream = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, event_stream);
        response
    }

    async fn handle_order(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let shared = &self.shared;
        if let Some(key) = &shared.settings.order_key {
            let expected = format!("Bearer {key}");
            let header = request.headers().get(AUTHORIZATION);
            if header.is_none_or(|header| header.as_bytes() != expected.as_bytes()) {
                shared.scheduler().counters.unauthenticated_orders += 1;
                let message = "the sender's key is missing or wrong";
                return reply::error(StatusCode::UNAUTHORIZED, "invalid_order_key", message);
            }
        }
        let order: EngineOrder = match read_json(request).await {
            Ok(order) => order,
            Err(response) => return response,
        };
        if orders::apply(shared, &order) {
            web::json(StatusCode::OK, &shared.state())
        } else {
            let message = "an order with a larger fencing token has taken effect";
            reply::error(StatusCode::CONFLICT, "stale_fencing_token", message)
        }
    }

    async fn handle_fault(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        match read_json(request).await {
            Ok(fault) => {
                self.shared.inject_fault(fault);
                reply::status(StatusCode::NO_CONTENT)
            }
            Err(response) => response,
        }
    }

    fn handle_cache_events(&self, query: &str) -> Response<ResponseBody> {
        let after = reply::query_number(query, "after").unwrap_or(0);
        let now_ms = self.shared.now_us() / 1_000;
        let list = self.shared.scheduler().cache_log.after(after, now_ms);
        web::json(StatusCode::OK, &list)
    }

    fn handle_load(&self) -> Response<ResponseBody> {
        let now_us = self.shared.now_us();
        let load = self.shared.scheduler().delayed_load(now_us);
        web::json(StatusCode::OK, &load)
    }
}

impl Handler for EngineHandler {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        match (method, path.as_str()) {
            (Method::PUT, "/control/fault") => return self.handle_fault(request).await,
            (Method::GET, "/control/state") => {
                return web::json(StatusCode::OK, &self.shared.state());
            }
            _ => self.shared.wait_until_awake().await,
        }
        match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/completions") => self.handle_completion(request).await,
            (&Method::POST, "/orders") => self.handle_order(request).await,
            (&Method::GET, "/load") => self.handle_load(),
            (&Method::GET, "/state") => web::json(StatusCode::OK, &self.shared.state()),
            (&Method::GET, "/cache_events") => {
                self.handle_cache_events(request.uri().query().unwrap_or_default())
            }
            _ => reply::status(StatusCode::NOT_FOUND),
        }
    }
}

/// Reads a JSON body of at most `MAX_REQUEST_BYTES`.
///
/// # Errors
///
/// Returns the response to send if the body is too large, cannot be read or is not the expected JSON.
async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Response<ResponseBody>> {
    reply::read_json(request, MAX_REQUEST_BYTES).await
}
