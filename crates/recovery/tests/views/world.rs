//! Simulation of daemons, messages and one caller, with the oracle.

use crate::{
    fault::Fault,
    message::{Body, Message},
    server::{Event, Server},
    step::Step,
};
use base::{AccountName, VmId};
use recovery::{
    Append, AppendStatus, Cursor, Journal, Replica, ReplicaHeader, ReplicaLimits, ReplicaStore,
    View, ViewId,
};
use std::collections::{HashMap, VecDeque};

const GENERATION: &str = "gen-1";
const DAEMONS: usize = 4;

/// Simulated daemons, messages and one caller.
pub struct World {
    fault: Fault,
    /// Replica store of each daemon.
    stores: Vec<ReplicaStore>,
    /// Number of crashes of each daemon.
    crashes: [u32; DAEMONS],
    servers: Vec<Server>,
    /// Messages that have not arrived, oldest first.
    messages: Vec<Message>,
    /// Whether messages from one daemon to another are lost because of a partition.
    blocked: [[bool; DAEMONS]; DAEMONS],
    last_nonce: u32,
    /// Server that the caller is connected to.
    connection: Option<usize>,
    /// Nonce of the claim that the caller waits for.
    claim: Option<u32>,
    /// Identifiers of the tokens that the caller has read.
    received: Vec<u32>,
    /// Cursor of the last token that the caller has read.
    cursor: Option<Cursor>,
    /// Oracle: the tokens after which each token was generated, by token identifier. Each token is generated once.
    origins: Vec<Vec<u32>>,
    /// Oracle: the server that released tokens in each view.
    releasers: HashMap<ViewId, usize>,
    resumed: usize,
    completed: usize,
}

impl World {
    pub fn new(fault: Fault) -> Self {
        let mut world = Self {
            fault,
            stores: vec![ReplicaStore::new(ReplicaLimits::default()); DAEMONS],
            crashes: [0; DAEMONS],
            servers: Vec::new(),
            messages: Vec::new(),
            blocked: [[false; DAEMONS]; DAEMONS],
            last_nonce: 0,
            connection: None,
            claim: None,
            received: Vec::new(),
            cursor: None,
            origins: Vec::new(),
            releasers: HashMap::new(),
            resumed: 0,
            completed: 0,
        };
        let view = ViewId { number: 1, nonce: 0, owner: vm(0) };
        let views = vec![View { id: view.clone(), first_index: 0 }];
        let install = ReplicaHeader { account: account(), request: Box::default(), views };
        world.stores[0].insert_owned(
            GENERATION,
            Replica::new(install, Journal::default(), None),
            0,
        );
        world.add_server(0, view, Some(1), false, 0);
        world.connection = Some(0);
        world
    }

    /// Number of streams that resumed after a reconnect.
    pub fn resumed(&self) -> usize {
        self.resumed
    }

    /// Number of answers that the caller read to their end.
    pub fn completed(&self) -> usize {
        self.completed
    }

    /// Applies a step and returns whether the guarantees hold.
    pub fn apply(&mut self, step: Step) -> bool {
        match step {
            Step::Generate(a) => self.generate(a, false),
            Step::Finish(a) => self.generate(a, true),
            Step::Send(a) => self.send_append(a),
            Step::Deliver(a) => match self.pick_message(a) {
                Some(position) => self.deliver(position),
                None => true,
            },
            Step::DeliverOldest => self.messages.is_empty() || self.deliver(0),
            Step::Drop(a) => {
                if let Some(position) = self.pick_message(a) {
                    self.messages.remove(position);
                }
                true
            }
            Step::Duplicate(a) => {
                if let Some(position) = self.pick_message(a) {
                    self.messages.push(self.messages[position].clone());
                }
                true
            }
            Step::ChangeHolder(a, b) => self.change_holder(a, b),
            Step::Read => self.read(),
            Step::Reconnect(a, b) => self.reconnect(a, b),
            Step::Crash(a) => self.crash(usize::from(a) % DAEMONS),
            Step::Partition(a, b) => {
                let (a, b) = (usize::from(a) % DAEMONS, usize::from(b) % DAEMONS);
                self.blocked[a][b] = a != b && !self.blocked[a][b];
                self.blocked[b][a] = self.blocked[a][b];
                true
            }
        }
    }

    fn add_server(
        &mut self,
        daemon: usize,
        view: ViewId,
        holder: Option<usize>,
        is_installed: bool,
        released: u32,
    ) {
        self.servers.push(Server {
            daemon,
            view,
            holder,
            holder_crashes: holder.map_or(0, |holder| self.crashes[holder]),
            is_installed,
            is_waiting: false,
            is_running: true,
            has_ended: false,
            released,
            events: VecDeque::new(),
        });
    }

