//! Routes of the administration API.

use crate::{
    admin_error::AdminError, confirmed::Confirmed, daemon::Daemon, fleet_burn::FleetBurn,
    member::Member, plan_request::PlanRequest, planner::Planner, status::Status,
    watch_report::WatchReport,
};
use base::{Clock, HashMap, KeyHash, OperatorName, PlanId};
use burn::BurnReport;
use bytes::Bytes;
use fleet::PlanContext;
use hyper::{
    Request, Response,
    body::{Body, Incoming},
    header::AUTHORIZATION,
};
use plat::Platform;
use serde::Serialize;
use std::{sync::Arc, time::Duration};
use tokio::sync::watch;
use web::{ByteAccount, Handler, Method, ReadBodyError, RequestContext, ResponseBody, StatusCode};
use wire::platform::{VmList, VmRole};

/// Maximum size of the body of a request for a plan.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Longest wait for room for a body and for the body itself, in milliseconds.
const BODY_WAIT_MS: u64 = 10_000;

/// Maximum wait of a watch, and the wait if the request names none, in milliseconds.
const MAX_WATCH_WAIT_MS: u64 = 30_000;

/// Number of plans in a history if the request names no limit.
const DEFAULT_HISTORY_LIMIT: u64 = 32;

/// Maximum number of plans in one history.
const MAX_HISTORY_LIMIT: u64 = 256;

/// Duration of one weight transfer from the weight store that the estimated cost of a plan assumes, in milliseconds.
const WEIGHT_LOAD_MS: u64 = 20_000;

/// Name of the operator who authenticates with the bootstrap key, which the daemon's settings contain.
const BOOTSTRAP_OPERATOR: &str = "bootstrap";

/// Authenticates operators and answers their requests.
#[derive(Debug)]
pub(crate) struct AdminHandler<D> {
    pub bootstrap_key_hash: Option<KeyHash>,
    pub planner: Arc<Planner<Platform>>,
    pub platform: Platform,
    pub daemon: D,
    pub fleet_burn: FleetBurn,
    /// Bytes that are kept for connections and bodies of the daemon.
    pub account: Arc<ByteAccount>,
    pub stop: watch::Receiver<bool>,
}

impl<D: Daemon> Handler for AdminHandler<D> {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        match self.route(request).await {
            Ok(response) => response,
            Err(error) => error.response(),
        }
    }
}

