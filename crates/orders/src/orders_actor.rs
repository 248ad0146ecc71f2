//! Actor that runs the orders of every service with engines.

use crate::{
    orders_options::OrdersOptions, orders_view::OrdersView, service_orders::ServiceOrders,
};
use base::{HashMap, ServiceName};
use fleet::ServiceKind;
use plat::Platform;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::{marker::PhantomData, sync::Arc, time::Duration};
use tokio::{sync::watch, task::JoinHandle};

/// Time between two looks at the list of services.
const SERVICES_INTERVAL_MS: u64 = 500;

/// Actor that runs one task for each service with engines.
#[derive(Debug)]
pub struct OrdersActor<V>(PhantomData<V>);

impl<V> Default for OrdersActor<V> {
    fn default() -> Self {
        Self(PhantomData)
    }
}

/// What the actor is started with.
#[derive(Debug)]
pub struct OrdersArguments<V> {
    /// Platform.
    pub platform: Platform,
    /// Daemon.
    pub view: Arc<V>,
    /// Options.
    pub options: OrdersOptions,
}

/// Message of the actor.
#[derive(Debug)]
pub enum OrdersMessage {
    /// Compare the tasks with the services of the configuration.
    Compare,
}

/// Task of one service.
#[derive(Debug)]
struct Task {
    stop: watch::Sender<bool>,
    handle: JoinHandle<()>,
}

/// State of the actor.
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
        myself.cast(OrdersMessage::Compare)?;
        Ok(OrdersState { arguments, tasks: HashMap::default() })
    }

    async fn handle(
        &self,
        myself: ActorRef<OrdersMessage>,
        message: OrdersMessage,
        state: &mut OrdersState<V>,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            OrdersMessage::Compare => {
                compare(state);
                let interval = Duration::from_millis(SERVICES_INTERVAL_MS);
                drop(myself.send_after(interval, || OrdersMessage::Compare));
            }
        }
        Ok(())
    }

    /// Waits until no order is under way, and gives the leases back.
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

fn compare<V: OrdersView>(state: &mut OrdersState<V>) {
    let OrdersState { arguments: OrdersArguments { platform, view, options }, tasks } = state;
    let Some(document) = view.document() else { return };
    let is_wanted = |name: &ServiceName| {
        document.service(name).is_some_and(|service| service.kind == ServiceKind::Generation)
    };
    tasks.retain(|name, task| {
        let keeps = is_wanted(name);
        if !keeps {
            task.stop.send_replace(true);
        }
        keeps
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
