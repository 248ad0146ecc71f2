//! HTTP server of the engine stand-in.

use crate::engine::{completion, settings::EngineSettings, work::Work};
use hyper::{Request, Response, StatusCode, body::Incoming};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{
    io::Result as IoResult,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};
use tokio::{sync::watch, task::JoinHandle};
use web::{Handler, Method, ResponseBody, Server};

/// Largest accepted request.
const REQUEST_SIZE_BYTES: usize = 64 * 1024 * 1024;

#[derive(Debug)]
struct EngineHandler {
    settings: EngineSettings,
    rng: Mutex<SmallRng>,
    work: Arc<Work>,
}

/// Running engine stand-in.
#[derive(Debug)]
pub struct Engine {
    addr: SocketAddr,
    task: JoinHandle<()>,
    _stop: watch::Sender<bool>,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// The error of `bind`.
    pub async fn start(settings: EngineSettings) -> IoResult<Self> {
        let server = Server::bind(settings.listen).await?;
        let addr = server.local_addr()?;
        let rng = Mutex::new(SmallRng::seed_from_u64(settings.seed));
        let handler = Arc::new(EngineHandler { settings, rng, work: Arc::default() });
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(server.run(handler, stopped));
        Ok(Self { addr, task, _stop: stop })
    }

    /// Address that the engine listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Kills the engine: all connections are closed in the middle of their answers.
    pub async fn kill(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

impl Handler for EngineHandler {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        if request.method() == Method::GET && request.uri().path() == "/state" {
            return web::json(StatusCode::OK, &self.work.state());
        }
        if request.method() != Method::POST || request.uri().path() != "/v1/completions" {
            return status(StatusCode::NOT_FOUND);
        }
        let Ok(body) = web::read_body(request.into_body(), REQUEST_SIZE_BYTES).await else {
            return status(StatusCode::BAD_REQUEST);
        };
        let Ok(request) = serde_json::from_slice(&body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let seed = self.rng.lock().unwrap_or_else(PoisonError::into_inner).random();
        completion::respond(&self.settings, request, seed, &self.work)
    }
}

fn status(code: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(web::empty());
    *response.status_mut() = code;
    response
}
