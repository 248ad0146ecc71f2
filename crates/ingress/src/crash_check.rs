//! Checks of upstreams that cut requests off, for the evidence on requests that crash upstreams.

use crate::{
    core::Core,
    exchange::connect,
    inbound::Inbound,
    instance::Instance,
    instance_entry::InstanceId,
    probe::{EngineHealth, ask_report, is_timeout, shows_end},
};
use base::{HashMap, ServiceName, lock};
use hyper::Method;
use quarantine::{
    Conclusion, Crash, CrashedEngine, EndCheck, Exposure, PartId, PartNames, ProcessState, Suspect,
};
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::time::Instant;
use web::json_request;

/// Largest body of the response to a health check that is read.
const MAX_HEALTH_BYTES: usize = 64 * 1024;

/// Time for which it is remembered that a process has ended. A forwarder may accept requests in its place until its entry
/// changes, and these have crashed nothing.
const ENDED_RETENTION_MS: u64 = 10_000;

/// Process of an upstream: the identifier of its instance and its start time.
type ProcessKey = (InstanceId, Option<u64>);

/// Checks in progress, one for each process that cut requests off.
#[derive(Debug, Default)]
pub(crate) struct CrashChecks {
    open: Mutex<HashMap<ProcessKey, EndCheck<Loss>>>,
    /// Processes that have ended, each with the time at which that was found out.
    ended: Mutex<HashMap<ProcessKey, u64>>,
}

impl CrashChecks {
    fn record_end(&self, key: ProcessKey, now_ms: u64) {
        let mut ended = lock(&self.ended);
        ended.retain(|_, at_ms| now_ms < *at_ms + ENDED_RETENTION_MS);
        ended.insert(key, now_ms);
    }

    /// Changes the requests to a service of which it is not known yet whether their upstream has outlived them. A survival
    /// between a cut and the end of the checks would be forgotten otherwise.
    fn for_each_loss(&self, service: &ServiceName, change: impl Fn(&mut Loss)) {
        let mut open = lock(&self.open);
        let losses = open.values_mut().flat_map(EndCheck::losses_mut);
        losses.filter(|loss| loss.service == *service).for_each(change);
    }
}

/// Request that an upstream cut off.
#[derive(Debug)]
struct Loss {
    service: ServiceName,
    /// Identifier of what is requested; `None` if an upstream has survived the request since.
    request: Option<PartId>,
    /// Parts of the prompt that other requests may share, without those that an upstream has survived since.
    parts: Vec<PartId>,
    exposure: Exposure,
    /// Whether the answer is complete unless the upstream has ended with it.
    is_complete: bool,
    lost_ms: u64,
}

impl Loss {
    fn new(inbound: &Inbound, exposure: Exposure, is_complete: bool, lost_ms: u64) -> Self {
        let (service, parts) = (inbound.service.clone(), inbound.shared_parts.clone());
        let request = Some(inbound.fingerprint());
        Self { service, request, parts, exposure, is_complete, lost_ms }
    }

    /// Evidence on the request by `parts`, which are those of its prompt or stand for the whole request.
    fn suspect(&self, parts: Vec<PartId>) -> Suspect {
        match self.exposure {
            Exposure::Waiting => Suspect::waiting(parts),
            Exposure::Begun | Exposure::Outlived => Suspect::new(parts),
        }
    }
}

impl Core {
    /// Finds out whether an upstream has crashed that cut a request off, and records it if so. The cut alone does not show
    /// that.
    pub(crate) fn check_crash(
        self: &Arc<Self>,
        instance: &Arc<Instance>,
        inbound: &Inbound,
        exposure: Exposure,
        sent_ms: u64,
    ) {
        if exposure != Exposure::Outlived {
            let loss = Loss::new(inbound, exposure, false, self.clock.now_ms());
            self.check(instance, loss, sent_ms);
        }
    }

    /// Finds out whether an upstream has ended together with an answer that ends with its connection, and records that it has
    /// crashed on the request or survived it.
    pub(crate) fn check_end(
        self: &Arc<Self>,
        instance: &Arc<Instance>,
        inbound: &Inbound,
        exposure: Exposure,
        sent_ms: u64,
    ) {
        let now_ms = self.clock.now_ms();
        match exposure {
            Exposure::Outlived => self.record_survival(inbound, now_ms),
            _ => self.check(instance, Loss::new(inbound, exposure, true, now_ms), sent_ms),
        }
    }

