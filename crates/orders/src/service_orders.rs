//! Task that sends the orders of one service while this daemon holds the service's lease.

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

/// Maximum sleep between two checks of the lease, in milliseconds.
const MAX_SLEEP_MS: u64 = 100;

/// State of this daemon while it holds the service's lease.
struct HolderState {
    fencing_token: u64,
    reconciler: Reconciler,
    /// Serving record at the platform, as last read or written; `None` if it doesn't exist or cannot be decoded.
    record: Option<ServingRecord>,
    /// Revision of the serving record at the platform; 0 if it doesn't exist.
    record_revision: u64,
    /// Time of the next round, in milliseconds.
    next_round_ms: u64,
}

/// Task that sends the orders of one service.
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

    /// Takes part in the election of the holder and sends orders while this daemon is the holder, until `stop` is true.
    pub async fn run(self, mut stop: watch::Receiver<bool>) {
        let ttl_ms = self.options.timing.ttl_ms;
        let driver =
            LeaseDriver::new(self.platform.clone(), &self.service, &self.options.vm_id, ttl_ms);
        let mut lease = Lease::new(self.options.timing);
        let mut holder: Option<HolderState> = None;
        while !*stop.borrow() {
            let wait_until_ms = driver.advance(&mut lease, &self.clock).await;
            self.update_holder(&lease, &mut holder).await;
            if let Some(until_ms) = wait_until_ms {
                let sleep_ms = until_ms.saturating_sub(self.clock.now_ms()).clamp(1, MAX_SLEEP_MS);
                let sleep = Duration::from_millis(sleep_ms);
                let _ = tokio::time::timeout(sleep, stop.changed()).await;
            }
        }
        if let Some(lease_id) = lease.into_held_lease_id() {
            driver.revoke(lease_id).await;
        }
    }

    /// Creates the holder state if this daemon has become the holder, drops the state if the daemon no longer is the
    /// holder, and performs a round if one is due.
    async fn update_holder(&self, lease: &Lease, holder: &mut Option<HolderState>) {
        let now_ms = self.clock.now_ms();
        let Some(token) = lease.fencing_token(now_ms) else {
            if holder.take().is_some() {
                log::info!(
                    "orders: this daemon is no longer the lease holder of service {}",
                    self.service
                );
            }
            return;
        };
        if holder.as_ref().is_none_or(|holder| holder.fencing_token != token) {
            *holder = self.create_holder_state(token).await;
        }
        if let Some(holder) = holder
            && now_ms >= holder.next_round_ms
        {
            self.run_round(lease, holder).await;
        }
    }

    /// Reads the serving record and creates the holder state. Returns `None` if the platform does not answer the read.
    async fn create_holder_state(&self, fencing_token: u64) -> Option<HolderState> {
        let item = match self.platform.get(&serving_key(&self.service)).await {
            Ok(item) => item,
            Err(err) => {
                log::warn!(
                    "orders: failed to read the serving record of service {}: {err}",
                    self.service
                );
                return None;
            }
        };
        let record_revision = item.as_ref().map_or(0, |item| item.revision);
        let record: Option<ServingRecord> =
            item.and_then(|item| serde_json::from_str(&item.value).ok());
        let now_ms = self.clock.now_ms();
        log::info!(
            "orders: this daemon became the lease holder of service {} with fencing token {fencing_token}",
            self.service
        );
        Some(HolderState {
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

    /// Reads all engines, writes the serving record if it has changed, and sends the orders that the engines need.
    async fn run_round(&self, lease: &Lease, holder: &mut HolderState) {
        let Some(document) = self.view.document() else { return };
        let rules = OrderRules::new(self.order_checks(&document), self.options.interval_ms);
        holder.next_round_ms = self.clock.now_ms() + rules.read_interval_ms;
        let engines = self.engines();
        let ids: Vec<VmId> = engines.iter().map(|(id, _)| id.clone()).collect();
        holder.reconciler.set_engines(&ids, self.clock.now_ms());
        let reads = engines.iter().map(|(_, addr)| self.read_state(*addr));
        let states: Vec<Option<EngineState>> = join_all(reads).await;
        let now_ms = self.clock.now_ms();
        for ((engine, _), state) in engines.iter().zip(states) {
            holder.reconciler.observe(engine, state, now_ms);
        }
        let pinned = self.view.pinned_versions();
        let commands = holder.reconciler.commands(&document, &pinned, now_ms);
        self.write_record(lease, holder).await;
        for batch in commands.chunks(rules.parallel_orders) {
            // Orders to slow engines must not delay the keep-alive until the lease expires. The next round sends the
            // remaining orders.
            if lease.is_keep_alive_due(self.clock.now_ms()) {
                break;
            }
            let orders = batch.iter().map(|command| self.send_order(lease, &engines, command));
            join_all(orders).await;
        }
    }

    /// Sends the order for one engine with the current fencing token. Sends nothing if this daemon is no longer the
    /// holder or `engines` lacks the address of the engine.
    async fn send_order(
        &self,
        lease: &Lease,
        engines: &[(VmId, SocketAddr)],
        command: &EngineCommand,
    ) {
        let Some((_, addr)) = engines.iter().find(|(id, _)| *id == command.engine) else { return };
        let mut client = Client::new(*addr, self.options.timing.order_timeout_ms);
        if let Some(key) = &self.options.sender_key {
            client = client.with_bearer_key(key);
        }
        let Some(fencing_token) = lease.fencing_token(self.clock.now_ms()) else { return };
        let order = EngineOrder { fencing_token, actions: command.actions.clone() };
        match client.send_json(Method::POST, "/orders", &order).await {
            Ok(reply) if reply.status.is_success() => {
                log::info!(
                    "orders: engine {} accepted the order {:?}",
                    command.engine,
                    command.actions
                );
            }
            Ok(reply) => {
                log::warn!(
                    "orders: engine {} rejected an order with status {}",
                    command.engine,
                    reply.status
                );
            }
            // The next read shows whether the order took effect.
            Err(err) => {
                log::warn!("orders: engine {} did not answer an order: {err}", command.engine);
            }
        }
    }

    /// Reads the state of an engine; `None` if there is no usable answer.
    async fn read_state(&self, addr: SocketAddr) -> Option<EngineState> {
        let client = Client::new(addr, self.options.timing.order_timeout_ms);
        let reply = client.send(Method::GET, "/state").await.ok()?;
        if reply.status.is_success() { reply.json().ok() } else { None }
    }

    /// Writes the serving record by compare-and-swap, so that a replaced holder cannot overwrite its successor's
    /// record.
    async fn write_record(&self, lease: &Lease, holder: &mut HolderState) {
        let record = holder.reconciler.serving_record(holder.fencing_token);
        if holder.record.as_ref().is_some_and(|written| written.models == record.models) {
            return;
        }
        let Ok(value) = serde_json::to_string(&record) else { return };
        let write =
            KvWrite { value, expect_revision: Some(holder.record_revision), lease_id: None };
        if lease.fencing_token(self.clock.now_ms()).is_none() {
            return;
        }
        let key = serving_key(&self.service);
        match self.platform.put(&key, &write).await {
            Ok(revision) => {
                holder.record_revision = revision;
                holder.record = Some(record);
            }
            Err(err) => {
                log::warn!(
                    "orders: failed to write the serving record of service {}: {err}",
                    self.service
                );
                // The write may have taken effect, so read the record back for the next round.
                if let Ok(item) = self.platform.get(&key).await {
                    holder.record_revision = item.as_ref().map_or(0, |item| item.revision);
                    holder.record = item.and_then(|item| serde_json::from_str(&item.value).ok());
                }
            }
        }
    }

    /// Returns the identifiers and addresses of the service's engines that the routing table lists as live.
    fn engines(&self) -> Vec<(VmId, SocketAddr)> {
        let vms = self.view.upstreams().into_iter();
        vms.filter(|vm| vm.role == VmRole::Engine && vm.state == VmState::Live)
            .filter(|vm| vm.service.as_ref() == Some(&self.service))
            .map(|vm| (vm.id, vm.addr))
            .collect()
    }

    fn order_checks(&self, document: &Document) -> OrderChecks {
        document.service(&self.service).map(|service| service.orders).unwrap_or_default()
    }
}
