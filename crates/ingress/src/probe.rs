//! Probes of engines for their load, and health checks.

use crate::{
    attempt_error::AttemptError, core::Core, engine_call::report_call, engine_report::EngineReport,
    exchange::return_connection, instance::Instance, instance_connection::InstanceConnection,
    instance_guards::InFlightGuard, response_head::keep_alive_s,
};
use base::{DomainName, ServiceName};
use bytes::Bytes;
use futures::future::join_all;
use hyper::Response;
use limit::{EngineLoad, EngineOffer, StreamAsk, URGENCY_LEVELS};
use std::{io::ErrorKind, sync::Arc};
use web::ClientError;

/// How long after a response an engine counts as alive without another probe.
const KNOWN_ALIVE_MS: u64 = 150;

/// Number of pending prefills from which an engine counts as busy. One prefill takes about a second, and callers wait a
/// few seconds for the first event.
const BUSY_PREFILLS: u32 = 3;

/// Duration of a prefill at an engine that is not busy.
pub(crate) const PREFILL_MS: u64 = 1_200;

/// Duration of a whole stream until the durations of enough streams are known.
const STREAM_MS: u64 = 6_000;

/// Number of connections on which a load report is requested before a request, because engines close some connections
/// after a response.
const MAX_VERIFICATIONS: usize = 3;

/// Engines that responded to a probe.
#[derive(Debug, Default)]
pub(crate) struct ProbedEngines {
    /// Engines in the order of their load, the least loaded one first.
    engines: Vec<(Load, Arc<Instance>)>,
    /// Whether instances were lost recently. A KV cache replica takes as much memory as the request that it replicates,
    /// so without losses a loaded engine serves more requests if it holds no replicas.
    has_losses: bool,
    /// Usual time of one prefill.
    prefill_ms: u64,
    /// Usual duration of a stream.
    stream_ms: u64,
    /// When the engines were probed.
    probed_ms: u64,
}

impl ProbedEngines {
    /// Describes the engines for a stream with `prompt_tokens`.
    pub fn offers(&self, ask: &StreamAsk, prompt_tokens: u64) -> Vec<EngineOffer> {
        let has_less_urgent = ask.class.has_less_urgent();
        let offers = self.engines.iter().map(|(load, instance)| {
            // Only the prompts that are being read come before a stream that overtakes those that wait.
            let (load, pending_prefills) = match has_less_urgent {
                true => (load.detail.without_queue(), load.detail.prefilling),
                false => (load.detail, load.pending_prefills),
            };
            let rates = &instance.rates;
            let first_event_ms = match rates.service().has_uneven_engines(self.probed_ms) {
                true => {
                    rates.first_event_ms(pending_prefills, prompt_tokens, self.probed_ms) as u64
                }
                false => (u64::from(pending_prefills) + 1).saturating_mul(self.prefill_ms),
            };
            let memory_wait_ms = load.memory_wait_ms(ask.tokens, self.stream_ms);
            EngineOffer { load, first_event_ms: first_event_ms + memory_wait_ms }
        });
        offers.collect()
    }

    /// Engine at a position in the order of their load; `None` beyond the last one.
    pub fn get(&self, position: usize) -> Option<&Arc<Instance>> {
        self.engines.get(position).map(|(_, instance)| instance)
    }

    /// The least loaded engine; `None` if none responded.
    pub fn best(&self) -> Option<&Arc<Instance>> {
        self.engines.first().map(|(_, instance)| instance)
    }

    /// Whether even at the least loaded engine, the pending prefills take as long as `BUSY_PREFILLS` at a usual one.
    pub fn is_busy(&self) -> bool {
        self.engines.first().is_some_and(|(load, _)| load.wait_per_mille >= BUSY_PREFILLS * 1_000)
    }

