//! Exchange of messages between daemons: loans of retries and requests, evidence on crashes, rates of engines, KV cache
//! replicas and configurations.

use crate::{
    core::Core,
    crash_quarantine::Subject,
    peer_message::{ConfigPart, MESSAGE_SIZE_BYTES, PeerMessage},
    shared_rates::SharedRates,
};
use base::{HashMap, ServiceName, lock};
use futures::future::join_all;
use limit::Urgency;
use std::{
    io::Result as IoResult,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::{net::UdpSocket, sync::oneshot};

/// Number of daemons that are asked for a retry or a request, one after the other.
const MAX_ASKED_DAEMONS: usize = 3;

/// Longest wait for an answer. A datagram takes about a millisecond inside the site, and a daemon too busy to answer
/// soon is skipped.
const ANSWER_TIMEOUT_MS: u64 = 20;

/// Longest wait for an answer that tells where a KV cache replica is, while none is known. A new prefill takes more than a
/// second, so that a busy daemon is worth the wait.
const COPY_ANSWER_TIMEOUT_MS: u64 = 60;

/// Number of daemons that are told new evidence on crashes. Each of them tells as many others, so that it spreads to a
/// large fleet within a few messages.
const EVIDENCE_FANOUT: usize = 4;

/// Time after which the digest of known evidence is sent to one daemon, picked at random, in case an earlier message was
/// lost.
const EVIDENCE_DIGEST_MS: u64 = 500;

/// Shortest time between two messages with new evidence, which collects the crashes of a burst.
const EVIDENCE_PAUSE_MS: u64 = 20;

/// Number of requests for evidence that a daemon sends after its start, until one is answered.
const EVIDENCE_REQUESTS: u32 = 20;

/// Number of daemons that are asked for evidence at a time.
const EVIDENCE_REQUEST_FANOUT: usize = 2;

/// Time between two judgements of running rollouts, and so the shortest time between two reports.
const ROLLOUT_TICK_MS: u64 = 50;

/// Time between two messages with the rates of engines, each to one daemon that is picked at random. Engines restart
/// every half minute on bad days, and their rates should be known to most daemons within a few seconds.
const RATES_INTERVAL_MS: u64 = 500;

/// UDP socket for messages between daemons.
///
/// Borrows retries from other daemons when this daemon's retry budget is exhausted, and requests to an upstream when
/// its share in the upstream's limit is used up, and lends them both. Exchanges evidence on prompts that crash engines.
///
/// The loss of a failure domain affects some daemons more than others, while the retry budget holds for the whole
/// fleet. A lent retry is withdrawn from the lender's budget, so the sum of the budgets never grows. An answer that is
/// lost wastes one retry.
#[derive(Debug)]
pub struct PeerSocket {
    socket: UdpSocket,
    /// Questions that wait for an answer, by their number.
    pending: Mutex<HashMap<u64, Question>>,
}

/// Question that waits for an answer.
#[derive(Debug)]
struct Question {
    /// Daemon that was asked. An answer from any other address is ignored.
    asked: SocketAddr,
    /// Delivers the answer to the request that waits for it.
    sender: oneshot::Sender<Answer>,
}

/// Answer of another daemon.
#[derive(Debug)]
enum Answer {
    /// Whether the daemon grants or knows what it was asked for.
    Granted(bool),
    /// Part of its configuration.
    Config(Option<ConfigPart>),
}

impl PeerSocket {
    /// Binds a UDP socket to `addr`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn bind(addr: SocketAddr) -> IoResult<Self> {
        Ok(Self { socket: UdpSocket::bind(addr).await?, pending: Mutex::default() })
    }

    /// Address that the socket is bound to.
    ///
    /// # Errors
    ///
    /// The address cannot be read from the socket.
    pub fn local_addr(&self) -> IoResult<SocketAddr> {
        self.socket.local_addr()
    }

    /// Receives and answers messages of other daemons and sends evidence, as long as the future is polled.
    pub async fn run(self: Arc<Self>, core: Arc<Core>) {
        tokio::join!(
            self.receive(&core),
            self.share_evidence(&core),
            self.share_rates(&core),
            self.share_rollouts(&core),
            self.share_copies(&core),
        );
    }

    /// Sends new evidence to other daemons at once, and the digest of known evidence from time to time.
    async fn share_evidence(&self, core: &Core) {
        let mut requests = 0;
        loop {
            let pause = Duration::from_millis(EVIDENCE_DIGEST_MS);
            // A timeout means that there is nothing new.
            let unsent = async {
                tokio::select! {
                    () = core.part_quarantine.wait_for_unsent() => {}
                    () = core.request_quarantine.wait_for_unsent() => {}
                }
            };
            // What did not fit into the last messages is sent without another notice.
            if !core.has_unsent_evidence() {
                let _ = tokio::time::timeout(pause, unsent).await;
            }
            if requests < EVIDENCE_REQUESTS && !core.has_heard_evidence() {
                for peer in core.random_peers(EVIDENCE_REQUEST_FANOUT) {
                    requests += 1;
                    self.send(&PeerMessage::EvidenceRequest, peer).await;
                }
            }
            core.expire_evidence();
            let (fanout, mut messages) = match core.has_unsent_evidence() {
                true => (EVIDENCE_FANOUT, core.evidence_news()),
                false => (1, vec![core.evidence_digest()]),
            };
            messages.retain(PeerMessage::has_content);
            for peer in core.random_peers(fanout) {
                for message in &messages {
                    self.send(message, peer).await;
                }
            }
            tokio::time::sleep(Duration::from_millis(EVIDENCE_PAUSE_MS)).await;
        }
    }

    /// Sends the counts of running rollouts to their judges, and verdicts to all daemons.
    async fn share_rollouts(&self, core: &Core) {
        let own = self.local_addr().ok();
        loop {
            if !core.rollouts.is_active() {
                core.rollouts.started.notified().await;
            }
            let (reports, verdicts) = core.rollouts.tick(own);
            for (judges, report) in reports {
                for judge in judges {
                    self.send(&PeerMessage::RolloutReport(report.clone()), judge).await;
                }
            }
            for (daemons, verdict) in verdicts {
                for daemon in daemons {
                    self.send(&PeerMessage::RolloutReply(verdict.clone()), daemon).await;
                }
            }
            tokio::time::sleep(Duration::from_millis(ROLLOUT_TICK_MS)).await;
        }
    }

    /// Tells another daemon the rates of engines, as long as there are engines that differ.
    async fn share_rates(&self, core: &Core) {
        loop {
            tokio::time::sleep(Duration::from_millis(RATES_INTERVAL_MS)).await;
            let services = core.with_registry(|registry, now_ms| registry.shared_rates(now_ms));
            for rates in services {
                let Some(&peer) = core.random_peers(1).first() else { break };
                self.send(&rates_message(rates), peer).await;
                metrics::counter!("engine_rates_sent_total").increment(1);
            }
        }
    }

    /// Tells a few other daemons where the KV cache replicas of this daemon's streams are.
    async fn share_copies(&self, core: &Core) {
        let own = self.local_addr().ok();
        loop {
            let (message, daemons) = core.versions.copies.next(own).await;
            for daemon in daemons {
                self.send(&message, daemon).await;
                metrics::counter!("stream_copies_sent_total").increment(1);
            }
        }
    }

    /// Receives messages of other daemons and answers their questions.
    async fn receive(&self, core: &Core) {
        let mut buffer = [0; MESSAGE_SIZE_BYTES];
        loop {
            let (size, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(err) => {
                    // The error may report an earlier datagram to a daemon that no longer runs.
                    log::debug!("loan: receiving failed: {err}");
                    tokio::time::sleep(Duration::from_millis(1)).await;
                    continue;
                }
            };
            match PeerMessage::decode(&buffer[..size]) {
                Some(PeerMessage::Ask { number, service, urgency }) if core.is_peer(from) => {
                    let is_granted = core.lend_retry(&service, urgency);
                    self.send(&PeerMessage::Answer { number, is_granted }, from).await;
                }
                Some(PeerMessage::AskRequest { number, instance }) if core.is_peer(from) => {
                    let is_granted = core.lend_request(&instance);
                    self.send(&PeerMessage::Answer { number, is_granted }, from).await;
                }
                Some(PeerMessage::Answer { number, is_granted }) => {
                    self.on_answer(number, Answer::Granted(is_granted), from);
                }
                Some(PeerMessage::Evidence(message)) if core.is_peer(from) => {
                    core.merge_evidence(Subject::Parts, message);
                }
                Some(PeerMessage::RequestEvidence(message)) if core.is_peer(from) => {
                    core.merge_evidence(Subject::Requests, message);
                }
                Some(PeerMessage::Rates(rates)) if core.is_peer(from) => {
                    core.with_registry(|registry, now_ms| registry.merge_rates(&rates, now_ms));
                }
                Some(PeerMessage::EvidenceRequest) if core.is_peer(from) => {
                    for message in core.evidence() {
                        self.send(&message, from).await;
                    }
                }
                // If it is the sender that knows less, it asks when it receives a digest itself.
                Some(digest @ PeerMessage::EvidenceDigest { .. }) if core.is_peer(from) => {
                    if digest != core.evidence_digest() {
                        self.send(&PeerMessage::EvidenceRequest, from).await;
                    }
                }
                Some(PeerMessage::Restarts(restarts)) if core.is_peer(from) => {
                    core.apply_restarts(restarts);
                }
                Some(PeerMessage::RolloutReport(report)) if core.is_peer(from) => {
                    if let Some(reply) = core.rollouts.merge_report(report) {
                        self.send(&PeerMessage::RolloutReply(reply), from).await;
                    }
                }
                Some(PeerMessage::RolloutReply(reply)) if core.is_peer(from) => {
                    core.rollouts.merge_reply(&reply);
                }
                Some(PeerMessage::Copy(copy)) if core.is_peer(from) => {
                    core.versions.merge_copy(copy);
                }
                Some(PeerMessage::AskCopy { number, stream_id }) if core.is_peer(from) => {
                    let copy = core.versions.copy(&stream_id);
                    self.send(&PeerMessage::CopyAnswer { number, copy }, from).await;
                }
                Some(PeerMessage::CopyAnswer { number, copy }) if core.is_peer(from) => {
                    let is_known = copy.is_some();
                    copy.into_iter().for_each(|copy| core.versions.merge_copy(copy));
                    self.on_answer(number, Answer::Granted(is_known), from);
                }
                // The configuration holds the keys of client accounts, which only listed daemons may learn.
                Some(PeerMessage::AskConfig { number, above, offset }) if core.is_peer(from) => {
                    let part = core.config_share.part(above, offset);
                    self.send(&PeerMessage::ConfigAnswer { number, part }, from).await;
                }
                Some(PeerMessage::ConfigAnswer { number, part }) if core.is_peer(from) => {
                    self.on_answer(number, Answer::Config(part), from);
                }
                _ => log::info!(
                    "loan: ignored a message from {from}, invalid or from an unlisted daemon"
                ),
            }
        }
    }

    /// Delivers an answer, unless it comes from another address than the daemon that was asked.
    fn on_answer(&self, number: u64, answer: Answer, from: SocketAddr) {
        let mut pending = self.pending();
        if pending.get(&number).is_none_or(|question| question.asked != from) {
            log::debug!("loan: ignored an answer from {from} to no question");
            return;
        }
        if let Some(question) = pending.remove(&number) {
            // The request that asked may have stopped waiting.
            let _ = question.sender.send(answer);
        }
    }

    /// Asks other daemons one after the other for a retry. Returns whether one of them lent it.
    pub(crate) async fn borrow(
        &self,
        core: &Core,
        service: &ServiceName,
        urgency: Urgency,
    ) -> bool {
        let ask = |number| PeerMessage::Ask { number, service: service.clone(), urgency };
        let is_lent = self.ask(core, core.random_peers(MAX_ASKED_DAEMONS), ask).await;
        if is_lent {
            metrics::counter!("retry_budget_borrowed_total").increment(1);
        }
        is_lent
    }

    /// Asks other daemons one after the other for a request of their shares in the limit of `instance`. Returns whether
    /// one of them lent it.
    pub(crate) async fn borrow_request(&self, core: &Core, instance: &str) -> bool {
        let ask = |number| PeerMessage::AskRequest { number, instance: instance.into() };
        let users = core.random_limit_users(instance, MAX_ASKED_DAEMONS);
        let is_lent = self.ask(core, users, ask).await;
        if is_lent {
            metrics::counter!("upstream_limit_borrowed_total").increment(1);
        }
        is_lent
    }

    /// Asks the daemons that may know it where the last KV cache replica of the stream `id` is, all at once, and records
    /// what they answer.
    pub(crate) async fn ask_for_copy(&self, core: &Core, id: &str) {
        let daemons = core.versions.copies.asked(id, self.local_addr().ok());
        let questions = daemons.into_iter().map(|daemon| {
            let ask = |number| PeerMessage::AskCopy { number, stream_id: id.into() };
            self.ask_one(core, daemon, COPY_ANSWER_TIMEOUT_MS, ask)
        });
        let mut answers = join_all(questions);
        let timeout = Duration::from_millis(ANSWER_TIMEOUT_MS);
        let is_complete = tokio::time::timeout(timeout, &mut answers).await.is_ok();
        if !is_complete && core.versions.copy(id).is_none() {
            answers.await;
        }
        let is_known = core.versions.copy(id).is_some().to_string();
        metrics::counter!("stream_copies_asked_total", "known" => is_known).increment(1);
    }

    /// Sends the question that `ask` creates for a number to `peers`, one after the other, until one grants it.
    async fn ask(
        &self,
        core: &Core,
        peers: Vec<SocketAddr>,
        ask: impl Fn(u64) -> PeerMessage,
    ) -> bool {
        for peer in peers {
            let answer = self.ask_one(core, peer, ANSWER_TIMEOUT_MS, &ask).await;
            if matches!(answer, Some(Answer::Granted(true))) {
                return true;
            }
        }
        false
    }

    /// Asks `peer` for a part of its configuration; `None` if it gives no answer in time.
    pub(crate) async fn ask_for_config_part(
        &self,
        core: &Core,
        peer: SocketAddr,
        ask: impl Fn(u64) -> PeerMessage,
    ) -> Option<Option<ConfigPart>> {
        match self.ask_one(core, peer, ANSWER_TIMEOUT_MS, ask).await? {
            Answer::Config(part) => Some(part),
            Answer::Granted(_) => None,
        }
    }

    /// Sends the question that `ask` creates for a number to `peer`. Returns the answer; `None` if there is none in
    /// `timeout_ms`.
    async fn ask_one(
        &self,
        core: &Core,
        peer: SocketAddr,
        timeout_ms: u64,
        ask: impl Fn(u64) -> PeerMessage,
    ) -> Option<Answer> {
        let number = core.random_number();
        let (sender, receiver) = oneshot::channel();
        self.pending().insert(number, Question { asked: peer, sender });
        let _guard = QuestionGuard { socket: self, number };
        self.send(&ask(number), peer).await;
        tokio::time::timeout(Duration::from_millis(timeout_ms), receiver).await.ok()?.ok()
    }

    /// Sends a message to the daemon with the peer address `to`.
    pub(crate) async fn send(&self, message: &PeerMessage, to: SocketAddr) {
        if let Err(err) = self.socket.send_to(&message.encode(), to).await {
            log::debug!("loan: cannot send to {to}: {err}");
        }
    }

    fn pending(&self) -> MutexGuard<'_, HashMap<u64, Question>> {
        lock(&self.pending)
    }
}

/// Guard that forgets a question when nobody waits for its answer any more, such as after the caller has disconnected.
struct QuestionGuard<'a> {
    socket: &'a PeerSocket,
    number: u64,
}

impl Drop for QuestionGuard<'_> {
    fn drop(&mut self) {
        self.socket.pending().remove(&self.number);
    }
}

/// Creates a message with as many of the rates, the latest ones first, as fit into a datagram.
fn rates_message(mut rates: Vec<SharedRates>) -> PeerMessage {
    loop {
        let message = PeerMessage::Rates(rates.clone());
        if rates.is_empty() || message.encode().len() <= MESSAGE_SIZE_BYTES {
            return message;
        }
        rates.pop();
    }
}
