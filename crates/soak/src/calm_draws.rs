//! Draws that are judged while nothing else fails, so that all daemons are in contact with each other, the store and the
//! upstreams.

use crate::{
    daemon_process::DaemonProcess,
    test_environment::{CONTACT, DRAIN, TestEnvironment},
};
use platform_stand::{Behaviour, Reply, call_with, config};
use rand::{Rng, RngExt};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::{io::AsyncWriteExt, net::TcpStream};

/// Age up to which a request shows that an upstream is in use.
const IN_USE: Duration = Duration::from_secs(5);

/// Time for which an entry that has lapsed is absent after the daemons must have stopped to use it.
const LAPSE_TIME: Duration = Duration::from_millis(1_500);

/// Longest time until an upstream whose entry has come back gets a request, a key is known to all daemons, or a daemon
/// responds beside silent callers.
const LONGEST_WAIT: Duration = Duration::from_secs(20);

/// Time for which a refusing upstream states that it wants no requests, in seconds. It exceeds `FIRST_REFUSALS` and
/// `REFUSAL_TIME` together.
const RETRY_AFTER_S: &str = "6";

/// Time in which the daemons learn from refusals that an upstream wants no requests.
const FIRST_REFUSALS: Duration = Duration::from_secs(1);

/// Time for which the requests to a refusing upstream are counted then.
const REFUSAL_TIME: Duration = Duration::from_secs(4);

/// Key that is withdrawn; no other client uses it.
const WITHDRAWN_KEY: &str = "key-2";

/// Number of connections of silent callers, half of which announce a body.
const SILENT_CALLERS: usize = 60;

/// Number of requests that a silent caller pipelines.
const PIPELINED_REQUESTS: usize = 200;

/// Size of the bodies that silent callers announce: `max_body_bytes` of the configuration. The last byte is never sent.
const BODY_BYTES: usize = 65_536;

/// Time for which the silent callers stay connected.
const SILENT_TIME: Duration = Duration::from_secs(3);