    /// The least loaded engine with capacity for a KV cache replica of a request at `instance`; `None` if there is
    /// none. The engine has the software version of `instance`, because the request cannot go on at another one, and is
    /// in another failure domain, because the engines of one failure domain tend to fail together.
    ///
    /// An engine in the daemon's own failure domain `own_domain` is preferred, because it stays reachable if the domain
    /// is partitioned from the others.
    pub fn replica_target(
        &self,
        instance: &Instance,
        own_domain: &DomainName,
    ) -> Option<&Arc<Instance>> {
        let has_capacity = |load: &Load| match self.has_losses {
            true => !load.is_full,
            false => load.is_half_empty,
        };
        let targets = || {
            let with_capacity = self.engines.iter().filter(|(load, _)| has_capacity(load));
            let targets = with_capacity.map(|(_, target)| target);
            targets.filter(|target| {
                target.entry.domain != instance.entry.domain
                    && target.entry.software_version == instance.entry.software_version
            })
        };
        targets().find(|target| target.entry.domain == *own_domain).or_else(|| targets().next())
    }
}

/// Probes all candidates concurrently for a request with `prompt_tokens`; 0 if they are not known.
///
/// A report shows what the daemon cannot know otherwise: the requests of other daemons, and whether the engine was
/// restarted. A request to a restarted engine would be rejected, and its retry would use up retry budget of the fleet.
pub(crate) async fn probe_all(
    core: &Core,
    service: &ServiceName,
    candidates: Vec<Arc<Instance>>,
    prompt_tokens: u64,
) -> ProbedEngines {
    let probes = candidates.into_iter().map(|instance| async move {
        let report = probe(core, &instance).await?;
        // The report may be the first answer that states that the engine leaves.
        instance.accepts_requests().then_some((report, instance))
    });
    let responses = join_all(probes).await.into_iter().flatten();
    let responses: Vec<_> = responses.collect();
    // All loads are computed for one time, so that equal engines have equal rates.
    let probed_ms = core.clock.now_ms();
    let loads = responses.into_iter().map(|(report, instance)| {
        let load = Load::of(&report, &instance, prompt_tokens, probed_ms);
        instance.rates.record_report(load.pending_prefills, probed_ms);
        (load, instance)
    });
    let mut engines: Vec<_> = loads.collect();
    engines.sort_by_key(|(load, _)| *load);
    let timing = core.timing(service);
    // The measured wait for the first event contains the prefills of other requests, if there were any.
    let prefill_ms = timing.first_token_ms.map_or(PREFILL_MS, |ms| (ms as u64).min(PREFILL_MS));
    let stream_ms = timing.generation_ms.map_or(STREAM_MS, |ms| ms as u64);
    let has_losses = core.has_recent_losses();
    ProbedEngines { engines, has_losses, prefill_ms, stream_ms, probed_ms }
}

/// Whether an engine is alive: it responded recently, or responds to a probe now.
pub(crate) async fn is_alive(core: &Core, instance: &Arc<Instance>) -> bool {
    let now_ms = core.clock.now_ms();
    instance.has_responded(KNOWN_ALIVE_MS, now_ms) || probe(core, instance).await.is_some()
}

/// Result of the health check of an engine that sends no events for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EngineHealth {
    /// The engine has ended: it refuses connections, or another one now has its address.
    Dead,
    /// The engine closed the connection without a report. It may have reset it at its limit.
    Closed,
    /// The engine gave no valid report in time. It may be silent only for a while.
    Unresponsive,
    /// The engine responds, and its report does not list the request.
    Alive,
    /// The engine's report lists the request as running.
    Working,
}

/// Checks the health of an engine that sends no events for the request `request_id`.
pub(crate) async fn check_health(
    core: &Core,
    instance: &Arc<Instance>,
    request_id: &str,
) -> EngineHealth {
    let report = match check_report(core, instance).await {
        Ok(report) => report,
        Err(health) => return health,
    };
    match report.runs.iter().any(|run| *run.request_id == *request_id) {
        true => EngineHealth::Working,
        false => EngineHealth::Alive,
    }
}

