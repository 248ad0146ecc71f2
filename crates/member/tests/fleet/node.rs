//! Daemon of a case.

use crate::fault::Fault;
use base::{DomainName, VmId};
use member::{
    Heartbeat, Incarnation, Member, MemberState, Membership, Message, Options, ReadFilter,
    ReplicatedText, Target, Topic, Update, Version, platform_readers,
};
use rand::rngs::SmallRng;
use std::net::SocketAddr;

/// Daemon of a case: what the actor does, without sockets.
pub struct Node {
    pub membership: Membership,
    pub texts: [ReplicatedText; 2],
    pub filter: ReadFilter,
    pub is_paused: bool,
    /// Greatest incarnation of this process that a message has shown.
    pub shown: Incarnation,
}

impl Node {
    pub fn new(
        number: usize,
        domain: usize,
        now_ms: u64,
        hints: Vec<Target>,
        fault: Fault,
    ) -> Self {
        let own = Member {
            id: id(number),
            domain: DomainName::try_from(format!("domain-{domain}")).unwrap(),
            addr: addr(number),
            incarnation: Incarnation(1),
            state: MemberState::Alive,
        };
        let pause_threshold_ms = match fault {
            Fault::UnnoticedPause => u64::MAX,
            _ => Options::default().pause_threshold_ms,
        };
        let options = Options { pause_threshold_ms, ..Options::default() };
        let mut membership = Membership::new(own, options, now_ms);
        membership.set_seed_nodes(hints);
        let shown = Incarnation(1);
        Self {
            membership,
            texts: Default::default(),
            filter: ReadFilter::default(),
            is_paused: false,
            shown,
        }
    }

    pub fn is_reader(&self) -> bool {
        let own = self.membership.own();
        let live: Vec<Member> = self.membership.live().cloned().chain([own.clone()]).collect();
        platform_readers(&live, &own.domain, 2).contains(&&own.id)
    }

    pub fn heartbeat(&mut self, to: Option<&VmId>, rng: &mut SmallRng) -> Heartbeat {
        let from = self.membership.own().clone();
        self.shown = self.shown.max(from.incarnation);
        Heartbeat {
            from,
            is_trusted: self.membership.is_trusted(),
            versions: self.texts.each_ref().map(ReplicatedText::version),
            records: self.membership.records_for(to, rng),
            digest: Box::default(),
        }
    }

    /// Takes a heartbeat; the topics of which its sender has something newer.
    pub fn receive(&mut self, now_ms: u64, heartbeat: &Heartbeat, fault: Fault) -> Vec<Topic> {
        let own = self.membership.own().id.clone();
        let mut records = heartbeat.records.clone();
        if fault == Fault::NoRefutation {
            records.retain(|record| record.id != own);
        }
        self.membership.receive(now_ms, &heartbeat.from, heartbeat.is_trusted, &records);
        let is_wanted = |topic: &Topic| {
            let (offered, held) = (heartbeat.versions[*topic as usize], self.version(*topic));
            offered > held || (fault == Fault::OlderText && offered != held)
        };
        Topic::ALL.into_iter().filter(is_wanted).collect()
    }

    pub fn version(&self, topic: Topic) -> Version {
        self.texts[topic as usize].version()
    }

    /// Takes a list that the platform shows.
    pub fn read_list(&mut self, text: &str, fault: Fault) {
        let held = self.version(Topic::Vms);
        let number = if fault == Fault::OwnListNumber { 1 } else { held.number + 1 };
        let version = Version::of(number, text);
        if self.filter.accept(held.hash, version.hash) {
            self.texts[Topic::Vms as usize].replace_if_newer(version, text);
        }
    }

    /// Question for what is newer than the held text, as it goes over the wire.
    pub fn question(&self, topic: Topic) -> Vec<u8> {
        Message::Fetch(topic, self.version(topic)).encode().unwrap()
    }

    pub fn answer(&self, question: &[u8], fault: Fault) -> Update {
        match Message::decode(question).unwrap() {
            Message::Fetch(topic, _) if fault == Fault::OlderText => {
                let text = &self.texts[topic as usize];
                Update::Whole(text.version(), text.text().to_string())
            }
            Message::Fetch(topic, version) => self.texts[topic as usize].update_since(version),
            other => panic!("{other:?} is not a question"),
        }
    }

    pub fn take(&mut self, topic: Topic, update: &Update, fault: Fault) {
        let held = &mut self.texts[topic as usize];
        if let (Fault::OlderText, Update::Whole(version, text)) = (fault, update) {
            *held = ReplicatedText::default();
            held.replace_if_newer(*version, text);
            return;
        }
        // A late update may belong to a version that is no longer held; the next heartbeat asks again.
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

pub fn number(addr: SocketAddr) -> usize {
    usize::from(addr.port()) - 10_000
}
