//! Task that sends the orders of one service while this daemon holds its lease.

use crate::{
    engine_command::EngineCommand,
    lease::Lease,
    lease_driver::LeaseDriver,
    order_rules::OrderRules,
    orders_options::OrdersOptions,
    orders_view::OrdersView,
    reconciler::Reconciler,
    serving_record::{ServingRecord, serving_key},
};
use base::{Clock, ServiceName, VmId};
use fleet::{Document, OrderChecks};
use futures::future::join_all;
use plat::Platform;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::sync::watch;
use web::{Client, Method};
use wire::{
    engine::{EngineOrder, EngineState},
    platform::{KvWrite, VmRole, VmState},
};

/// Longest sleep between two looks at the lease.
const POLL_MS: u64 = 100;

/// Holdership with what was learnt during it.
struct Holdership {
    fencing_token: u64,
    reconciler: Reconciler,
    record: Option<ServingRecord>,
    record_revision: u64,
    next_round_ms: u64,
}

/// Orders of one service.
pub(crate) struct ServiceOrders<V> {
    service: ServiceName,
    options: OrdersOptions,
    view: Arc<V>,
    platform: Platform,
    clock: Clock,
}

impl<V: OrdersView> ServiceOrders<V> {
    pub fn new(
        service: &ServiceName,
        options: &OrdersOptions,
        view: &Arc<V>,
        platform: &Platform,
    ) -> Self {
        Self {
            service: service.clone(),
            options: options.clone(),
            view: Arc::clone(view),
            platform: platform.clone(),
            clock: Clock::start(),
        }
    }

    /// Takes part in the choice of the holder and sends orders while it is this daemon, until `stop` shows true.
    pub async fn run(self, mut stop: watch::Receiver<bool>) {
        let ttl_ms = self.options.timing.ttl_ms;
        let driver =
            LeaseDriver::new(self.platform.clone(), &self.service, &self.options.vm_id, ttl_ms);
        let mut lease = Lease::new(self.options.timing);
        let mut holdership: Option<Holdership> = None;
        while !*stop.borrow() {
            let wait_until_ms = driver.advance(&mut lease, &self.clock).await;
            self.follow(&lease, &mut holdership).await;
            if let Some(until_ms) = wait_until_ms {
                let pause_ms = until_ms.saturating_sub(self.clock.now_ms()).clamp(1, POLL_MS);
                let pause = Duration::from_millis(pause_ms);
                let _ = tokio::time::timeout(pause, stop.changed()).await;
            }
        }
        if let Some(lease_id) = lease.into_held_lease_id() {
            driver.revoke(lease_id).await;
        }
    }

    /// Begins or ends the holdership as the lease says, and runs a round if it is time.
    async fn follow(&self, lease: &Lease, holdership: &mut Option<Holdership>) {
        let now_ms = self.clock.now_ms();
        let Some(token) = lease.fencing_token(now_ms) else {
            if holdership.take().is_some() {
                log::info!("orders: no longer the holder of {}", self.service);
            }
            return;
        };
        if holdership.as_ref().is_none_or(|held| held.fencing_token != token) {
            *holdership = self.begin(token).await;
        }
        if let Some(held) = holdership
            && now_ms >= held.next_round_ms
        {
            self.round(lease, held).await;
        }
    }

    async fn begin(&self, fencing_token: u64) -> Option<Holdership> {
        let entry = match self.platform.get(&serving_key(&self.service)).await {
            Ok(entry) => entry,
            Err(err) => {
                log::warn!("orders: the serving record of {} cannot be read: {err}", self.service);
                return None;
            }
        };
        let record_revision = entry.as_ref().map_or(0, |entry| entry.revision);
        let record: Option<ServingRecord> =
            entry.and_then(|entry| serde_json::from_str(&entry.value).ok());
        let now_ms = self.clock.now_ms();
        log::info!("orders: holder of {} with fencing token {fencing_token}", self.service);
        Some(Holdership {
            fencing_token,
            reconciler: Reconciler::new(
                &self.service,
                self.options.pacing,
                record.as_ref(),
                now_ms,
            ),
            record,
            record_revision,
            next_round_ms: now_ms,
        })
    }

