//! Asks engines for their load before a request is sent.

use crate::{
    core::Core, engine_call::engine_call, engine_report::EngineReport, instance::Instance,
    lease::InstanceLease,
};
use futures::future::join_all;
use hyper::Method;
use std::sync::Arc;

/// Time for which an engine that answered is not asked again whether it is alive.
const KNOWN_ALIVE_MS: u64 = 150;

/// Prompts that wait at an engine from which on another one is not sent there while better engines may come. Reading
/// one takes about a second, and callers wait a few seconds for the first event.
const MANY_PROMPTS: u32 = 3;

/// Engines that answered, the one with the least work first.
#[derive(Debug, Default)]
pub(crate) struct Probed {
    answered: Vec<(Load, Arc<Instance>)>,
    /// Whether engines were lost lately. A copy takes as much memory as its run; while no engines are lost, high load is
    /// served better if the memory holds runs.
    has_losses: bool,
}

impl Probed {
    /// The engine with the least work; `None` if none answered.
    pub fn best(&self) -> Option<&Arc<Instance>> {
        self.answered.first().map(|(_, instance)| instance)
    }

    /// Whether a new prompt would wait for long at all of them.
    pub fn is_busy(&self) -> bool {
        self.answered.first().is_some_and(|(load, _)| load.pending_prefills >= MANY_PROMPTS)
    }

    /// The best engine with room for a copy of a run at `instance`: one of another failure domain, since the engines of
    /// a failure domain tend to fail together.
    pub fn copy_target(&self, instance: &Instance) -> Option<&Arc<Instance>> {
        let has_room = |load: &Load| match self.has_losses {
            true => !load.is_full,
            false => load.is_half_empty,
        };
        let mut with_room = self.answered.iter().filter(|(load, _)| has_room(load));
        let (_, target) =
            with_room.find(|(_, target)| target.entry.domain != instance.entry.domain)?;
        Some(target)
    }
}

/// Asks all candidates at the same time.
///
/// A report shows what the daemon cannot know otherwise: the requests of other daemons, and that an address belongs to
/// an engine that was started again. Sending the request there would take a repeat from the fleet's budget.
pub(crate) async fn probe_all(core: &Core, candidates: Vec<Arc<Instance>>) -> Probed {
    let probes = candidates.into_iter().map(|instance| async move {
        let report = probe(core, &instance).await?;
        Some((report, instance))
    });
    let answered = join_all(probes).await.into_iter().flatten();
    let mut answered: Vec<_> =
        answered.map(|(report, instance)| (Load::of(&report, &instance), instance)).collect();
    answered.sort_by_key(|(load, _)| *load);
    Probed { answered, has_losses: core.has_recent_losses() }
}

/// Whether an engine is alive: it answered a short while ago, or does so now.
pub(crate) async fn is_alive(core: &Core, instance: &Arc<Instance>) -> bool {
    let now_ms = core.clock.now_ms();
    instance.was_heard(KNOWN_ALIVE_MS, now_ms) || probe(core, instance).await.is_some()
}

/// What an engine says of a request that is silent there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Checked {
    /// It does not answer.
    Dead,
    /// It answers, and does not list a run of the request.
    Alive,
    /// It lists a run of the request.
    Working,
}

/// Asks an engine for a request that is silent there.
pub(crate) async fn check(core: &Core, instance: &Arc<Instance>, request_id: &str) -> Checked {
    let Some(report) = probe(core, instance).await else { return Checked::Dead };
    match report.runs.iter().any(|id| **id == *request_id) {
        true => Checked::Working,
        false => Checked::Alive,
    }
}

/// Load by which candidates are compared: first whether there is room for a usual request, which takes up to an eighth of
/// the memory, then how many prompts a new one waits for, then
/// how many streams it slows down.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Load {
    is_full: bool,
    pending_prefills: u32,
    requests: u32,
    is_half_empty: bool,
}

impl Load {
    /// A report is old, so what this daemon has sent since counts as well.
    fn of(report: &EngineReport, instance: &Instance) -> Self {
        Self {
            is_full: report.kv_used_tokens * 8 > report.kv_cache_tokens * 7,
            pending_prefills: report.pending_prefills.max(instance.pending_prefills()),
            // The probe itself is counted as in flight.
            requests: report.requests.max(instance.in_flight().saturating_sub(1)),
            is_half_empty: report.kv_used_tokens * 2 <= report.kv_cache_tokens,
        }
    }
}

/// The report of an engine, if it is the one that is listed.
async fn probe(core: &Core, instance: &Arc<Instance>) -> Option<EngineReport> {
    let _lease = InstanceLease::new(Arc::clone(instance));
    let path = core.dialect.report_path;
    let wait_ms = core.options.report_timeout_ms;
    let answer = engine_call(core, instance, Method::GET, path, Vec::new(), wait_ms).await;
    let report = match answer {
        Ok((_, report)) => (core.dialect.decode_report)(&report)?,
        Err(err) => {
            log::info!("probe: instance={} failed: {err}", instance.entry.id);
            core.lost(instance);
            return None;
        }
    };
    if report.started_unix_ms.is_some() && report.started_unix_ms != instance.entry.started_unix_ms
    {
        log::info!("probe: instance={} was replaced at its address", instance.entry.id);
        instance.retire();
        core.instances_changed();
        return None;
    }
    instance.heard(core.clock.now_ms());
    Some(report)
}