    fn running_server(&self, choice: u8) -> Option<usize> {
        let running: Vec<usize> =
            (0..self.servers.len()).filter(|&server| self.servers[server].is_running).collect();
        (!running.is_empty()).then(|| running[usize::from(choice) % running.len()])
    }

    fn pick_message(&self, choice: u8) -> Option<usize> {
        (!self.messages.is_empty()).then(|| usize::from(choice) % self.messages.len())
    }

    /// Returns the journal replica that a server writes to; `None` if its daemon lost the replica or the view of the
    /// server is superseded.
    fn own_replica(&self, server: usize) -> Option<&Replica> {
        let Server { daemon, view, .. } = &self.servers[server];
        self.stores[*daemon].get(GENERATION).filter(|replica| replica.view() == Some(view))
    }

    /// Adds a token, or the end of the answer if `is_end`, to the journal of a running server.
    ///
    /// Like every method for a step, it returns whether the guarantees hold; `true` if the step cannot be performed.
    fn generate(&mut self, choice: u8, is_end: bool) -> bool {
        let Some(server) = self.running_server(choice) else { return true };
        let Some(replica) = self.own_replica(server) else {
            self.servers[server].is_running = false;
            return true;
        };
        if replica.finish().is_some() {
            return true;
        }
        let first_index = replica.tokens().len();
        let origin = replica.tokens().token_ids().to_vec();
        let mut tokens = Journal::default();
        if !is_end {
            tokens.push(self.origins.len() as u32, "t");
            self.origins.push(origin);
        }
        let append = Append {
            generation: GENERATION.into(),
            view: self.servers[server].view.clone(),
            first_index,
            tokens,
            install: None,
            finish: is_end.then(|| b"end".as_slice().into()),
        };
        let status = self.stores[self.servers[server].daemon].append(&append, 0);
        assert_eq!(status, AppendStatus::Accepted);
        if self.servers[server].holder.is_none() || self.fault == Fault::EarlyRelease {
            return self.release(server, u32::MAX, true);
        }
        true
    }

    fn send_append(&mut self, choice: u8) -> bool {
        let Some(server) = self.running_server(choice) else { return true };
        let Some(replica) = self.own_replica(server) else {
            self.servers[server].is_running = false;
            return true;
        };
        let state = &self.servers[server];
        let Some(holder) = state.holder else { return true };
        if state.is_waiting {
            return true;
        }
        let first_index = if state.is_installed { state.released } else { 0 };
        let mut tokens = Journal::default();
        for index in first_index..replica.tokens().len() {
            tokens.push(replica.tokens().token_ids()[index as usize], "t");
        }
        let append = Append {
            generation: GENERATION.into(),
            view: state.view.clone(),
            first_index,
            tokens,
            install: (!state.is_installed).then(|| replica.header().clone()),
            finish: replica.finish().map(Into::into),
        };
        let from = state.daemon;
        self.messages.push(Message { from, to: holder, body: Body::Append { server, append } });
        self.servers[server].is_waiting = true;
        true
    }

    fn deliver(&mut self, position: usize) -> bool {
        let Message { from, to, body } = self.messages.remove(position);
        if self.blocked[from][to] {
            return true;
        }
        match body {
            Body::Append { server, append } => {
                let known_view = self.stores[to].get(GENERATION).and_then(Replica::view).cloned();
                let status = self.append_at(to, &append);
                let token_count = append.first_index + append.tokens.len();
                let (view, has_finish) = (append.view, append.finish.is_some());
                let body = Body::Status { server, view, token_count, has_finish, status };
                self.messages.push(Message { from: to, to: from, body });
                self.contains_view(to, known_view)
            }
            Body::Status { server, view, token_count, has_finish, status } => {
                self.on_status(server, &view, token_count, has_finish, status)
            }
            Body::Claim { cursor, nonce } => {
                if let Some(replica) = self.claim_at(to, &cursor, from, nonce) {
                    let crashes = self.crashes[to];
                    let body = Body::Claimed { cursor, nonce, replica, crashes };
                    self.messages.push(Message { from: to, to: from, body });
                }
                true
            }
            Body::Claimed { cursor, nonce, replica, crashes } => {
                self.on_claimed(to, Some((from, crashes)), &cursor, nonce, replica)
            }
        }
    }