    /// Records that an upstream has answered a request without a crash at `at_ms`.
    pub(crate) fn record_survival(&self, inbound: &Inbound, at_ms: u64) {
        self.record_part_survival(&inbound.service, &inbound.shared_parts, at_ms);
        self.record_request_survival(inbound, at_ms);
    }

    /// Like `record_survival`, for a request on whose prompt the upstream has not answered.
    pub(crate) fn record_request_survival(&self, inbound: &Inbound, at_ms: u64) {
        let service = &inbound.service;
        // The fingerprint of a large body takes some time.
        let is_needed =
            !self.request_quarantine.is_empty(service) || !lock(&self.crash_checks.open).is_empty();
        if is_needed {
            self.record_request_id_survival(service, inbound.fingerprint(), at_ms);
        }
    }

    fn record_request_id_survival(&self, service: &ServiceName, request: PartId, at_ms: u64) {
        self.crash_checks.for_each_loss(service, |loss| {
            loss.request = loss.request.filter(|id| *id != request);
        });
        if self.request_quarantine.record_survival(service, &[request], at_ms) {
            self.notify_instances_changed();
        }
    }

    fn record_part_survival(&self, service: &ServiceName, parts: &[PartId], at_ms: u64) {
        self.crash_checks.for_each_loss(service, |loss| {
            loss.parts.retain(|part| !parts.contains(part));
        });
        if self.part_quarantine.record_survival(service, parts, at_ms) {
            self.notify_instances_changed();
        }
    }

    /// Adds the loss of a request that was sent at `sent_ms` to the checks of the process that it happened at.
    fn check(self: &Arc<Self>, instance: &Arc<Instance>, loss: Loss, sent_ms: u64) {
        let lost_ms = loss.lost_ms;
        let key = (Arc::clone(&instance.entry.id), instance.entry.started_unix_ms);
        let ended_ms = lock(&self.crash_checks.ended).get(&key).copied();
        if ended_ms.is_some_and(|at_ms| sent_ms > at_ms && lost_ms < at_ms + ENDED_RETENTION_MS) {
            return;
        }
        let mut open = lock(&self.crash_checks.open);
        if let Some(check) = open.get_mut(&key) {
            check.add(loss, sent_ms, lost_ms);
            return;
        }
        open.insert(key.clone(), EndCheck::new(loss, sent_ms, lost_ms));
        drop(open);
        tokio::spawn(check_process(Arc::clone(self), Arc::clone(instance), key));
    }

    /// Records that an upstream has outlived a request.
    fn record_outlived(&self, instance: &Instance, loss: &Loss) {
        log_check(instance, loss, "false", self.clock.now_ms());
        if loss.is_complete {
            let service = &instance.entry.service;
            self.record_part_survival(service, &loss.parts, loss.lost_ms);
            if let Some(request) = loss.request {
                self.record_request_id_survival(service, request, loss.lost_ms);
            }
        }
    }

    /// Records that the process of an upstream has ended and had these requests in flight, the first of which it cut off at
    /// `first_cut_ms`.
    fn record_crash(&self, instance: &Instance, losses: Vec<Loss>, first_cut_ms: u64) {
        let entry = &instance.entry;
        let service = &entry.service;
        let now_ms = self.clock.now_ms();
        let crash = |suspects: Vec<Suspect>| Crash {
            engine: CrashedEngine {
                instance: (&*entry.id).into(),
                started_unix_ms: entry.started_unix_ms,
            },
            domain: entry.domain.clone(),
            age_ms: now_ms.saturating_sub(first_cut_ms),
            suspects,
        };
        let (mut requests, mut prompts) = (Vec::new(), Vec::new());
        for loss in losses {
            log_check(instance, &loss, "true", now_ms);
            requests.extend(loss.request.map(|request| loss.suspect(vec![request])));
            if !loss.parts.is_empty() {
                prompts.push(loss.suspect(loss.parts.clone()));
            }
        }
        let mut is_judged = false;
        if !requests.is_empty() {
            is_judged |= self.request_quarantine.record_crash(service, crash(requests), now_ms);
        }
        if !prompts.is_empty() {
            is_judged |= self.part_quarantine.record_crash(service, crash(prompts), now_ms);
        }
        if is_judged {
            self.notify_instances_changed();
        }
    }
}

