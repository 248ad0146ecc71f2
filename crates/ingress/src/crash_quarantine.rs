//! Requests, and parts of prompts, that crash upstreams, by service.

use crate::inbound::Inbound;
use base::{HashMap, ServiceName, lock, stable_hash};
use quarantine::{Admission, Change, Crash, Evidence, Ledger, PartId, PartNames, Verdict};
use serde::{Deserialize, Serialize};
use std::sync::{
    Mutex,
    atomic::{AtomicBool, Ordering},
};
use tokio::sync::Notify;

/// Space for the evidence in one datagram, which must fit into one packet.
const MAX_EVIDENCE_BYTES: usize = 1_100;

/// Largest number of services in one datagram, each of which has space for a crash and some of its parts then.
const MAX_EVIDENCE_SERVICES: usize = 2;

/// Offset of the time in the ledgers from the daemon's clock, which starts at 0 with the daemon. Evidence of other
/// daemons is older than that, up to the hour for which a ledger remembers it.
const LEDGER_OFFSET_MS: u64 = 24 * 3_600_000;

/// Evidence on the engines of one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceEvidence {
    /// Service of the engines.
    pub service: ServiceName,
    /// Crashes and survivals.
    pub evidence: Evidence,
}

/// What the ledgers of a quarantine judge.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Subject {
    /// Parts of prompts that requests share.
    Parts,
    /// Whole requests, by their fingerprints.
    Requests,
}

impl Subject {
    /// Name of the log field for what a verdict is on.
    fn field(self) -> &'static str {
        match self {
            Self::Parts => "parts",
            Self::Requests => "request",
        }
    }
}

/// Ledgers of all services, with the log lines and counters of their verdicts.
#[derive(Debug)]
pub(crate) struct CrashQuarantine {
    subject: Subject,
    ledgers: Mutex<HashMap<ServiceName, Ledger>>,
    /// Number from 0 to 1 that sets the time of this daemon's trials apart from those of other daemons.
    spread: f64,
    /// Wakes the task that sends evidence to other daemons.
    unsent: Notify,
    /// Whether another daemon has sent its evidence since this one started.
    has_heard: AtomicBool,
}

impl CrashQuarantine {
    /// Creates ledgers without crashes.
    pub fn new(subject: Subject, spread: f64) -> Self {
        Self {
            subject,
            ledgers: Mutex::default(),
            spread,
            unsent: Notify::new(),
            has_heard: AtomicBool::new(false),
        }
    }

    fn new_ledger(&self) -> Ledger {
        match self.subject {
            Subject::Parts => Ledger::of_parts(),
            Subject::Requests => Ledger::of_requests(),
        }
    }

    /// Whether no crash at the service is remembered, so that nothing need be asked or recorded.
    pub fn is_empty(&self, service: &ServiceName) -> bool {
        lock(&self.ledgers).get(service).is_none_or(Ledger::is_empty)
    }

    /// Decides whether a request may be sent, as `Ledger::admit`.
    pub fn admit(
        &self,
        service: &ServiceName,
        parts: &[PartId],
        daemons: usize,
        now_ms: u64,
    ) -> Admission {
        match lock(&self.ledgers).get_mut(service) {
            Some(ledger) => ledger.admit(parts, daemons, self.spread, ledger_ms(now_ms)),
            None => Admission::Allowed,
        }
    }

    /// Records a crash that this daemon has seen. Returns whether verdicts have changed.
    pub fn record_crash(&self, service: &ServiceName, crash: Crash, now_ms: u64) -> bool {
        let mut ledgers = lock(&self.ledgers);
        let ledger = ledgers.entry(service.clone()).or_insert_with(|| self.new_ledger());
        let changes = ledger.record_crash(crash, ledger_ms(now_ms));
        self.apply(service, ledger, &changes, now_ms)
    }

    /// Records that an engine survived a request. Returns whether verdicts have changed.
    pub fn record_survival(&self, service: &ServiceName, parts: &[PartId], now_ms: u64) -> bool {
        let mut ledgers = lock(&self.ledgers);
        let Some(ledger) = ledgers.get_mut(service).filter(|ledger| !ledger.is_empty()) else {
            return false;
        };
        let changes = ledger.record_survival(parts, ledger_ms(now_ms));
        self.apply(service, ledger, &changes, now_ms)
    }

    /// Merges the evidence of another daemon. Returns whether verdicts have changed.
    pub fn merge(&self, message: Vec<ServiceEvidence>, now_ms: u64) -> bool {
        self.has_heard.store(true, Ordering::Relaxed);
        let mut has_changed = false;
        let mut ledgers = lock(&self.ledgers);
        for ServiceEvidence { service, evidence } in message {
            if evidence.is_empty() {
                continue;
            }
            let ledger = ledgers.entry(service.clone()).or_insert_with(|| self.new_ledger());
            let changes = ledger.merge(evidence, ledger_ms(now_ms));
            has_changed |= self.apply(&service, ledger, &changes, now_ms);
        }
        has_changed
    }

    /// Whether another daemon has sent its evidence since this one started.
    pub fn has_heard(&self) -> bool {
        self.has_heard.load(Ordering::Relaxed)
    }

    /// Waits until some evidence was not sent to other daemons yet.
    pub async fn wait_for_unsent(&self) {
        self.unsent.notified().await;
    }