    fn append_at(&mut self, daemon: usize, append: &Append) -> AppendStatus {
        let store = &mut self.stores[daemon];
        let mut append = append.clone();
        let view = store.get(GENERATION).and_then(Replica::view).cloned();
        if let Some(view) = view {
            if self.fault == Fault::OldAppend && append.install.is_none() {
                append.view = view.clone();
            }
            let is_unrelated = |install: &ReplicaHeader| {
                install.views.iter().all(|installed| installed.id != view)
            };
            if self.fault == Fault::AnyInstall && append.install.as_ref().is_some_and(is_unrelated)
            {
                *store = ReplicaStore::new(ReplicaLimits::default());
            }
        }
        store.append(&append, 0)
    }

    fn claim_at(
        &mut self,
        daemon: usize,
        cursor: &Cursor,
        owner: usize,
        nonce: u32,
    ) -> Option<Replica> {
        let store = &mut self.stores[daemon];
        let mut cursor = cursor.clone();
        let replica = store.get(GENERATION)?;
        let has_view = replica.header().views.iter().any(|view| view.id == cursor.view);
        if self.fault == Fault::AnyView && !has_view {
            cursor.view = replica.view()?.clone();
        }
        if self.fault == Fault::AnyIndex && has_view && cursor.index <= replica.tokens().len() {
            cursor.view = replica.view()?.clone();
        }
        store.claim(&cursor, &account(), &vm(owner), nonce, 0).ok().cloned()
    }

    fn on_status(
        &mut self,
        server: usize,
        view: &ViewId,
        token_count: u32,
        has_finish: bool,
        status: AppendStatus,
    ) -> bool {
        let state = &mut self.servers[server];
        if !state.is_running || state.view != *view {
            return true;
        }
        state.is_waiting = false;
        match status {
            AppendStatus::Accepted => {
                state.is_installed = true;
                if self.own_replica(server).is_none() {
                    self.servers[server].is_running = false;
                    return true;
                }
                self.release(server, token_count, has_finish)
            }
            AppendStatus::Superseded => {
                state.is_running = false;
                true
            }
            AppendStatus::Full | AppendStatus::Unknown => {
                state.is_installed = false;
                true
            }
        }
    }

    /// Releases the first `token_count` tokens of the answer, and its end event if `has_finish` is set and the journal
    /// contains it. Returns whether the guarantees hold: no other server released tokens in the view, and the holder
    /// has every released token.
    fn release(&mut self, server: usize, token_count: u32, has_finish: bool) -> bool {
        let Some(replica) = self.own_replica(server).cloned() else { return true };
        let state = &mut self.servers[server];
        let mut cursor = Cursor {
            generation: GENERATION.into(),
            view: state.view.clone(),
            holder: state.holder.map(vm),
            index: 0,
        };
        let token_count = token_count.min(replica.tokens().len());
        if state.released < token_count
            && *self.releasers.entry(state.view.clone()).or_insert(server) != server
        {
            return false;
        }
        while state.released < token_count {
            let token_id = replica.tokens().token_ids()[state.released as usize];
            state.released += 1;
            cursor.index = state.released;
            state.events.push_back(Event::Token(cursor.clone(), token_id));
        }
        if has_finish && replica.finish().is_some() && !state.has_ended {
            state.has_ended = true;
            cursor.index = state.released;
            state.events.push_back(Event::End(cursor));
        }
        self.holder_has_released_tokens(server)
    }

    /// Oracle: whether the replica of a daemon still contains `known_view`, its view before an append, so that a
    /// previous owner cannot undo a claim.
    fn contains_view(&self, daemon: usize, known_view: Option<ViewId>) -> bool {
        let views = self.stores[daemon].get(GENERATION).map(|replica| &replica.header().views);
        known_view.is_none_or(|known| {
            views.is_some_and(|views| views.iter().any(|view| view.id == known))
        })
    }

    /// Oracle: whether the holder has every token that the server released, unless the holder crashed after it received
    /// the view of the server, or its replica was claimed.
    fn holder_has_released_tokens(&self, server: usize) -> bool {
        let state = &self.servers[server];
        let Some(holder) = state.holder else { return true };
        if self.crashes[holder] != state.holder_crashes {
            return true;
        }
        self.stores[holder].get(GENERATION).is_some_and(|replica| {
            replica.view() != Some(&state.view) || replica.tokens().len() >= state.released
        })
    }

