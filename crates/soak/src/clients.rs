//! Callers of a soak.

use crate::soak_report::{Claims, SoakReport};
use base::lock;
use platform_stand::{Reply, STREAM_EVENTS, call_with};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// Tries of one stream, each at a daemon that is drawn anew.
const STREAM_TRIES: u32 = 6;

/// Longest wait for an answer. The daemons' route times are shorter.
const ANSWER_WAIT: Duration = Duration::from_secs(14);

/// Pause between two requests of a client.
const PAUSE: Duration = Duration::from_millis(20);

/// What all clients found.
#[derive(Debug, Default)]
pub(crate) struct Findings {
    pub report: SoakReport,
    pub claims: Claims,
}

/// One client: sends requests one after the other until it is stopped.
pub(crate) struct Client {
    pub number: u32,
    pub seed: u64,
    pub entries: Vec<SocketAddr>,
    pub findings: Arc<Mutex<Findings>>,
    pub is_over: Arc<AtomicBool>,
}

impl Client {
    /// Runs until the soak is over.
    pub async fn run(self) {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ (u64::from(self.number) << 32));
        let mut turn = 0;
        while !self.is_over.load(Ordering::SeqCst) {
            turn += 1;
            let id = format!("c{}-{turn}", self.number);
            match rng.random_range(0..4) {
                0 => self.stream(&id, &mut rng).await,
                1 => self.call(&id, "GET", "/read/x", &mut rng).await,
                _ => self.call(&id, "POST", "/book/x", &mut rng).await,
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn send(
        &self,
        method: &str,
        path: &str,
        id: &str,
        last_event: Option<u64>,
        rng: &mut SmallRng,
    ) -> Option<Reply> {
        let entry = self.entries[rng.random_range(0..self.entries.len())];
        let last = last_event.map(|event| event.to_string());
        let mut headers = vec![("Credential", "key-1"), ("Deadline-Remaining", "9000")];
        headers.extend(last.as_deref().map(|event| ("Last-Event-Id", event)));
        let reply = call_with(entry, method, path, id, &headers);
        tokio::time::timeout(ANSWER_WAIT, reply).await.ok().flatten()
    }

    async fn call(&self, id: &str, method: &str, path: &str, rng: &mut SmallRng) {
        let reply = self.send(method, path, id, None, rng).await;
        let mut findings = lock(&self.findings);
        let Findings { report, claims } = &mut *findings;
        if method == "POST" {
            claims.at_most_once.push(id.to_owned());
        }
        let Some(reply) = reply else {
            report.failed += 1;
            return;
        };
        check_own(report, id, &reply);
        match reply.status {
            200 if reply.is_complete => {
                report.answered_calls += 1;
                if reply.body != "ok" {
                    report.violations.push(format!("{id} got the body {:?}", reply.body));
                }
                if method == "POST" {
                    claims.answered_once.push(id.to_owned());
                }
            }
            503 if reply.is_complete => {
                report.refused += 1;
                claims.refused.push(id.to_owned());
            }
            _ => report.failed += 1,
        }
    }

    /// One stream, which goes on at another daemon after a cut.
    async fn stream(&self, id: &str, rng: &mut SmallRng) {
        let mut events: Vec<u64> = Vec::new();
        for attempt in 0..STREAM_TRIES {
            let attempt_id = format!("{id}-{attempt}");
            let reply =
                self.send("POST", "/long/x", &attempt_id, events.last().copied(), rng).await;
            if reply.is_some_and(|reply| self.take_stream(attempt_id, attempt, reply, &mut events))
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(rng.random_range(50..400))).await;
        }
        lock(&self.findings).report.failed += 1;
    }

    /// Takes over the answer to one try of a stream; whether the stream is whole.
    fn take_stream(&self, id: String, attempt: u32, reply: Reply, events: &mut Vec<u64>) -> bool {
        let mut findings = lock(&self.findings);
        let Findings { report, claims } = &mut *findings;
        check_own(report, &id, &reply);
        if reply.status == 503 && reply.is_complete {
            report.refused += 1;
            claims.refused.push(id);
            return false;
        }
        if reply.status != 200 {
            return false;
        }
        if !reply.body.is_empty() && !reply.body.ends_with("\n\n") {
            report.violations.push(format!("{id} got a part of an event"));
        }
        events.extend(reply.event_ids());
        if !reply.is_complete {
            return false;
        }
        if events.iter().copied().ne(1..=STREAM_EVENTS) {
            report.violations.push(format!("{id} got the events {events:?}"));
        }
        report.whole_streams += 1;
        report.resumed_streams += u64::from(attempt > 0);
        true
    }
}

/// Checks that an answer of an upstream belongs to the request.
fn check_own(report: &mut SoakReport, id: &str, reply: &Reply) {
    let is_upstreams = reply.header("server-stamp").is_some();
    if reply.status == 200 && !is_upstreams {
        report.violations.push(format!("{id} got a success without a stamp"));
    }
    if is_upstreams && reply.header("request-attempt-id") != Some(id) {
        report.violations.push(format!("{id} got the answer of another request"));
    }
}