/// Load of an engine, ordered by its effect on a new request.
///
/// Engines are compared by whether the KV cache has capacity for a typical request, which takes up to an eighth of it,
/// then by the expected time to the first event, then by the time per event, then by the requests that it slows down. Of
/// engines with the same rates, the first event is expected earlier at one with fewer pending prefills.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Load {
    /// Whether less than an eighth of the KV cache is free.
    is_full: bool,
    /// Expected time to the first event of the request. Milliseconds would not tell pending short prompts apart.
    first_event_us: u64,
    /// Time per event in thousandths of the usual one.
    event_time_per_mille: u32,
    requests: u32,
    /// Whether at least half of the KV cache is free.
    is_half_empty: bool,
    pending_prefills: u32,
    /// Time of the pending prefills, in thousandths of the usual time of one prefill.
    wait_per_mille: u32,
    /// Figures from which the wait of a stream is estimated.
    detail: EngineLoad,
}

impl Load {
    /// Computes the load from a report and from the requests that this daemon has in flight, because a report lags
    /// behind.
    fn of(report: &EngineReport, instance: &Instance, prompt_tokens: u64, now_ms: u64) -> Self {
        let pending_prefills = report.pending_prefills.max(instance.pending_prefills());
        let detail = EngineLoad {
            running: report.requests.saturating_sub(report.queued),
            queued: report.queued,
            prefilling: pending_prefills.saturating_sub(report.queued),
            used_tokens: report.kv_used_tokens,
            capacity_tokens: report.kv_cache_tokens,
            tokens_by_urgency: tokens_by_urgency(report),
        };
        let rates = &instance.rates;
        let prefill_time = rates.relative_prefill_time(now_ms);
        let (first_event_ms, event_time) = match rates.service().has_uneven_engines(now_ms) {
            true => (
                rates.first_event_ms(pending_prefills, prompt_tokens, now_ms),
                rates.relative_event_time(now_ms),
            ),
            // Equal engines differ in what was learned of them only by their load at the time.
            false => (f64::from(pending_prefills), 1.0),
        };
        Self {
            is_full: report.kv_used_tokens * 8 > report.kv_cache_tokens * 7,
            first_event_us: (first_event_ms * 1_000.0) as u64,
            event_time_per_mille: (event_time * 1_000.0) as u32,
            pending_prefills,
            wait_per_mille: (f64::from(pending_prefills) * prefill_time * 1_000.0) as u32,
            detail,
            // The probe itself counts as in flight.
            requests: report.requests.max(instance.in_flight().saturating_sub(1)),
            is_half_empty: report.kv_used_tokens * 2 <= report.kv_cache_tokens,
        }
    }
}

/// Tokens of the running requests by their urgency level.
fn tokens_by_urgency(report: &EngineReport) -> [u64; URGENCY_LEVELS] {
    let mut tokens = [0_u64; URGENCY_LEVELS];
    for run in &report.runs {
        if let Some(sum) = run.urgency.and_then(|level| tokens.get_mut(usize::from(level))) {
            *sum = sum.saturating_add(run.kv_tokens);
        }
    }
    tokens
}

/// Requests the load report of an engine; `None` if the engine does not respond, or if its start time shows that
/// another one now has the address of the registry entry.
pub(crate) async fn probe(core: &Core, instance: &Arc<Instance>) -> Option<EngineReport> {
    check_report(core, instance).await.ok()
}

/// Requests the load report of an engine, and records a loss if the call fails.
///
/// # Errors
///
/// As for `ask_report`.
async fn check_report(core: &Core, instance: &Arc<Instance>) -> Result<EngineReport, EngineHealth> {
    let _guard = InFlightGuard::new(Arc::clone(instance));
    let call = request_report(core, instance).await;
    if call.is_err() {
        core.record_loss(instance);
    }
    return_report(core, instance, call)
}

