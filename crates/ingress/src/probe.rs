//! Asks engines for their load before a request is sent.

use crate::{
    answer::keep_alive_s, core::Core, engine_report::EngineReport, exchange::connect,
    instance::Instance, lease::InstanceLease,
};
use bytes::Bytes;
use futures::future::join_all;
use http_body_util::Full;
use hyper::{Request, StatusCode, Uri, header::HOST};
use std::{sync::Arc, time::Duration};
use web::{ClientError, read_body};

/// Longest wait for a report. An engine that does not answer by then is taken for dead, which costs less than sending
/// the request to it.
const PROBE_WAIT_MS: u64 = 80;

/// Largest report.
const REPORT_SIZE_BYTES: usize = 64 * 1024;

/// Asks all candidates at the same time and chooses the one with the fewest requests; `None` if none answers.
///
/// A report shows what the daemon cannot know otherwise: the requests of other daemons, and that an address belongs to
/// an engine that was started again. Sending the request there would take a repeat from the fleet's budget.
pub(crate) async fn choose_probed(
    core: &Core,
    candidates: Vec<Arc<Instance>>,
) -> Option<Arc<Instance>> {
    let probes = candidates.into_iter().map(|instance| async move {
        let report = probe(core, &instance).await?;
        Some((report, instance))
    });
    let answered = join_all(probes).await.into_iter().flatten();
    answered.min_by_key(|(report, instance)| load(report, instance)).map(|(_, instance)| instance)
}

/// Load by which candidates are compared: first whether there is room, then the requests. A report is old, so requests
/// that this daemon has sent since count as well.
fn load(report: &EngineReport, instance: &Instance) -> (bool, u32) {
    let is_full = report.used_tokens * 10 > report.memory_tokens * 9;
    // The probe itself is counted as in flight.
    (is_full, report.requests.max(instance.in_flight().saturating_sub(1)))
}

/// The report of an engine, if it is the one that is listed.
async fn probe(core: &Core, instance: &Arc<Instance>) -> Option<EngineReport> {
    let wait = Duration::from_millis(PROBE_WAIT_MS);
    let outcome = tokio::time::timeout(wait, fetch(core, instance)).await;
    let report = match outcome {
        Ok(Ok(report)) => report,
        Ok(Err(err)) => {
            log::info!("probe: instance={} failed: {err}", instance.entry.id);
            core.lost(instance);
            return None;
        }
        Err(_) => {
            log::info!("probe: instance={} gave no report in time", instance.entry.id);
            core.lost(instance);
            return None;
        }
    };
    let report = (core.names.decode_report)(&report)?;
    if report.born_unix_ms.is_some() && report.born_unix_ms != instance.entry.born_unix_ms {
        log::info!("probe: instance={} was replaced at its address", instance.entry.id);
        instance.replaced();
        return None;
    }
    Some(report)
}

async fn fetch(core: &Core, instance: &Arc<Instance>) -> Result<Bytes, ClientError> {
    let lease = InstanceLease::new(Arc::clone(instance));
    let mut connection = match instance.connections.take(core.clock.now_ms()) {
        Some(connection) => connection,
        None => connect(instance).await?,
    };
    let mut request = Request::new(Full::default());
    *request.uri_mut() = Uri::from_static(core.names.report_path);
    if let Ok(host) = instance.entry.addr.to_string().parse() {
        request.headers_mut().insert(HOST, host);
    }
    let response = connection.send(request).await?;
    let (head, body) = response.into_parts();
    let body = read_body(body, REPORT_SIZE_BYTES).await?;
    let keep_alive_s = keep_alive_s(&head.headers);
    lease.connections.put(connection, keep_alive_s, core.clock.now_ms());
    // An engine that answers is alive, whatever it says of its load.
    Ok(if head.status == StatusCode::OK { body } else { Bytes::new() })
}
