//! Gossip between daemons: membership and propagation of the configuration and the list of VMs. Its state is shared by
//! the membership actor and the thread that serves peers.

use crate::{
    admission::Admission, config_activator::ConfigActivator, digest_hook::DigestHook,
    member_message::MemberMessage, peers::Peers, upstreams::Upstreams,
};
use base::{Clock, VmId, lock};
use member::{
    Heartbeat, Member, MemberState, Membership, Message, PatchError, ReadFilter, ReplicatedText,
    Target, Topic, Update, Version, platform_readers,
};
use ractor::ActorRef;
use rand::{SeedableRng, rngs::SmallRng};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock},
};
use wire::platform::{VmList, VmRole};

/// Number of readers in each failure domain: the daemons that read the configuration and the list of VMs from the
/// platform for the others. With two, new versions still arrive while the loss of one reader is not yet detected.
const READERS: usize = 2;

struct Inner {
    membership: Membership,
    config: ReplicatedText,
    vms: ReplicatedText,
    /// Decides whether a list of VMs that was read from the platform becomes a new version.
    filter: ReadFilter,
    rng: SmallRng,
    /// Whether a fetch from a peer is in progress, for each `Topic`.
    is_fetching: [bool; 2],
}

/// View that this daemon has of the membership, and its copies of the two replicated texts: the configuration document
/// and the list of VMs.
pub(crate) struct Gossip {
    clock: Clock,
    /// Addresses from the settings at which other daemons may run.
    seeds: Vec<SocketAddr>,
    config_activator: ConfigActivator,
    peers: Arc<Peers>,
    upstreams: Arc<Upstreams>,
    admission: Arc<Admission>,
    actor: OnceLock<ActorRef<MemberMessage>>,
    digest_hook: OnceLock<Arc<dyn DigestHook>>,
    /// Held while a text is applied, so that an older version cannot replace a newer one that is applied concurrently.
    apply_lock: Mutex<()>,
    inner: Mutex<Inner>,
}

impl Gossip {
    pub fn new(
        membership: Membership,
        seeds: Vec<SocketAddr>,
        clock: Clock,
        config_activator: ConfigActivator,
        peers: Arc<Peers>,
        upstreams: Arc<Upstreams>,
        admission: Arc<Admission>,
    ) -> Self {
        let inner = Inner {
            membership,
            config: ReplicatedText::default(),
            vms: ReplicatedText::default(),
            filter: ReadFilter::default(),
            rng: SmallRng::seed_from_u64(rand::random()),
            is_fetching: [false; 2],
        };
        let gossip = Self {
            clock,
            seeds,
            config_activator,
            peers,
            upstreams,
            admission,
            actor: OnceLock::new(),
            digest_hook: OnceLock::new(),
            apply_lock: Mutex::default(),
            inner: Mutex::new(inner),
        };
        let seed_nodes = gossip.seed_nodes(&VmList::default());
        gossip.lock().membership.set_seed_nodes(seed_nodes);
        gossip
    }

    /// Sets the actor that fetches newer versions from peers and notifies peers of new versions. Without it, neither
    /// happens.
    pub fn set_actor(&self, actor: ActorRef<MemberMessage>) {
        // There is only one actor, so this cannot fail.
        let _ = self.actor.set(actor);
    }

    /// Sets the source and receiver of the digest in heartbeats. Only the first call has an effect.
    pub fn set_digest_hook(&self, digest_hook: Arc<dyn DigestHook>) {
        let _ = self.digest_hook.set(digest_hook);
    }

    /// Whether this daemon is one of the `READERS` daemons that read from the platform for their failure domain.
    pub fn is_reader(&self) -> bool {
        let inner = self.lock();
        let own = inner.membership.own();
        let others = inner.membership.live().filter(|member| member.state == MemberState::Alive);
        let live: Vec<Member> = others.cloned().chain([own.clone()]).collect();
        platform_readers(&live, &own.domain, READERS).contains(&&own.id)
    }

    /// Revision of the active configuration; 0 before the first one.
    pub fn config_revision(&self) -> u64 {
        self.lock().config.version().number
    }

    /// Advances the membership protocol, updates the live peers and the metrics, and returns the targets of the next
    /// heartbeats.
    pub fn tick(&self) -> Vec<Target> {
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        let Inner { membership, rng, .. } = &mut *inner;
        let targets = membership.tick(now_ms, rng);
        self.peers.set_live(membership.live().cloned().collect());
        update_metrics(membership);
        targets
    }

    /// Peers to which this daemon immediately announces a new version, or its own shutdown.
    pub fn announcement_targets(&self) -> Vec<Target> {
        let mut inner = self.lock();
        let Inner { membership, rng, .. } = &mut *inner;
        membership.announcement_targets(rng)
    }