    /// Whether some evidence was not sent to other daemons yet.
    pub fn has_unsent(&self) -> bool {
        lock(&self.ledgers).values().any(Ledger::has_unsent)
    }

    /// Evidence that was not returned before, as much as fits into a datagram.
    pub fn news(&self, now_ms: u64) -> Vec<ServiceEvidence> {
        let mut ledgers = lock(&self.ledgers);
        let unsent = ledgers.iter_mut().filter(|(_, ledger)| ledger.has_unsent()).collect();
        datagram(unsent, |ledger, max_bytes| ledger.news(max_bytes, ledger_ms(now_ms)))
    }

    /// Known evidence for another daemon, as much as fits into a datagram. `offset` selects a part of it.
    pub fn evidence(&self, offset: usize, now_ms: u64) -> Vec<ServiceEvidence> {
        let ledgers = lock(&self.ledgers);
        let mut known: Vec<(&ServiceName, &Ledger)> =
            ledgers.iter().filter(|(_, ledger)| !ledger.is_empty()).collect();
        known.sort_by_key(|(service, _)| *service);
        if !known.is_empty() {
            let middle = offset % known.len();
            known.rotate_left(middle);
        }
        datagram(known, |ledger, max_bytes| ledger.evidence(max_bytes, offset, ledger_ms(now_ms)))
    }

    /// Digest of the evidence, the same at daemons that know the same; 0 if there is none.
    pub fn digest(&self) -> u64 {
        let ledgers = lock(&self.ledgers);
        let known = ledgers.iter().filter(|(_, ledger)| !ledger.is_empty());
        let digests = known.map(|(service, ledger)| stable_hash(&(service, ledger.digest())));
        digests.fold(0, u64::wrapping_add)
    }

    /// Forgets evidence that is too old. Returns whether verdicts have changed.
    pub fn expire(&self, now_ms: u64) -> bool {
        let mut has_changed = false;
        for (service, ledger) in lock(&self.ledgers).iter_mut() {
            if !ledger.is_empty() {
                let changes = ledger.expire(ledger_ms(now_ms));
                has_changed |= self.apply(service, ledger, &changes, now_ms);
            }
        }
        has_changed
    }

    /// Logs and counts changes, and wakes the task that sends evidence. Returns whether verdicts have changed.
    fn apply(
        &self,
        service: &ServiceName,
        ledger: &Ledger,
        changes: &[Change],
        now_ms: u64,
    ) -> bool {
        let counters = match self.subject {
            Subject::Parts => {
                ["parts_suspected_total", "parts_condemned_total", "parts_released_total"]
            }
            Subject::Requests => {
                ["requests_suspected_total", "requests_condemned_total", "requests_released_total"]
            }
        };
        let name = self.subject.field();
        for change in changes {
            let (what, counter, verdict) = match change {
                Change::Suspected(verdict) => ("suspected", counters[0], verdict),
                Change::Condemned(verdict) => ("condemned", counters[1], verdict),
                Change::Released(verdict) => ("released", counters[2], verdict),
            };
            metrics::counter!(counter).increment(1);
            log::info!(
                "quarantine: {what} service={service} {name}={} engines={} first_age_ms={} last_age_ms={} \
                 contrast={}",
                PartNames(&verdict.parts),
                engine_names(verdict),
                ledger_ms(now_ms).saturating_sub(verdict.first_ms),
                ledger_ms(now_ms).saturating_sub(verdict.last_ms),
                verdict.has_contrast,
            );
        }
        if ledger.has_unsent() {
            self.unsent.notify_one();
        }
        changes.iter().any(|change| !matches!(change, Change::Suspected(_)))
    }
}

/// Evidence of the first services in one datagram, by `evidence` of a ledger and the number of bytes that it may have. The
/// other services follow in later ones.
fn datagram<L>(
    mut ledgers: Vec<(&ServiceName, L)>,
    evidence: impl Fn(L, usize) -> Evidence,
) -> Vec<ServiceEvidence> {
    ledgers.truncate(MAX_EVIDENCE_SERVICES);
    let max_bytes = MAX_EVIDENCE_BYTES / ledgers.len().max(1);
    let services = ledgers.into_iter().map(|(service, ledger)| ServiceEvidence {
        service: service.clone(),
        evidence: evidence(ledger, max_bytes),
    });
    services.collect()
}

/// Time in the ledgers at `now_ms` on the daemon's clock.
fn ledger_ms(now_ms: u64) -> u64 {
    now_ms + LEDGER_OFFSET_MS
}

/// Logs and counts a request that a verdict refuses after `sends` sends. `kind` is the prefix of the line.
pub(crate) fn log_refusal(
    kind: &str,
    inbound: &Inbound,
    subject: Subject,
    verdict: &Verdict,
    sends: usize,
    now_ms: u64,
) {
    log::info!(
        "{kind}: id={} refused, reason=quarantine {}={} engines={} last_age_ms={} sends={sends}",
        inbound.id_text(),
        subject.field(),
        PartNames(&verdict.parts),
        engine_names(verdict),
        ledger_ms(now_ms).saturating_sub(verdict.last_ms),
    );
    metrics::counter!("requests_quarantined_total").increment(1);
}

/// Identifiers of the engines of a verdict, for logs.
fn engine_names(verdict: &Verdict) -> String {
    let names: Vec<&str> = verdict.engines.iter().map(|engine| &*engine.instance).collect();
    names.join(",")
}
