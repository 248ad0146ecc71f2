//! Daemon of a case.

use crate::fault::Fault;
use base::{DomainName, VmId};
use member::{
    Heartbeat, Incarnation, Member, MemberState, Membership, Message, Options, ReplicaText, Target,
    Topic, Update, Version, readers,
};
use rand::rngs::SmallRng;
use std::net::SocketAddr;

/// Daemon of a case: what the actor does, without sockets.
pub struct Node {
    pub membership: Membership,
    pub config: ReplicaText,
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
        let pause_ms = match fault {
            Fault::UnnoticedPause => u64::MAX,
            _ => Options::default().pause_ms,
        };
        let options = Options { pause_ms, ..Options::default() };
        let mut membership = Membership::new(own, options, now_ms);
        membership.set_hints(hints);
        let shown = Incarnation(1);
        Self { membership, config: ReplicaText::default(), is_paused: false, shown }
    }

    pub fn is_reader(&self) -> bool {
        let own = self.membership.own();
        let live: Vec<Member> = self.membership.live().cloned().chain([own.clone()]).collect();
        readers(&live, &own.domain, 2).contains(&&own.id)
    }

    pub fn heartbeat(&mut self, to: Option<&VmId>, rng: &mut SmallRng) -> Heartbeat {
        let from = self.membership.own().clone();
        self.shown = self.shown.max(from.incarnation);
        Heartbeat {
            from,
            is_trusted: self.membership.is_trusted(),
            versions: [self.config.version(), Version::default()],
            records: self.membership.records_for(to, rng),
            digest: Box::default(),
        }
    }

    /// Takes a heartbeat; whether its sender has a newer text.
    pub fn receive(&mut self, now_ms: u64, heartbeat: &Heartbeat, fault: Fault) -> bool {
        let own = self.membership.own().id.clone();
        let mut records = heartbeat.records.clone();
        if fault == Fault::NoRefutation {
            records.retain(|record| record.id != own);
        }
        self.membership.receive(now_ms, &heartbeat.from, heartbeat.is_trusted, &records);
        match fault {
            Fault::OlderText => heartbeat.versions[0] != self.config.version(),
            _ => heartbeat.versions[0] > self.config.version(),
        }
    }

    /// Question for what is newer than the held text, as it goes over the wire.
    pub fn question(&self) -> Vec<u8> {
        Message::Fetch(Topic::Config, self.config.version()).encode().unwrap()
    }

    pub fn answer(&self, question: &[u8], fault: Fault) -> Update {
        match Message::decode(question).unwrap() {
            Message::Fetch(_, _) if fault == Fault::OlderText => {
                Update::Whole(self.config.version(), self.config.text().to_string())
            }
            Message::Fetch(_, version) => self.config.update_since(version),
            other => panic!("{other:?} is not a question"),
        }
    }

    pub fn take(&mut self, update: &Update, fault: Fault) {
        if let (Fault::OlderText, Update::Whole(version, text)) = (fault, update) {
            self.config = ReplicaText::default();
            self.config.offer(*version, text);
            return;
        }
        // A late update may belong to a version that is no longer held; the next heartbeat asks again.
        if let Ok(Some((version, text))) = self.config.resolve(update) {
            self.config.offer(version, &text);
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
