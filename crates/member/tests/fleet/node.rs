//! Simulated daemon.

use crate::injected_bug::InjectedBug;
use base::{DomainName, VmId};
use member::{
    Heartbeat, Incarnation, Member, MemberState, Membership, Message, Options, ReadFilter,
    ReplicatedText, Target, Topic, Update, Version, platform_readers,
};
use rand::rngs::SmallRng;
use std::net::SocketAddr;

/// Simulated daemon: does what the actor of the daemon does, without sockets.
pub struct Node {
    pub membership: Membership,
    pub texts: [ReplicatedText; 2],
    pub read_filter: ReadFilter,
    pub is_paused: bool,
    /// Highest incarnation that this daemon has sent in a message since its start.
    pub announced: Incarnation,
}

impl Node {
    pub fn new(
        number: usize,
        domain: usize,
        now_ms: u64,
        seed_nodes: Vec<Target>,
        bug: InjectedBug,
    ) -> Self {
        let own = Member {
            id: id(number),
            domain: DomainName::try_from(format!("domain-{domain}")).unwrap(),
            addr: addr(number),
            incarnation: Incarnation(1),
            state: MemberState::Alive,
        };
        let pause_threshold_ms = match bug {
            InjectedBug::UndetectedPause => u64::MAX,
            _ => Options::default().pause_threshold_ms,
        };
        let options = Options { pause_threshold_ms, ..Options::default() };
        let mut membership = Membership::new(own, options, now_ms);
        membership.set_seed_nodes(seed_nodes);
        let announced = Incarnation(1);
        Self {
            membership,
            texts: Default::default(),
            read_filter: ReadFilter::default(),
            is_paused: false,
            announced,
        }
    }

    /// Returns whether this daemon is one of the two readers of the platform in its failure domain.
    pub fn is_reader(&self) -> bool {
        let own = self.membership.own();
        let live: Vec<Member> = self.membership.live().cloned().chain([own.clone()]).collect();
        platform_readers(&live, &own.domain, 2).contains(&&own.id)
    }

    pub fn heartbeat(&mut self, to: Option<&VmId>, rng: &mut SmallRng) -> Heartbeat {
        let from = self.membership.own().clone();
        self.announced = self.announced.max(from.incarnation);
        Heartbeat {
            from,
            is_trusted: self.membership.is_trusted(),
            versions: self.texts.each_ref().map(ReplicatedText::version),
            records: self.membership.records_for(to, rng),
            digest: Box::default(),
        }
    }

    /// Applies a heartbeat and returns the topics that its sender has a newer version of.
    pub fn receive(&mut self, now_ms: u64, heartbeat: &Heartbeat, bug: InjectedBug) -> Vec<Topic> {
        let own = self.membership.own().id.clone();
        let mut records = heartbeat.records.clone();
        if bug == InjectedBug::NoRefutation {
            records.retain(|record| record.id != own);
        }
        self.membership.receive(now_ms, &heartbeat.from, heartbeat.is_trusted, &records);
        let is_wanted = |topic: &Topic| {
            let (offered, held) = (heartbeat.versions[*topic as usize], self.version(*topic));
            offered > held || (bug == InjectedBug::OlderText && offered != held)
        };
        Topic::ALL.into_iter().filter(is_wanted).collect()
    }

    pub fn version(&self, topic: Topic) -> Version {
        self.texts[topic as usize].version()
    }

    /// Publishes a list read from the platform as a new version if the filter accepts it.
    pub fn read_list(&mut self, text: &str, bug: InjectedBug) {
        let held = self.version(Topic::Vms);
        let number = if bug == InjectedBug::OwnListNumber { 1 } else { held.number + 1 };
        let version = Version::of(number, text);
        if self.read_filter.accept(held.hash, version.hash) {
            self.texts[Topic::Vms as usize].replace_if_newer(version, text);
        }
    }

    /// Returns the encoded request for changes of a text since the version that this daemon holds.
    pub fn fetch_request(&self, topic: Topic) -> Vec<u8> {
        Message::Fetch(topic, self.version(topic)).encode().unwrap()
    }

    pub fn answer_fetch(&self, request: &[u8], bug: InjectedBug) -> Update {
        match Message::decode(request).unwrap() {
            Message::Fetch(topic, _) if bug == InjectedBug::OlderText => {
                let text = &self.texts[topic as usize];
                Update::Whole(text.version(), text.text().to_string())
            }
            Message::Fetch(topic, version) => self.texts[topic as usize].update_since(version),
            other => panic!("{other:?} is not a fetch request"),
        }
    }

    pub fn apply_update(&mut self, topic: Topic, update: &Update, bug: InjectedBug) {
        let held = &mut self.texts[topic as usize];
        if let (InjectedBug::OlderText, Update::Whole(version, text)) = (bug, update) {
            *held = ReplicatedText::default();
            held.replace_if_newer(*version, text);
            return;
        }
        // A delayed update may apply to a version that is no longer held. The next heartbeat triggers another fetch.
        if let Ok(Some((version, text))) = held.resolve(update) {
            held.replace_if_newer(version, &text);
        }
    }
}

pub fn id(number: usize) -> VmId {
    VmId::try_from(format!("entry-{number}")).unwrap()
}

pub fn addr(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + number as u16))
}

/// Returns the number of the daemon that has this address.
pub fn node_number(addr: SocketAddr) -> usize {
    usize::from(addr.port()) - 10_000
}