    /// Reads all engines, sends the orders that follow, and writes the serving record if it has changed.
    async fn round(&self, lease: &Lease, held: &mut Holdership) {
        let Some(document) = self.view.document() else { return };
        let rules = OrderRules::new(self.behaviour(&document), self.options.interval_ms);
        held.next_round_ms = self.clock.now_ms() + rules.read_interval_ms;
        let engines = self.engines();
        let ids: Vec<VmId> = engines.iter().map(|(id, _)| id.clone()).collect();
        held.reconciler.set_engines(&ids, self.clock.now_ms());
        let reads = engines.iter().map(|(_, addr)| self.read_state(*addr));
        let states: Vec<Option<EngineState>> = join_all(reads).await;
        let now_ms = self.clock.now_ms();
        for ((engine, _), state) in engines.iter().zip(states) {
            held.reconciler.observe(engine, state, now_ms);
        }
        let pinned = self.view.pinned_versions();
        let commands = held.reconciler.commands(&document, &pinned, now_ms);
        self.write_record(lease, held).await;
        for batch in commands.chunks(rules.parallel_orders) {
            // Orders to slow engines must not cost the lease; the next round sends the rest.
            if lease.is_keep_alive_due(self.clock.now_ms()) {
                break;
            }
            let orders = batch.iter().map(|command| self.send(lease, &engines, command));
            join_all(orders).await;
        }
    }

    /// Sends an order if this daemon is still the holder.
    async fn send(&self, lease: &Lease, engines: &[(VmId, SocketAddr)], command: &EngineCommand) {
        let Some((_, addr)) = engines.iter().find(|(id, _)| *id == command.engine) else { return };
        let mut client = Client::new(*addr, self.options.timing.order_timeout_ms);
        if let Some(key) = &self.options.sender_key {
            client = client.with_bearer_key(key);
        }
        let Some(fencing_token) = lease.fencing_token(self.clock.now_ms()) else { return };
        let order = EngineOrder { fencing_token, actions: command.actions.clone() };
        match client.send_json(Method::POST, "/orders", &order).await {
            Ok(reply) if reply.status.is_success() => {
                log::info!("orders: {} has the order {:?}", command.engine, command.actions);
            }
            Ok(reply) => {
                log::warn!("orders: {} refused an order with {}", command.engine, reply.status);
            }
            // The next read shows whether the order took effect.
            Err(err) => log::warn!("orders: {} did not answer an order: {err}", command.engine),
        }
    }

    async fn read_state(&self, addr: SocketAddr) -> Option<EngineState> {
        let client = Client::new(addr, self.options.timing.order_timeout_ms);
        let reply = client.send(Method::GET, "/state").await.ok()?;
        if reply.status.is_success() { reply.json().ok() } else { None }
    }

    /// Writes the serving record by compare-and-swap, so that a holder that was replaced cannot overwrite it.
    async fn write_record(&self, lease: &Lease, held: &mut Holdership) {
        let record = held.reconciler.serving_record(held.fencing_token);
        if held.record.as_ref().is_some_and(|written| written.models == record.models) {
            return;
        }
        let Ok(value) = serde_json::to_string(&record) else { return };
        let write = KvWrite { value, expect_revision: Some(held.record_revision), lease_id: None };
        if lease.fencing_token(self.clock.now_ms()).is_none() {
            return;
        }
        let key = serving_key(&self.service);
        match self.platform.put(&key, &write).await {
            Ok(revision) => {
                held.record_revision = revision;
                held.record = Some(record);
            }
            Err(err) => {
                log::warn!("orders: the serving record of {} was not written: {err}", self.service);
                // The write may have taken effect; the next round goes on from what is read back.
                if let Ok(entry) = self.platform.get(&key).await {
                    held.record_revision = entry.as_ref().map_or(0, |entry| entry.revision);
                    held.record = entry.and_then(|entry| serde_json::from_str(&entry.value).ok());
                }
            }
        }
    }

    fn engines(&self) -> Vec<(VmId, SocketAddr)> {
        let vms = self.view.upstreams().into_iter();
        vms.filter(|vm| vm.role == VmRole::Engine && vm.state == VmState::Live)
            .filter(|vm| vm.service.as_ref() == Some(&self.service))
            .map(|vm| (vm.id, vm.addr))
            .collect()
    }

    fn behaviour(&self, document: &Document) -> OrderChecks {
        document.service(&self.service).map(|service| service.orders).unwrap_or_default()
    }
}