impl TestEnvironment {
    /// Removes the entry of an upstream that lives, and writes it again later. Checks that the daemons send it no request
    /// meanwhile, and requests afterwards.
    pub async fn lapse_entry(&mut self, rng: &mut impl Rng) {
        let Some(position) = self.draw_in_use(None, rng) else { return };
        let upstream = &self.upstreams[position];
        self.store.remove(&upstream.key());
        let removed = Instant::now();
        tokio::time::sleep(DRAIN + LAPSE_TIME).await;
        let late = upstream.requests_after(removed + DRAIN);
        if late > 0 {
            let id = &upstream.upstream.id;
            self.violations.push(format!("{id} got {late} requests after its entry had lapsed"));
        }
        self.store.put(&upstream.key(), &upstream.registry_entry("ready"));
        let returned = Instant::now();
        while upstream.requests_after(returned) == 0 {
            if returned.elapsed() > LONGEST_WAIT {
                let id = &upstream.upstream.id;
                self.violations.push(format!("{id} gets no request after its entry has come back"));
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Makes an instance of the desk refuse all requests and state for how long it wants none. Checks that after the first
    /// refusals it gets at most one from each daemon.
    pub async fn refuse_for_some_time(&mut self, daemons: &[DaemonProcess], rng: &mut impl Rng) {
        let Some(position) = self.draw_in_use(Some("desk"), rng) else { return };
        let upstream = &self.upstreams[position].upstream;
        upstream.set_retry_after(&[RETRY_AFTER_S]);
        upstream.set_behaviours(&[Behaviour::Refuse; 10_000]);
        tokio::time::sleep(FIRST_REFUSALS).await;
        let counted_from = Instant::now();
        tokio::time::sleep(REFUSAL_TIME).await;
        let count = self.upstreams[position].requests_after(counted_from);
        let allowed = daemons.len();
        if count > allowed {
            self.violations.push(format!(
                "{} got {count} requests while it wanted none, allowed {allowed}",
                upstream.id
            ));
        }
        upstream.set_behaviours(&[]);
        upstream.set_retry_after(&[]);
    }

    /// Adds a key, and withdraws it while all connections to the store are silent. Checks that no daemon serves the key
    /// once the change must be known.
    pub async fn withdraw_key(&mut self, daemons: &[DaemonProcess]) {
        self.config_version += 1;
        let keys = format!("\"key-1\",\"{WITHDRAWN_KEY}\"");
        self.store.put("op/config", &config(self.config_version).replace("\"key-1\"", &keys));
        let added = Instant::now();
        for daemon in daemons {
            while !is_served(call_with_key(daemon).await) {
                if added.elapsed() > LONGEST_WAIT {
                    self.violations.push("a daemon does not know a new key".to_owned());
                    return;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        self.store.stall_open_connections();
        self.change_config();
        tokio::time::sleep(CONTACT).await;
        for daemon in daemons {
            let status = call_with_key(daemon).await.map_or(0, |reply| reply.status);
            if status != 401 {
                let addr = daemon.entry_addr;
                let violation = format!("the daemon at {addr} answers {status} to a withdrawn key");
                self.violations.push(violation);
            }
        }
    }

    /// Connects callers to a daemon that pipeline requests or announce large bodies, and read nothing. Checks that the
    /// daemon serves another caller afterwards, and how much memory it has used.
    pub async fn crowd_daemon(&mut self, daemon: &DaemonProcess) {
        let mut callers = Vec::new();
        for number in 0..SILENT_CALLERS {
            callers.push(tokio::spawn(call_silently(daemon.entry_addr, number)));
        }
        tokio::time::sleep(SILENT_TIME).await;
        self.check_memory(std::slice::from_ref(daemon));
        for caller in callers {
            caller.abort();
        }
        let addr = daemon.entry_addr;
        let began = Instant::now();
        let headers = [("Credential", "key-1"), ("Deadline-Remaining", "9000")];
        let call = || call_with(addr, "GET", "/read/x", "after-silent-callers", &headers);
        while !is_served(call().await) {
            if began.elapsed() > LONGEST_WAIT {
                self.violations.push(format!("the daemon at {addr} serves no caller any more"));
                return;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Draws an upstream, of `service` if it is given, that has got a request recently; `None` if there is none.
    fn draw_in_use(&self, service: Option<&str>, rng: &mut impl Rng) -> Option<usize> {
        let since = Instant::now().checked_sub(IN_USE)?;
        let is_in_use = |&position: &usize| {
            let upstream = &self.upstreams[position];
            service.is_none_or(|service| upstream.service == service)
                && upstream.requests_after(since) > 0
        };
        let positions: Vec<usize> = (0..self.upstreams.len()).filter(is_in_use).collect();
        (!positions.is_empty()).then(|| positions[rng.random_range(0..positions.len())])
    }
}

/// Whether a call got the answer of an upstream.
fn is_served(reply: Option<Reply>) -> bool {
    reply.is_some_and(|reply| reply.status == 200)
}

/// Sends a call with the key that is withdrawn.
async fn call_with_key(daemon: &DaemonProcess) -> Option<Reply> {
    let headers = [("Credential", WITHDRAWN_KEY), ("Deadline-Remaining", "1000")];
    let reply = call_with(daemon.entry_addr, "GET", "/read/x", "withdrawn-key", &headers);
    tokio::time::timeout(LONGEST_WAIT, reply).await.ok().flatten()
}

/// Pipelines calls or announces a large body, and reads nothing until the task is aborted.
async fn call_silently(addr: SocketAddr, number: usize) {
    let Ok(mut stream) = TcpStream::connect(addr).await else { return };
    let head = format!(
        "GET /read/x HTTP/1.1\r\nHost: a.example\r\nCredential: key-1\r\nRequest-Attempt-Id: silent-{number}\r\n\
         Deadline-Remaining: 9000\r\n"
    );
    let bytes = match number % 2 {
        0 => format!("{head}Content-Length: 0\r\n\r\n").repeat(PIPELINED_REQUESTS),
        _ => format!("{head}Content-Length: {BODY_BYTES}\r\n\r\n{}", "x".repeat(BODY_BYTES - 1)),
    };
    let _ = stream.write_all(bytes.as_bytes()).await;
    std::future::pending::<()>().await;
}