/// Requests the load report of an engine.
///
/// # Errors
///
/// `Dead`, `Closed` or `Unresponsive`, if the engine does not respond or is another one.
pub(crate) async fn ask_report(
    core: &Core,
    instance: &Arc<Instance>,
) -> Result<EngineReport, EngineHealth> {
    let call = request_report(core, instance).await;
    return_report(core, instance, call)
}

async fn request_report(
    core: &Core,
    instance: &Arc<Instance>,
) -> Result<(Response<Bytes>, InstanceConnection), ClientError> {
    let pooled = instance.connections.take(core.clock.now_ms());
    let call = report_call(core, instance, pooled).await;
    call.inspect_err(|err| log::info!("probe: instance={} failed: {err}", instance.entry.id))
}

/// Returns the report of a call and puts its connection into the pool, or returns what the failure of the call shows.
fn return_report(
    core: &Core,
    instance: &Arc<Instance>,
    call: Result<(Response<Bytes>, InstanceConnection), ClientError>,
) -> Result<EngineReport, EngineHealth> {
    let (response, connection) = call.map_err(|err| match err {
        err if shows_end(&err) => EngineHealth::Dead,
        err if is_timeout(&err) => EngineHealth::Unresponsive,
        _ => EngineHealth::Closed,
    })?;
    let (report, connection) = accept_report(core, instance, &response, connection)?;
    return_connection(core, instance, connection, response.headers());
    Ok(report)
}

/// Opens a connection to an engine and makes sure by a load report that the process of the registry entry has accepted
/// it.
///
/// # Errors
///
/// `NotSent` if no report arrives, and `NotAccepting` if another process has the address or closes all connections.
pub(crate) async fn connect_verified(
    core: &Core,
    instance: &Arc<Instance>,
) -> Result<InstanceConnection, AttemptError> {
    for _ in 0..MAX_VERIFICATIONS {
        let call = report_call(core, instance, None).await;
        let (response, connection) = call.map_err(AttemptError::NotSent)?;
        let accepted = accept_report(core, instance, &response, connection);
        let (_, connection) = accepted.map_err(|_| AttemptError::NotAccepting)?;
        if keep_alive_s(response.headers()) != Some(0) {
            return Ok(connection);
        }
    }
    Err(AttemptError::NotAccepting)
}

/// Decodes a load report and records what it states about the instance. Returns the report and the connection, which is
/// verified by it.
///
/// # Errors
///
/// `Unresponsive` if the report is malformed, and `Dead` if it is from another process.
fn accept_report(
    core: &Core,
    instance: &Instance,
    response: &Response<Bytes>,
    connection: InstanceConnection,
) -> Result<(EngineReport, InstanceConnection), EngineHealth> {
    let report = (core.dialect.decode_report)(response.body()).ok_or(EngineHealth::Unresponsive)?;
    if report.started_unix_ms.is_some() && report.started_unix_ms != instance.entry.started_unix_ms
    {
        log::info!("probe: instance={} was replaced at its address", instance.entry.id);
        instance.retire();
        core.notify_instances_changed();
        return Err(EngineHealth::Dead);
    }
    instance.record_response(core.clock.now_ms());
    core.record_statements(instance, response.status(), response.headers());
    Ok((report, InstanceConnection { is_reused: true, is_verified: true, ..connection }))
}

/// Whether a failed call shows that the upstream has ended. One that lives may send nothing in time, reset connections
/// beyond its limit, or close an idle connection just when it is used.
pub(crate) fn shows_end(err: &ClientError) -> bool {
    matches!(err, ClientError::Connect(err) if err.kind() == ErrorKind::ConnectionRefused)
}

/// Whether a call failed because nothing arrived in time.
pub(crate) fn is_timeout(err: &ClientError) -> bool {
    match err {
        ClientError::Timeout(_) => true,
        ClientError::Connect(err) => err.kind() == ErrorKind::TimedOut,
        _ => false,
    }
}
