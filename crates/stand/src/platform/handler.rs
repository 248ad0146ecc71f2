//! Handles the calls of daemons and engines to the fake platform, and its control messages.

use crate::{
    net::{Connection, ConnectionFaults},
    platform::{
        active_faults::ActiveFaults,
        counts::PlatformCounts,
        fault::PlatformFault,
        settings::PlatformSettings,
        store::{Store, WriteError},
        vm_change::VmChange,
        vm_history::VmHistory,
        weight_store::WeightStore,
    },
    reply,
};
use base::lock;
use hyper::{Request, Response, StatusCode, body::Incoming, header::RETRY_AFTER};
use serde::de::DeserializeOwned;
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{sync::watch, time::Instant};
use web::{Handler, Method, ResponseBody};
use wire::platform::{
    KvConflict, KvWrite, KvWritten, LeaseRequest, Vm, VmList, VmState, WeightRequest, WeightsSent,
};

/// Largest accepted value of a key.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Largest accepted body: JSON may escape each byte of a value as six bytes (`\u00XX`).
const MAX_BODY_BYTES: usize = 6 * MAX_VALUE_BYTES + 1024;

/// Interval at which expired leases are removed.
const EXPIRY_INTERVAL_MS: u64 = 10;

/// State of the platform: store, list of VMs, weight transfers, faults and counts.
#[derive(Debug)]
pub(super) struct PlatformHandler {
    pub connection_faults: Arc<ConnectionFaults>,
    start: Instant,
    store: Mutex<Store>,
    vms: Mutex<VmHistory>,
    weights: Mutex<WeightStore>,
    faults: Mutex<ActiveFaults>,
    counts: Mutex<PlatformCounts>,
    /// Revision of the store, which wakes pending watches when it changes.
    revisions: watch::Sender<u64>,
}

impl PlatformHandler {
    pub fn new(settings: &PlatformSettings) -> Self {
        Self {
            connection_faults: Arc::default(),
            start: Instant::now(),
            store: Mutex::default(),
            vms: Mutex::new(VmHistory::new(settings.vm_list_lag_ms)),
            weights: Mutex::new(WeightStore::new(
                settings.weight_size_bytes,
                settings.weight_rate_bytes_per_s,
                settings.weight_transfers,
            )),
            faults: Mutex::default(),
            counts: Mutex::default(),
            revisions: watch::Sender::new(0),
        }
    }

    /// Removes leases when they expire; never completes.
    pub async fn run_expiry(&self) {
        loop {
            tokio::time::sleep(Duration::from_millis(EXPIRY_INTERVAL_MS)).await;
            let now_ms = self.now_ms();
            self.change(|store| store.expire(now_ms));
        }
    }

    pub fn put(&self, key: &str, write: KvWrite) -> Result<u64, WriteError> {
        self.change(|store| store.put(key, write))
    }

    pub fn set_vms(&self, vms: Vec<Vm>) {
        lock(&self.vms).replace(VmList { vms }, self.now_ms());
    }

    pub fn set_vm(&self, vm: Vm) {
        lock(&self.vms).set(vm, self.now_ms());
    }

    pub fn change_vm(&self, id: &str, state: Option<VmState>) -> bool {
        lock(&self.vms).change(id, state, self.now_ms())
    }

    pub fn counts(&self) -> PlatformCounts {
        *lock(&self.counts)
    }

