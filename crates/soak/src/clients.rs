//! Clients that send requests during a soak and check the responses.

use crate::{
    soak_report::{PendingChecks, SoakReport},
    test_environment::crashing_path,
};
use base::lock;
use platform_stand::{Reply, STREAM_EVENTS, call_with};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

/// Largest number of attempts per stream, each at a randomly chosen daemon.
const MAX_STREAM_ATTEMPTS: u32 = 6;

/// Time for which a client waits for a response. It is longer than the daemons' route timeouts, so that a daemon
/// reports a timeout first.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(14);

/// Share of the streams, and of a part of the calls, whose client closes the connection before the answer is complete.
const ABANDONED_SHARE: f64 = 0.1;

/// Pause between two requests of a client.
const REQUEST_PAUSE: Duration = Duration::from_millis(20);

/// Results of all clients, which they share.
#[derive(Debug, Default)]
pub(crate) struct Findings {
    pub report: SoakReport,
    pub checks: PendingChecks,
}

/// Client that sends one request after another until the soak ends.
pub(crate) struct Client {
    /// Number of the client from 0, part of its request ids.
    pub number: u32,
    pub seed: u64,
    /// Addresses of all daemons for client requests.
    pub entry_addrs: Vec<SocketAddr>,
    pub findings: Arc<Mutex<Findings>>,
    /// Part of a prompt that some of the streams get; `None` outside of an episode.
    pub crashing_part: Arc<Mutex<Option<String>>>,
    /// Set to true when the soak ends.
    pub is_stopped: Arc<AtomicBool>,
}

impl Client {
    /// Sends streams, `GET` calls and `POST` calls at random until the soak ends.
    pub async fn run(self) {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ (u64::from(self.number) << 32));
        let mut request_number = 0;
        while !self.is_stopped.load(Ordering::SeqCst) {
            request_number += 1;
            let id = format!("c{}-{request_number}", self.number);
            match rng.random_range(0..4) {
                0 if rng.random_bool(0.3) && lock(&self.crashing_part).is_some() => {
                    self.send_crashing_stream(&id, &mut rng).await;
                }
                0 if rng.random_bool(ABANDONED_SHARE) => {
                    self.abandon(&id, "/long/x", rng.random_range(1..300)).await;
                }
                0 => self.read_stream(&id, &mut rng).await,
                1 if rng.random_bool(0.1) && lock(&self.crashing_part).is_some() => {
                    self.send_crashing_call(&id, &mut rng).await;
                }
                1 => self.send_call(&id, "GET", "/read/x", &mut rng).await,
                2 if rng.random_bool(ABANDONED_SHARE) => {
                    self.abandon(&id, "/book/x", rng.random_range(1..20)).await;
                }
                _ => self.send_call(&id, "POST", "/book/x", &mut rng).await,
            }
            tokio::time::sleep(REQUEST_PAUSE).await;
        }
    }

    /// Sends a `POST` to the daemon that its number selects, and closes the connection after `wait_ms` if the answer is not
    /// complete by then.
    async fn abandon(&self, id: &str, path: &str, wait_ms: u64) {
        let addr = self.entry_addrs[self.number as usize % self.entry_addrs.len()];
        let headers = [("Credential", "key-1"), ("Deadline-Remaining", "9000")];
        let reply = call_with(addr, "POST", path, id, &headers);
        if tokio::time::timeout(Duration::from_millis(wait_ms), reply).await.is_ok() {
            return;
        }
        let mut findings = lock(&self.findings);
        findings.report.abandoned += 1;
        findings.checks.abandoned.push((id.to_owned(), Instant::now()));
        if path == "/book/x" {
            findings.checks.at_most_once.push(id.to_owned());
        }
    }

    /// Sends a request to a randomly chosen daemon, with `part` in its prompt. Returns `None` without a response within
    /// `RESPONSE_TIMEOUT`.
    async fn send(
        &self,
        method: &str,
        path: &str,
        id: &str,
        part: &str,
        take_up: Option<TakeUp<'_>>,
        rng: &mut SmallRng,
    ) -> Option<Reply> {
        let entry_addr = self.entry_addrs[rng.random_range(0..self.entry_addrs.len())];
        let last_event_id = take_up.map(|take_up| take_up.last_event.to_string());
        let prompt = format!("50:200,{part}:300,{id}:4000");
        let mut headers = vec![
            ("Credential", "key-1"),
            ("Deadline-Remaining", "9000"),
            ("Prompt-Prefix", prompt.as_str()),
        ];
        headers.extend(last_event_id.as_deref().map(|event| ("Last-Event-Id", event)));
        headers.extend(take_up.map(|take_up| ("Resumes", take_up.first_id)));
        let reply = call_with(entry_addr, method, path, id, &headers);
        tokio::time::timeout(RESPONSE_TIMEOUT, reply).await.ok().flatten()
    }

    /// Part of the prompts of this client's sound requests.
    fn own_part(&self) -> String {
        self.number.to_string()
    }

    /// Sends a stream whose prompt crashes engines. Only a refusal or a failure can be the response.
    async fn send_crashing_stream(&self, id: &str, rng: &mut SmallRng) {
        let Some(part) = lock(&self.crashing_part).clone() else { return };
        let reply = self.send("POST", "/long/x", id, &part, None, rng).await;
        let mut findings = lock(&self.findings);
        if reply.is_some_and(|reply| reply.status == 503 && reply.is_complete) {
            findings.report.refused += 1;
            findings.checks.refused.push(id.to_owned());
        }
    }

    /// Sends a call that crashes the servers which run it, the same one for all clients.
    async fn send_crashing_call(&self, id: &str, rng: &mut SmallRng) {
        let Some(part) = lock(&self.crashing_part).clone() else { return };
        let addr = self.entry_addrs[rng.random_range(0..self.entry_addrs.len())];
        let headers = [("Credential", "key-1"), ("Deadline-Remaining", "9000")];
        let path = crashing_path(&part);
        let reply = call_with(addr, "GET", &path, id, &headers);
        let reply = tokio::time::timeout(RESPONSE_TIMEOUT, reply).await.ok().flatten();
        if reply.is_some_and(|reply| reply.status == 503 && reply.is_complete) {
            let mut findings = lock(&self.findings);
            findings.report.refused += 1;
            findings.checks.refused.push(id.to_owned());
        }
    }

    /// Sends a call to a plain service and records its response.
    async fn send_call(&self, id: &str, method: &str, path: &str, rng: &mut SmallRng) {
        let reply = self.send(method, path, id, &self.own_part(), None, rng).await;
        let mut findings = lock(&self.findings);
        let Findings { report, checks } = &mut *findings;
        if method == "POST" {
            checks.at_most_once.push(id.to_owned());
        }
        let Some(reply) = reply else {
            report.failed += 1;
            return;
        };
        check_origin(report, id, &reply);
        match reply.status {
            200 if reply.is_complete => {
                report.answered_calls += 1;
                if reply.body != "ok" {
                    report.violations.push(format!("{id} got the body {:?}", reply.body));
                }
                if method == "POST" {
                    checks.answered_once.push(id.to_owned());
                }
            }
            503 if reply.is_complete => {
                report.refused += 1;
                checks.refused.push(id.to_owned());
            }
            _ => report.failed += 1,
        }
    }

    /// Reads one stream and, after a failed attempt, takes it up at a randomly chosen daemon. The stream begins anew
    /// if its software version is unknown or has left.
    async fn read_stream(&self, id: &str, rng: &mut SmallRng) {
        let mut stream = ReceivedStream::default();
        for attempt in 0..MAX_STREAM_ATTEMPTS {
            let attempt_id = format!("{id}-{attempt}");
            let part = self.own_part();
            let take_up = stream.take_up();
            let reply = self.send("POST", "/long/x", &attempt_id, &part, take_up, rng).await;
            if reply.is_some_and(|reply| self.record_stream_attempt(attempt_id, reply, &mut stream))
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(rng.random_range(50..400))).await;
        }
        lock(&self.findings).report.failed += 1;
    }

    /// Records the response to one attempt of a stream and appends its events to `stream`. Returns whether the stream
    /// is complete.
    fn record_stream_attempt(&self, id: String, reply: Reply, stream: &mut ReceivedStream) -> bool {
        let mut findings = lock(&self.findings);
        let Findings { report, checks } = &mut *findings;
        check_origin(report, &id, &reply);
        report.take_ups += u64::from(stream.take_up().is_some());
        if reply.status == 503 && reply.is_complete {
            report.refused += 1;
            checks.refused.push(id);
            if reply.body.contains("stream_version_") {
                report.refused_take_ups += 1;
                *stream = ReceivedStream::default();
            }
            return false;
        }
        if reply.status != 200 {
            return false;
        }
        if !reply.body.is_empty() && !reply.body.ends_with("\n\n") {
            report.violations.push(format!("{id} got a part of an event"));
        }
        let is_resumed = stream.take_up().is_some();
        stream.append(&id, &reply);
        if stream.versions.len() > 1 {
            let versions = &stream.versions;
            report.violations.push(format!("{id} got events of the versions {versions:?}"));
        }
        if !reply.is_complete {
            return false;
        }
        let events = &stream.events;
        if events.iter().copied().ne(1..=STREAM_EVENTS) {
            report.violations.push(format!("{id} got the events {events:?}"));
        }
        report.whole_streams += 1;
        report.resumed_streams += u64::from(is_resumed);
        true
    }
}

