//! Start and stop of the orders tasks as services are configured and removed.

use crate::{
    orders_options::OrdersOptions, orders_view::OrdersView, service_orders::ServiceOrders,
};
use base::{HashMap, ServiceName};
use fleet::ServiceKind;
use plat::Platform;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::{marker::PhantomData, sync::Arc, time::Duration};
use tokio::{sync::watch, task::JoinHandle};

/// Interval at which the tasks are synchronized with the configured services, in milliseconds.
const SYNC_INTERVAL_MS: u64 = 500;

/// Actor that runs one orders task for each generation service.
#[derive(Debug)]
pub struct OrdersActor<V>(PhantomData<V>);

impl<V> Default for OrdersActor<V> {
    fn default() -> Self {
        Self(PhantomData)
    }
}

/// Arguments for the start of the actor.
#[derive(Debug)]
pub struct OrdersArguments<V> {
    /// Client of the platform, which grants the leases and stores the records.
    pub platform: Platform,
    /// Access to the daemon that the actor runs in.
    pub view: Arc<V>,
    /// Timing, pacing and keys of the orders.
    pub options: OrdersOptions,
}

/// Messages that the actor sends to itself.
#[derive(Debug)]
pub enum OrdersMessage {
    /// Synchronize the tasks with the configured services.
    SyncTasks,
}

/// Running orders task of one service. The task stops when `stop` becomes true.
#[derive(Debug)]
struct Task {
    stop: watch::Sender<bool>,
    handle: JoinHandle<()>,
}

/// Running tasks of the actor, with the arguments from which new tasks are started.
#[derive(Debug)]
pub struct OrdersState<V> {
    arguments: OrdersArguments<V>,
    tasks: HashMap<ServiceName, Task>,
}

impl<V: OrdersView> Actor for OrdersActor<V> {
    type Msg = OrdersMessage;
    type State = OrdersState<V>;
    type Arguments = OrdersArguments<V>;

    async fn pre_start(
        &self,
        myself: ActorRef<OrdersMessage>,
        arguments: OrdersArguments<V>,
    ) -> Result<OrdersState<V>, ActorProcessingErr> {
        myself.cast(OrdersMessage::SyncTasks)?;
        Ok(OrdersState { arguments, tasks: HashMap::default() })
    }

    async fn handle(
        &self,
        myself: ActorRef<OrdersMessage>,
        message: OrdersMessage,
        state: &mut OrdersState<V>,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            OrdersMessage::SyncTasks => {
                sync_tasks(state);
                let interval = Duration::from_millis(SYNC_INTERVAL_MS);
                drop(myself.send_after(interval, || OrdersMessage::SyncTasks));
            }
        }
        Ok(())
    }

    /// Stops the tasks and waits until no order is in flight and the leases are revoked.
    async fn post_stop(
        &self,
        _myself: ActorRef<OrdersMessage>,
        state: &mut OrdersState<V>,
    ) -> Result<(), ActorProcessingErr> {
        for task in state.tasks.values() {
            task.stop.send_replace(true);
        }
        for (_, task) in state.tasks.drain() {
            let _ = task.handle.await;
        }
        Ok(())
    }
}

/// Stops the tasks of removed services and starts tasks for new ones.
fn sync_tasks<V: OrdersView>(state: &mut OrdersState<V>) {
    let OrdersState { arguments: OrdersArguments { platform, view, options }, tasks } = state;
    let Some(document) = view.document() else { return };
    let is_wanted = |name: &ServiceName| {
        document.service(name).is_some_and(|service| service.kind == ServiceKind::Generation)
    };
    tasks.retain(|name, task| {
        let is_kept = is_wanted(name);
        if !is_kept {
            task.stop.send_replace(true);
        }
        is_kept
    });
    for service in &document.services {
        if is_wanted(&service.name) && !tasks.contains_key(&service.name) {
            let (stop, stopped) = watch::channel(false);
            let orders = ServiceOrders::new(&service.name, options, view, platform);
            let handle = tokio::spawn(orders.run(stopped));
            tasks.insert(service.name.clone(), Task { stop, handle });
        }
    }
}