/// Checks a process until it is known whether it has ended, and records its crash if it has.
async fn check_process(core: Arc<Core>, instance: Arc<Instance>, key: ProcessKey) {
    loop {
        let Some(next_ms) = lock(&core.crash_checks.open).get(&key).map(EndCheck::next_check_ms)
        else {
            return;
        };
        tokio::time::sleep_until(Instant::from_std(core.clock.instant_at(next_ms))).await;
        let asked_ms = core.clock.now_ms();
        let state = process_state(&core, &instance).await;
        let now_ms = core.clock.now_ms();
        let mut open = lock(&core.crash_checks.open);
        let Some(check) = open.remove(&key) else { return };
        match check.record(state, asked_ms, now_ms) {
            Conclusion::Ended { losses, first_cut_ms } => {
                drop(open);
                core.crash_checks.record_end(key, now_ms);
                core.record_crash(&instance, losses, first_cut_ms);
                return;
            }
            Conclusion::Alive(losses) => {
                drop(open);
                losses.iter().for_each(|loss| core.record_outlived(&instance, loss));
                return;
            }
            Conclusion::Unknown(losses) => {
                drop(open);
                losses.iter().for_each(|loss| log_check(&instance, loss, "unknown", now_ms));
                return;
            }
            Conclusion::Open { check, alive } => {
                open.insert(key.clone(), check);
                drop(open);
                alive.iter().for_each(|loss| core.record_outlived(&instance, loss));
            }
        }
    }
}

/// Asks whether the process of the registry entry still runs. An engine states its start time in a report, another upstream
/// its identifier in the response to a health check.
async fn process_state(core: &Core, instance: &Arc<Instance>) -> ProcessState {
    if core.service_config(&instance.entry.service).engine.is_none() {
        return service_state(core, instance).await;
    }
    match ask_report(core, instance).await {
        Ok(_) => ProcessState::Alive,
        Err(EngineHealth::Dead) => ProcessState::Ended,
        Err(EngineHealth::Closed) => ProcessState::Closed,
        Err(_) => ProcessState::Silent,
    }
}

/// Like `process_state`, for an upstream without load reports. A connection that is accepted may be that of a forwarder whose
/// target has ended, and a busy upstream lets health checks wait.
async fn service_state(core: &Core, instance: &Instance) -> ProcessState {
    let entry = &instance.entry;
    let config = core.config();
    let path = config.as_ref().and_then(|config| config.health_path(&entry.service));
    let call = async {
        let mut connection = connect(instance).await?;
        let Some(path) = path else { return Ok(None) };
        let request = json_request(Method::GET, entry.addr, path, Vec::new())?;
        connection.fetch(request, MAX_HEALTH_BYTES).await.map(Some)
    };
    let timeout = Duration::from_millis(core.options.report_timeout_ms);
    match tokio::time::timeout(timeout, call).await {
        Ok(Ok(response)) => {
            let response = response.as_ref();
            match response.and_then(|response| response.headers().get(&core.dialect.instance)) {
                Some(id) if id.as_bytes() != entry.id.as_bytes() => ProcessState::Ended,
                _ => ProcessState::Alive,
            }
        }
        Ok(Err(err)) if shows_end(&err) => ProcessState::Ended,
        Ok(Err(err)) if !is_timeout(&err) => ProcessState::Closed,
        Ok(Err(_)) | Err(_) => ProcessState::Silent,
    }
}

fn log_check(instance: &Instance, loss: &Loss, ended: &str, now_ms: u64) {
    log::info!(
        "quarantine: check service={} instance={} ended={ended} request={} parts={} exposure={:?} took_ms={}",
        instance.entry.service,
        instance.entry.id,
        loss.request.map_or("-".into(), |request| request.to_string()),
        PartNames(&loss.parts),
        loss.exposure,
        now_ms.saturating_sub(loss.lost_ms),
    );
}