impl<D: Daemon> AdminHandler<D> {
    async fn route(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, AdminError> {
        let operator = self.authenticate(&request)?;
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        let path = path.strip_prefix("/admin/v1/").ok_or(AdminError::UnknownRoute)?;
        match (method, path) {
            (Method::POST, "plans") => self.plan(operator, request).await,
            (Method::GET, "status") => Ok(ok_json(&self.status().await)),
            (Method::GET, "history") => {
                let limit = query_number(&query, "limit")?.unwrap_or(DEFAULT_HISTORY_LIMIT);
                let limit = limit.min(MAX_HISTORY_LIMIT) as usize;
                Ok(ok_json(&self.planner.history(limit).await?))
            }
            (Method::GET, "diff") => {
                let from =
                    query_number(&query, "from")?.ok_or(AdminError::InvalidParameter("from"))?;
                let to = query_number(&query, "to")?.unwrap_or(u64::MAX);
                Ok(ok_json(&self.planner.diff(from, to).await?))
            }
            (Method::GET, "burn/local") => Ok(ok_json(&self.daemon.burn_digest())),
            (Method::GET, "burn") => {
                let key = bearer_key(&request)?.to_owned();
                let fleet = self.fleet_burn.collect(&self.daemon, &key).await;
                Ok(ok_json(&BurnReport::new(&self.daemon.active_document(), fleet)))
            }
            (Method::GET, "watch") => self.watch(&query).await,
            (Method::POST, path) => {
                let id = path.strip_prefix("plans/").and_then(|rest| rest.strip_suffix("/confirm"));
                let id = plan_id(id.ok_or(AdminError::UnknownRoute)?)?;
                Ok(ok_json(&self.confirm(id).await?))
            }
            (Method::GET, path) => {
                let id = plan_id(path.strip_prefix("plans/").ok_or(AdminError::UnknownRoute)?)?;
                Ok(ok_json(&self.planner.show(&id).await?))
            }
            _ => Err(AdminError::UnknownRoute),
        }
    }

    fn authenticate(&self, request: &Request<Incoming>) -> Result<OperatorName, AdminError> {
        let key_hash = KeyHash::of(bearer_key(request)?);
        if self.bootstrap_key_hash.as_ref() == Some(&key_hash) {
            return OperatorName::try_from(BOOTSTRAP_OPERATOR).map_err(|_| AdminError::InvalidKey);
        }
        self.daemon.operator_by_key(&key_hash).ok_or(AdminError::InvalidKey)
    }

    async fn plan(
        &self,
        operator: OperatorName,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, AdminError> {
        let body = self.read_body(request).await?;
        let request: PlanRequest = serde_json::from_slice(&body)?;
        let context = self.context();
        let now_ms = Clock::unix_ms();
        let created =
            self.planner.plan(operator, now_ms, request.into_intents()?, &context).await?;
        Ok(web::json(StatusCode::CREATED, &created))
    }

    /// Reads a body, for which room is held until it is dropped.
    async fn read_body(&self, request: Request<Incoming>) -> Result<Bytes, AdminError> {
        let limit_bytes = MAX_BODY_BYTES.min(self.account.largest_bytes());
        let stated_bytes = request.body().size_hint().exact();
        if stated_bytes.is_some_and(|bytes| bytes > limit_bytes as u64) {
            return Err(AdminError::InvalidBody(ReadBodyError::TooLarge(limit_bytes)));
        }
        let size_bytes = stated_bytes.map_or(limit_bytes, |bytes| bytes as usize);
        let context = RequestContext::of(&request).cloned();
        let body = request.into_body();
        let read = async {
            let held = match &context {
                Some(context) => context.hold(&self.account, size_bytes).await,
                None => self.account.hold(size_bytes).await,
            };
            let body = match context {
                Some(context) => {
                    let body = context.receive(body, size_bytes, BODY_WAIT_MS);
                    web::read_body(body, limit_bytes).await?
                }
                None => web::read_body(body, limit_bytes).await?,
            };
            Ok(held.attach_to(body))
        };
        let read = tokio::time::timeout(Duration::from_millis(BODY_WAIT_MS), read);
        read.await.map_err(|_| AdminError::BodyTimeout(BODY_WAIT_MS))?
    }

    /// Confirms a plan in a separate task, so that the history is written even if the operator's connection is lost.
    async fn confirm(&self, id: PlanId) -> Result<Confirmed, AdminError> {
        let planner = Arc::clone(&self.planner);
        let context = self.context();
        let plan_id = id.clone();
        let task =
            tokio::spawn(async move { planner.confirm(&id, Clock::unix_ms(), &context).await });
        task.await.unwrap_or(Err(AdminError::OutcomeUnknown(plan_id)))
    }

    async fn status(&self) -> Status {
        let active = self.daemon.active_position();
        let members = |list: VmList| {
            let entries = list.vms.into_iter().filter(|vm| vm.role == VmRole::Entry);
            entries.map(|vm| Member { id: vm.id, domain: vm.domain, state: vm.state }).collect()
        };
        Status {
            revision: active.revision,
            sequence: active.sequence,
            upstreams: self.daemon.upstreams(),
            members: self.platform.vms().await.ok().map(members),
        }
    }

    async fn watch(&self, query: &str) -> Result<Response<ResponseBody>, AdminError> {
        let after = query_number(query, "after")?.unwrap_or(0);
        let wait_ms =
            query_number(query, "wait_ms")?.unwrap_or(MAX_WATCH_WAIT_MS).min(MAX_WATCH_WAIT_MS);
        let mut stop = self.stop.clone();
        // A pending watch ends when the server stops. Otherwise, it would delay the shutdown by its remaining wait.
        let revision = tokio::select! {
            revision = self.daemon.wait_for_newer_revision(after, wait_ms) => revision,
            _ = stop.wait_for(|&is_stopped| is_stopped) => self.daemon.active_position().revision,
        };
        Ok(ok_json(&WatchReport { revision }))
    }

    /// Collects the state of the daemon against which plans are checked.
    fn context(&self) -> PlanContext {
        let mut engines = HashMap::default();
        for vm in self.daemon.upstreams() {
            if let (VmRole::Engine, Some(service)) = (vm.role, vm.service) {
                *engines.entry(service).or_default() += 1;
            }
        }
        let pinned = self.daemon.pinned_versions();
        PlanContext {
            active: self.daemon.active_position(),
            pinned,
            engines,
            weight_load_ms: WEIGHT_LOAD_MS,
        }
    }
}

fn ok_json(value: &impl Serialize) -> Response<ResponseBody> {
    web::json(StatusCode::OK, value)
}

fn bearer_key(request: &Request<Incoming>) -> Result<&str, AdminError> {
    let header = request.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    header.and_then(|text| text.strip_prefix("Bearer ")).ok_or(AdminError::InvalidKey)
}

fn plan_id(raw: &str) -> Result<PlanId, AdminError> {
    PlanId::try_from(raw).map_err(|_| AdminError::UnknownRoute)
}

/// Parses a numeric query parameter. Returns `None` if the query lacks the parameter.
fn query_number(query: &str, name: &'static str) -> Result<Option<u64>, AdminError> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let Some((_, value)) = pairs.into_iter().find(|(key, _)| *key == name) else {
        return Ok(None);
    };
    value.parse().map(Some).map_err(|_| AdminError::InvalidParameter(name))
}