    /// Encoded heartbeat for the daemon `to`, or for a seed address if `to` is `None`. Returns `None` if the heartbeat
    /// cannot be encoded.
    pub fn heartbeat_message(&self, to: Option<&VmId>) -> Option<Vec<u8>> {
        let from = self.lock().membership.own().clone();
        encode(&Message::Heartbeat(self.build_heartbeat(from, to)))
    }

    /// Encoded heartbeat which announces that this daemon shuts down, for the daemon `to` or a seed address. Returns
    /// `None` if the heartbeat cannot be encoded.
    pub fn leave_message(&self, to: Option<&VmId>) -> Option<Vec<u8>> {
        let from = self.lock().membership.own_as_removed();
        encode(&Message::Heartbeat(self.build_heartbeat(from, to)))
    }

    /// Handles a message of a peer and returns the encoded answer: a heartbeat for a heartbeat, and an update for a
    /// fetch. The answer is empty if the message is malformed or an update, or if the answer cannot be encoded.
    pub fn handle_message(&self, body: &[u8]) -> Vec<u8> {
        let answer = match Message::decode(body) {
            Ok(Message::Heartbeat(heartbeat)) => {
                let to = heartbeat.from.id.clone();
                self.receive(&heartbeat);
                self.heartbeat_message(Some(&to))
            }
            Ok(Message::Fetch(topic, version)) => {
                let update = self.lock().text(topic).update_since(version);
                encode(&Message::Update(update))
            }
            Ok(Message::Update(_)) => None,
            Err(err) => {
                log::warn!("member: a peer sent a malformed message: {err}");
                None
            }
        };
        answer.unwrap_or_default()
    }

    /// Handles a peer's answer to a heartbeat, which must be a heartbeat as well.
    pub fn receive_answer(&self, body: &[u8]) {
        match Message::decode(body) {
            Ok(Message::Heartbeat(heartbeat)) => self.receive(&heartbeat),
            Ok(_) => {
                log::warn!("member: a peer answered a heartbeat with a message of another kind")
            }
            Err(err) => {
                log::warn!("member: a peer answered a heartbeat with a malformed message: {err}")
            }
        }
    }

    /// Records that the daemon `id` did not answer a heartbeat, which makes an alive member a suspect. This is ignored
    /// while this daemon does not trust its own view of the membership.
    pub fn record_failure(&self, id: &VmId) {
        let now_ms = self.clock.now_ms();
        self.lock().membership.record_failed_heartbeat(now_ms, id);
    }

    /// Begins a fetch of the text of `topic` and returns the encoded request; `None` if a fetch of this topic is
    /// already in progress, or if the request cannot be encoded.
    pub fn begin_fetch(&self, topic: Topic) -> Option<Vec<u8>> {
        let mut inner = self.lock();
        if std::mem::replace(&mut inner.is_fetching[topic as usize], true) {
            return None;
        }
        let version = inner.text(topic).version();
        encode(&Message::Fetch(topic, version))
    }

    /// Ends the fetch of `topic`, so that the next one can begin.
    pub fn end_fetch(&self, topic: Topic) {
        self.lock().is_fetching[topic as usize] = false;
    }

    /// Applies the answer to a fetch and returns whether this replaced the text of `topic` with a newer version. A
    /// malformed answer replaces nothing.
    ///
    /// # Errors
    ///
    /// The patches in the answer do not apply to the current version. The caller may fetch the whole text instead.
    pub fn receive_update(&self, topic: Topic, body: &[u8]) -> Result<bool, PatchError> {
        let Ok(Message::Update(update)) = Message::decode(body) else { return Ok(false) };
        let kind = match &update {
            Update::None => "none",
            Update::Patches(_) => "patches",
            Update::Whole(..) => "whole",
        };
        metrics::counter!("spread_updates_total", "kind" => kind).increment(1);
        let current = self.lock().text(topic).clone();
        let resolved = current.resolve(&update)?;
        Ok(resolved.is_some_and(|(version, text)| self.apply(topic, version, &text)))
    }

    /// Applies a configuration document that was read from the platform, and notifies peers if it became active.
    pub fn apply_config(&self, revision: u64, text: &str) {
        if self.apply(Topic::Config, Version::of(revision, text), text) {
            self.notify();
        }
    }

    /// Applies a list of VMs that was read from the platform, and notifies peers if the list is accepted as a new
    /// version.
    pub fn apply_vms(&self, mut list: VmList) {
        list.vms.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        let Ok(text) = serde_json::to_string(&list) else { return };
        let mut inner = self.lock();
        let current = inner.vms.version();
        let version = Version::of(current.number.saturating_add(1), &text);
        if !inner.filter.accept(current.hash, version.hash) {
            return;
        }
        drop(inner);
        if self.apply(Topic::Vms, version, &text) {
            self.notify();
        }
    }

