//! HTTP server of the platform stand-in.

use crate::platform::{settings::PlatformSettings, store::Store};
use hyper::{Request, Response, StatusCode, body::Incoming};
use std::{
    io::Result as IoResult,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{sync::watch, task::JoinHandle};
use web::{Handler, Method, ResponseBody, Server};
use wire::platform::{KvConflict, KvWrite, KvWritten, Vm, VmList};

/// Largest accepted value.
const VALUE_SIZE_BYTES: usize = 1024 * 1024;

#[derive(Debug)]
struct PlatformHandler {
    store: Mutex<Store>,
    vms: Mutex<VmList>,
    revisions: watch::Sender<u64>,
    lost_answers: AtomicU32,
}

/// Running platform stand-in.
#[derive(Debug)]
pub struct Platform {
    addr: SocketAddr,
    handler: Arc<PlatformHandler>,
    task: JoinHandle<()>,
    _stop: watch::Sender<bool>,
}

impl Platform {
    /// Starts the platform.
    ///
    /// # Errors
    ///
    /// The error of `bind`.
    pub async fn start(settings: PlatformSettings) -> IoResult<Self> {
        let server = Server::bind(settings.listen).await?;
        let addr = server.local_addr()?;
        let handler = Arc::new(PlatformHandler {
            store: Mutex::default(),
            vms: Mutex::default(),
            revisions: watch::Sender::new(0),
            lost_answers: AtomicU32::new(0),
        });
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(server.run(Arc::clone(&handler), stopped));
        Ok(Self { addr, handler, task, _stop: stop })
    }

    /// Address that the platform listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        lock(&self.handler.vms).vms = vms;
    }

    /// Writes a key without conditions.
    pub fn put(&self, key: &str, value: &str) {
        let write = KvWrite { value: value.to_owned(), expect_revision: None, lease_id: None };
        let _ = self.handler.put(key, write);
    }

    /// Stops the platform at once.
    pub async fn close(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

impl PlatformHandler {
    fn put(&self, key: &str, write: KvWrite) -> Response<ResponseBody> {
        if write.value.len() > VALUE_SIZE_BYTES {
            return status(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let outcome = lock(&self.store).put(key, write);
        match outcome {
            Ok(revision) => {
                self.revisions.send_replace(revision);
                web::json(StatusCode::OK, &KvWritten { revision })
            }
            Err(current) => web::json(StatusCode::CONFLICT, &KvConflict { current }),
        }
    }

    /// Replaces the list of VMs; for tests only.
    async fn replace_vms(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let Ok(body) = web::read_body(request.into_body(), VALUE_SIZE_BYTES).await else {
            return status(StatusCode::PAYLOAD_TOO_LARGE);
        };
        match serde_json::from_slice(&body) {
            Ok(list) => {
                *lock(&self.vms) = list;
                status(StatusCode::OK)
            }
            Err(_) => status(StatusCode::BAD_REQUEST),
        }
    }

    /// Sets how many of the next writes take effect without a usable answer; for tests only.
    async fn lose_answers(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let Ok(body) = web::read_body(request.into_body(), VALUE_SIZE_BYTES).await else {
            return status(StatusCode::PAYLOAD_TOO_LARGE);
        };
        match serde_json::from_slice(&body) {
            Ok(count) => {
                self.lost_answers.store(count, Ordering::Relaxed);
                status(StatusCode::OK)
            }
            Err(_) => status(StatusCode::BAD_REQUEST),
        }
    }

    /// Whether the answer to this write is to be lost.
    fn is_answer_lost(&self) -> bool {
        let take_one = |count: u32| count.checked_sub(1);
        self.lost_answers.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take_one).is_ok()
    }

    async fn watch(&self, query: &str) -> Response<ResponseBody> {
        let prefix = parameter(query, "prefix").unwrap_or_default();
        let after = parameter(query, "after").and_then(|text| text.parse().ok()).unwrap_or(0);
        let wait_ms = parameter(query, "wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut revisions = self.revisions.subscribe();
        let deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let list = lock(&self.store).changes(prefix, after);
            if !list.entries.is_empty() {
                return web::json(StatusCode::OK, &list);
            }
            let changed = tokio::time::timeout_at(deadline, revisions.changed()).await;
            if changed.is_err() {
                return web::json(StatusCode::OK, &list);
            }
        }
    }
}

impl Handler for PlatformHandler {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        match (method, path.as_str()) {
            (Method::GET, "/vms") => web::json(StatusCode::OK, &*lock(&self.vms)),
            (Method::GET, "/watch") => self.watch(&query).await,
            (Method::GET, path) => match path.strip_prefix("/kv/") {
                Some(key) => match lock(&self.store).get(key) {
                    Some(entry) => web::json(StatusCode::OK, &entry),
                    None => status(StatusCode::NOT_FOUND),
                },
                None => status(StatusCode::NOT_FOUND),
            },
            (Method::PUT, "/control/lost_answers") => self.lose_answers(request).await,
            (Method::PUT, "/control/vms") => self.replace_vms(request).await,
            (Method::PUT, path) => {
                let Some(key) = path.strip_prefix("/kv/") else {
                    return status(StatusCode::NOT_FOUND);
                };
                let limit_bytes = 2 * VALUE_SIZE_BYTES;
                let Ok(body) = web::read_body(request.into_body(), limit_bytes).await else {
                    return status(StatusCode::PAYLOAD_TOO_LARGE);
                };
                match serde_json::from_slice(&body) {
                    Ok(write) => {
                        let response = self.put(key, write);
                        if self.is_answer_lost() {
                            return status(StatusCode::GATEWAY_TIMEOUT);
                        }
                        response
                    }
                    Err(_) => status(StatusCode::BAD_REQUEST),
                }
            }
            _ => status(StatusCode::METHOD_NOT_ALLOWED),
        }
    }
}

fn parameter<'q>(query: &'q str, name: &str) -> Option<&'q str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn status(code: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(web::empty());
    *response.status_mut() = code;
    response
}