    fn change_holder(&mut self, a: u8, b: u8) -> bool {
        let Some(server) = self.running_server(a) else { return true };
        let (daemon, view) = (self.servers[server].daemon, self.servers[server].view.clone());
        self.last_nonce += 1;
        let nonce = self.last_nonce;
        let state = &mut self.servers[server];
        let Some(view) = self.stores[daemon].begin_view(GENERATION, &view, nonce) else {
            state.is_running = false;
            return true;
        };
        state.view = view;
        state.is_installed = false;
        state.is_waiting = false;
        let other = usize::from(b) % DAEMONS;
        state.holder = (other != daemon).then_some(other);
        state.holder_crashes = self.crashes[other];
        if state.holder.is_none() { self.release(server, u32::MAX, true) } else { true }
    }

    /// The caller reads an event. Returns whether the event continues the tokens that the caller has received.
    fn read(&mut self) -> bool {
        let Some(server) = self.connection else { return true };
        match self.servers[server].events.pop_front() {
            None => true,
            Some(Event::Token(cursor, token_id)) => {
                let is_next = self.origins[token_id as usize] == self.received;
                self.received.push(token_id);
                let has_next_index = cursor.index as usize == self.received.len();
                self.cursor = Some(cursor);
                is_next && has_next_index
            }
            Some(Event::End(cursor)) => {
                self.completed += 1;
                cursor.index as usize == self.received.len()
            }
        }
    }

    /// The caller connects to daemon `a`, which claims the journal at daemon `b`.
    fn reconnect(&mut self, a: u8, b: u8) -> bool {
        let (daemon, claim_peer) = (usize::from(a) % DAEMONS, usize::from(b) % DAEMONS);
        let Some(cursor) = self.cursor.clone() else { return true };
        self.connection = None;
        self.last_nonce += 1;
        let nonce = self.last_nonce;
        self.claim = Some(nonce);
        if daemon != claim_peer {
            let body = Body::Claim { cursor, nonce };
            self.messages.push(Message { from: daemon, to: claim_peer, body });
            return true;
        }
        match self.claim_at(daemon, &cursor, daemon, nonce) {
            Some(replica) => self.on_claimed(daemon, None, &cursor, nonce, replica),
            None => true,
        }
    }

    /// Starts a server at `daemon` after a claim. `claim_peer` holds the number of the daemon that accepted the claim,
    /// and how often that daemon had crashed by then; `None` if `daemon` itself had the replica.
    fn on_claimed(
        &mut self,
        daemon: usize,
        claim_peer: Option<(usize, u32)>,
        cursor: &Cursor,
        nonce: u32,
        replica: Replica,
    ) -> bool {
        // Only the first response to a claim is used.
        if self.claim != Some(nonce) {
            return true;
        }
        self.claim = None;
        let Some(view) = replica.view().cloned() else { return true };
        let mut events = VecDeque::new();
        if replica.finish().is_some() {
            self.add_server(daemon, view.clone(), None, false, cursor.index);
            for index in cursor.index..replica.tokens().len() {
                let token_id = replica.tokens().token_ids()[index as usize];
                let cursor = Cursor { view: view.clone(), index: index + 1, ..cursor.clone() };
                events.push_back(Event::Token(cursor, token_id));
            }
            let index = replica.tokens().len();
            events.push_back(Event::End(Cursor { view, index, ..cursor.clone() }));
        } else {
            if claim_peer.is_some()
                && self.stores[daemon].insert_owned(GENERATION, replica, 0)
                    != AppendStatus::Accepted
            {
                return true;
            }
            self.add_server(
                daemon,
                view,
                claim_peer.map(|(claim_peer, _)| claim_peer).or(Some((daemon + 1) % DAEMONS)),
                claim_peer.is_some(),
                cursor.index,
            );
            if let (Some((_, crashes)), Some(server)) = (claim_peer, self.servers.last_mut()) {
                server.holder_crashes = crashes;
            }
        }
        let server = self.servers.len() - 1;
        self.connection = Some(server);
        self.resumed += 1;
        if !events.is_empty() {
            self.servers[server].events = events;
            self.servers[server].is_running = false;
            return true;
        }
        // The peer at which the journal was claimed already holds all tokens.
        if claim_peer.is_some() { self.release(server, u32::MAX, false) } else { true }
    }

    fn crash(&mut self, daemon: usize) -> bool {
        self.stores[daemon] = ReplicaStore::new(ReplicaLimits::default());
        self.crashes[daemon] += 1;
        for server in self.servers.iter_mut().filter(|server| server.daemon == daemon) {
            server.is_running = false;
        }
        true
    }
}

fn vm(number: usize) -> VmId {
    VmId::try_from(format!("entry-{number}")).unwrap()
}

fn account() -> AccountName {
    AccountName::try_from("guild").unwrap()
}