    fn build_heartbeat(&self, from: Member, to: Option<&VmId>) -> Heartbeat {
        let mut digest = self.digest_hook.get().map(|hook| hook.digest()).unwrap_or_default();
        if digest.len() > Heartbeat::MAX_DIGEST_BYTES {
            log::error!("member: a digest of {} bytes is too large and is not sent", digest.len());
            digest.clear();
        }
        let mut inner = self.lock();
        let versions = Topic::ALL.map(|topic| inner.text(topic).version());
        let Inner { membership, rng, .. } = &mut *inner;
        Heartbeat {
            from,
            is_trusted: membership.is_trusted(),
            versions,
            records: membership.records_for(to, rng),
            digest: digest.into(),
        }
    }

    fn receive(&self, heartbeat: &Heartbeat) {
        let Heartbeat { from, is_trusted, versions, records, digest } = heartbeat;
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        inner.membership.receive(now_ms, from, *is_trusted, records);
        let current = Topic::ALL.map(|topic| inner.text(topic).version());
        drop(inner);
        if let Some(hook) = self.digest_hook.get().filter(|_| *is_trusted && !digest.is_empty()) {
            hook.receive(&from.id, digest);
        }
        for (topic, (current, offered)) in Topic::ALL.into_iter().zip(current.iter().zip(versions))
        {
            if offered > current
                && let Some(actor) = self.actor.get()
            {
                // This fails only while the daemon is shutting down.
                let _ = actor.cast(MemberMessage::Fetch(topic, from.addr));
            }
        }
    }

    /// Applies a text if it is valid and newer than the current version, and returns whether it was applied.
    fn apply(&self, topic: Topic, version: Version, text: &str) -> bool {
        // Texts are decoded without holding the lock of `inner`, which the thread that serves peers needs for each
        // heartbeat.
        let _guard = lock(&self.apply_lock);
        if version <= self.lock().text(topic).version() {
            return false;
        }
        match topic {
            Topic::Config => {
                self.config_activator.activate(version.number, text)
                    && self.lock().config.replace_if_newer(version, text)
            }
            Topic::Vms => {
                let Ok(list) = serde_json::from_str::<VmList>(text) else { return false };
                let seed_nodes = self.seed_nodes(&list);
                self.peers.update(&list.vms);
                self.admission.set_entries(&list.vms);
                self.upstreams.update(list.vms);
                metrics::gauge!("vm_list_version").set(version.number as f64);
                let mut inner = self.lock();
                inner.membership.set_seed_nodes(seed_nodes);
                inner.vms.replace_if_newer(version, text)
            }
        }
    }

    fn notify(&self) {
        if let Some(actor) = self.actor.get() {
            // This fails only while the daemon is shutting down.
            let _ = actor.cast(MemberMessage::Notify);
        }
    }

    /// Addresses at which other daemons may run: those of the listed entries, and those of the settings.
    fn seed_nodes(&self, list: &VmList) -> Vec<Target> {
        let entries = list.vms.iter().filter(|vm| vm.role == VmRole::Entry);
        let listed = entries.filter_map(|vm| {
            let addr = vm.peer_addr?;
            Some(Target { id: Some(vm.id.clone()), addr })
        });
        let seeds = self.seeds.iter().map(|&addr| Target { id: None, addr });
        listed.chain(seeds).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

impl Inner {
    fn text(&self, topic: Topic) -> &ReplicatedText {
        match topic {
            Topic::Config => &self.config,
            Topic::Vms => &self.vms,
        }
    }
}

impl std::fmt::Debug for Gossip {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Gossip")
            .field("membership", &self.lock().membership)
            .finish_non_exhaustive()
    }
}

fn encode(message: &Message) -> Option<Vec<u8>> {
    match message.encode() {
        Ok(body) => Some(body),
        Err(err) => {
            log::error!("member: a message cannot be encoded: {err}");
            None
        }
    }
}

fn update_metrics(membership: &Membership) {
    let stats = membership.stats();
    metrics::gauge!("member_live").set(membership.live().count() as f64);
    metrics::gauge!("member_incarnation").set(membership.own().incarnation.0 as f64);
    metrics::counter!("member_suspicions_total").absolute(stats.suspicions);
    metrics::counter!("member_refuted_total").absolute(stats.refuted);
    metrics::counter!("member_removals_total").absolute(stats.removals);
    metrics::counter!("member_returns_total").absolute(stats.returns);
    metrics::counter!("member_pauses_total").absolute(stats.pauses);
}