    pub fn inject_fault(&self, fault: PlatformFault) {
        match fault {
            PlatformFault::Down => self.connection_faults.refuse(),
            PlatformFault::Silence => self.connection_faults.silence_all(),
            PlatformFault::Restore => self.connection_faults.restore(),
            _ => {}
        }
        lock(&self.faults).apply(fault);
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Calls `change` with the store and, if that created a new revision, wakes the pending watches.
    fn change<T>(&self, change: impl FnOnce(&mut Store) -> T) -> T {
        let mut store = lock(&self.store);
        let outcome = change(&mut store);
        let revision = store.revision();
        self.revisions.send_if_modified(|published| {
            let is_new = *published != revision;
            *published = revision;
            is_new
        });
        outcome
    }

    fn count(&self, count: impl FnOnce(&mut PlatformCounts)) {
        count(&mut lock(&self.counts));
    }

    async fn handle_key(
        &self,
        key: &str,
        query: &str,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        match *request.method() {
            Method::GET => {
                self.count(|counts| counts.gets += 1);
                match lock(&self.store).get(key) {
                    Some(entry) => web::json(StatusCode::OK, &entry),
                    None => reply::status(StatusCode::NOT_FOUND),
                }
            }
            Method::PUT => {
                self.count(|counts| counts.puts += 1);
                match reply::read_json::<KvWrite>(request, MAX_BODY_BYTES).await {
                    Ok(write) if write.value.len() > MAX_VALUE_BYTES => {
                        let message = "the value is larger than 1 MB";
                        reply::error(StatusCode::PAYLOAD_TOO_LARGE, "too_large", message)
                    }
                    Ok(write) => write_response(self.put(key, write)),
                    Err(response) => response,
                }
            }
            Method::DELETE => {
                self.count(|counts| counts.deletes += 1);
                let expect_revision = reply::query_number(query, "expect_revision");
                write_response(self.change(|store| store.delete(key, expect_revision)))
            }
            _ => reply::status(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    async fn handle_watch(&self, query: &str) -> Response<ResponseBody> {
        self.count(|counts| counts.watches += 1);
        let prefix = reply::query_param(query, "prefix").unwrap_or_default();
        let after = reply::query_number(query, "after").unwrap_or(0);
        let wait_ms = reply::query_number(query, "wait_ms").unwrap_or(0);
        let mut revisions = self.revisions.subscribe();
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
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

    async fn handle_lease(&self, path: &str, request: Request<Incoming>) -> Response<ResponseBody> {
        self.count(|counts| counts.leases += 1);
        let now_ms = self.now_ms();
        if path.is_empty() {
            return match reply::read_json::<LeaseRequest>(request, MAX_BODY_BYTES).await {
                Ok(lease) => {
                    let granted = self.change(|store| store.grant(lease.ttl_ms, now_ms));
                    web::json(StatusCode::OK, &granted)
                }
                Err(response) => response,
            };
        }
        let (id, action) = path.split_once('/').unwrap_or((path, ""));
        let Ok(lease_id) = id.parse() else { return reply::status(StatusCode::NOT_FOUND) };
        // A keep-alive must not renew an expired lease that the expiry task has not removed yet.
        self.change(|store| store.expire(now_ms));
        match (request.method(), action) {
            (&Method::POST, "keepalive") => {
                match self.change(|store| store.keep_alive(lease_id, now_ms)) {
                    Some(granted) => web::json(StatusCode::OK, &granted),
                    None => lease_ended_response(),
                }
            }
            (&Method::DELETE, "") => {
                if self.change(|store| store.revoke(lease_id)) {
                    reply::status(StatusCode::NO_CONTENT)
                } else {
                    lease_ended_response()
                }
            }
            _ => reply::status(StatusCode::NOT_FOUND),
        }
    }

    async fn send_weights(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        self.count(|counts| counts.weights += 1);
        if let Err(response) = reply::read_json::<WeightRequest>(request, MAX_BODY_BYTES).await {
            return response;
        }
        let now_ms = self.now_ms();
        let transfer = {
            let mut weights = lock(&self.weights);
            weights.begin_transfer(now_ms).map(|end_ms| (end_ms, weights.size_bytes()))
        };
        let Some((end_ms, size_bytes)) = transfer else {
            let message = "too many transfers at a time";
            let mut response = reply::error(StatusCode::TOO_MANY_REQUESTS, "rate_limited", message);
            response.headers_mut().insert(RETRY_AFTER, 1.into());
            return response;
        };
        tokio::time::sleep(Duration::from_millis(end_ms - now_ms)).await;
        web::json(StatusCode::OK, &WeightsSent { size_bytes })
    }

    async fn handle_control(
        &self,
        path: &str,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        match (request.method(), path) {
            (&Method::GET, "counts") => web::json(StatusCode::OK, &self.counts()),
            (&Method::PUT, "fault") => {
                apply_control_message(request, |fault| self.inject_fault(fault)).await
            }
            (&Method::PUT, "vms") => {
                apply_control_message(request, |list: VmList| self.set_vms(list.vms)).await
            }
            (&Method::PUT, "vm") => apply_control_message(request, |vm| self.set_vm(vm)).await,
            (&Method::PUT, _) => match path.strip_prefix("vms/").map(str::to_owned) {
                Some(id) => match reply::read_json::<VmChange>(request, MAX_BODY_BYTES).await {
                    Ok(change) if self.change_vm(&id, change.state) => {
                        reply::status(StatusCode::NO_CONTENT)
                    }
                    Ok(_) => reply::status(StatusCode::NOT_FOUND),
                    Err(response) => response,
                },
                None => reply::status(StatusCode::NOT_FOUND),
            },
            _ => reply::status(StatusCode::NOT_FOUND),
        }
    }

    async fn handle_call(&self, path: &str, request: Request<Incoming>) -> Response<ResponseBody> {
        let query = request.uri().query().unwrap_or_default().to_owned();
        if let Some(key) = path.strip_prefix("/kv/") {
            return self.handle_key(key, &query, request).await;
        }
        if let Some(rest) = path.strip_prefix("/leases") {
            return self.handle_lease(rest.trim_start_matches('/'), request).await;
        }
        match (request.method(), path) {
            (&Method::GET, "/kv") => {
                self.count(|counts| counts.lists += 1);
                let prefix = reply::query_param(&query, "prefix").unwrap_or_default();
                web::json(StatusCode::OK, &lock(&self.store).list(prefix))
            }
            (&Method::GET, "/watch") => self.handle_watch(&query).await,
            (&Method::GET, "/vms") => {
                self.count(|counts| counts.vms += 1);
                let now_ms = self.now_ms();
                web::json(StatusCode::OK, lock(&self.vms).published(now_ms))
            }
            (&Method::POST, "/weights") => self.send_weights(request).await,
            _ => reply::status(StatusCode::NOT_FOUND),
        }
    }
}

impl Handler for PlatformHandler {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let path = request.uri().path().to_owned();
        if let Some(path) = path.strip_prefix("/control/") {
            return self.handle_control(path, request).await;
        }
        let delay_ms = lock(&self.faults).delay_ms;
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        let connection = request.extensions().get::<Connection>().cloned();
        let is_write = request.method() != Method::GET && path != "/weights";
        let response = self.handle_call(&path, request).await;
        let took_effect = is_write && response.status().is_success();
        if took_effect && lock(&self.faults).loses_answer() {
            self.count(|counts| counts.lost_answers += 1);
            if let Some(connection) = connection {
                return connection.reset().await;
            }
        }
        response
    }
}

/// Builds the response to a write: the new revision, the current entry after a conflict, or 410 if the lease has ended.
fn write_response(outcome: Result<u64, WriteError>) -> Response<ResponseBody> {
    match outcome {
        Ok(revision) => web::json(StatusCode::OK, &KvWritten { revision }),
        Err(WriteError::Conflict(current)) => {
            web::json(StatusCode::CONFLICT, &KvConflict { current })
        }
        Err(WriteError::LeaseEnded) => lease_ended_response(),
    }
}

fn lease_ended_response() -> Response<ResponseBody> {
    reply::error(StatusCode::GONE, "lease_ended", "the lease has ended or never existed")
}

/// Reads a control message and passes it to `action`.
async fn apply_control_message<T: DeserializeOwned>(
    request: Request<Incoming>,
    action: impl FnOnce(T),
) -> Response<ResponseBody> {
    match reply::read_json(request, MAX_BODY_BYTES).await {
        Ok(message) => {
            action(message);
            reply::status(StatusCode::NO_CONTENT)
        }
        Err(response) => response,
    }
}