/// Events that a client has received of one stream, over all attempts since it began.
#[derive(Debug, Default)]
struct ReceivedStream {
    events: Vec<u64>,
    /// Software versions of the engines that sent the events.
    versions: Vec<String>,
    /// Id of the attempt that brought the first event; empty before it.
    first_id: String,
}

impl ReceivedStream {
    /// What the next attempt takes up; `None` if there is no event yet.
    fn take_up(&self) -> Option<TakeUp<'_>> {
        let last_event = *self.events.last()?;
        Some(TakeUp { first_id: &self.first_id, last_event })
    }

    /// Appends the events of the response to the attempt `id`.
    fn append(&mut self, id: &str, reply: &Reply) {
        let events = reply.event_ids();
        if self.events.is_empty() && !events.is_empty() {
            self.first_id = id.to_owned();
        }
        self.events.extend(events);
        self.versions.extend(reply.event_versions().into_iter().map(str::to_owned));
        self.versions.dedup();
    }
}

/// Position in a stream from which another attempt goes on.
#[derive(Clone, Copy, Debug)]
struct TakeUp<'a> {
    /// Id of the attempt that brought the first event.
    first_id: &'a str,
    last_event: u64,
}

/// Records a violation if a response with the status 200 does not come from an upstream, or if an upstream's response
/// belongs to another request. Responses of upstreams have the header `server-stamp`.
fn check_origin(report: &mut SoakReport, id: &str, reply: &Reply) {
    let is_from_upstream = reply.header("server-stamp").is_some();
    if reply.status == 200 && !is_from_upstream {
        report.violations.push(format!("{id} got a success without a stamp"));
    }
    if is_from_upstream && reply.header("request-attempt-id") != Some(id) {
        report.violations.push(format!("{id} got the answer of another request"));
    }
}
