//! Items of rollouts in the platform's store.

use crate::{follow::PlatformKeys, rollout_control::RolloutControl};
use base::{Excerpt, HashMap, HashSet, ServiceName};
use plat::Change;
use rollout::{ListedServices, OrderOrigin, RolloutOrder, RolloutStatus};
use std::fmt::Display;

/// Decoders of the items of rollouts.
#[derive(Debug)]
pub struct RolloutDecoders<E> {
    /// Decodes the order of an operator.
    pub order: fn(&[u8]) -> Result<RolloutOrder, E>,
    /// Decodes the status of a rollout.
    pub status: fn(&[u8]) -> Result<RolloutStatus, E>,
}

/// Applies the items of rollouts and their changes.
pub(crate) struct RolloutItems<E> {
    keys: PlatformKeys,
    decoders: RolloutDecoders<E>,
    /// Revision of the last order of each service that could not be read. Each is logged once.
    unreadable: HashMap<Box<str>, u64>,
}

impl<E: Display> RolloutItems<E> {
    pub fn new(keys: PlatformKeys, decoders: RolloutDecoders<E>) -> Self {
        Self { keys, decoders, unreadable: HashMap::default() }
    }

    /// Applies a list of all items.
    pub fn apply_list(&mut self, control: &RolloutControl, items: &[Change], is_restored: bool) {
        control.begin_list();
        let origin = if is_restored { OrderOrigin::RestoredList } else { OrderOrigin::List };
        // Statuses come first: after a restoration, an order of the copy shows which of them are about it.
        let statuses = self.apply_prefix(control, items, self.keys.rollout_statuses, origin);
        let orders = self.apply_prefix(control, items, self.keys.rollout_orders, origin);
        control.end_list(&ListedServices { orders, statuses }, is_restored);
    }

    /// Applies the listed items whose keys begin with `prefix`. Returns their services.
    fn apply_prefix(
        &mut self,
        control: &RolloutControl,
        items: &[Change],
        prefix: &str,
        origin: OrderOrigin,
    ) -> HashSet<ServiceName> {
        let mut services = HashSet::default();
        for item in items {
            let Some(name) = item.key.strip_prefix(prefix) else { continue };
            self.apply_item(control, item, origin);
            services.extend(ServiceName::try_from(name).ok());
        }
        services
    }

    /// Applies a change, if it is one of an order or a status.
    pub fn apply(&mut self, control: &RolloutControl, change: &Change) {
        self.apply_item(control, change, OrderOrigin::Change);
    }

    fn apply_item(&mut self, control: &RolloutControl, change: &Change, origin: OrderOrigin) {
        if let Some(name) = change.key.strip_prefix(self.keys.rollout_orders) {
            self.apply_order(control, name, change, origin);
        } else if let Some(name) = change.key.strip_prefix(self.keys.rollout_statuses)
            && let Ok(service) = ServiceName::try_from(name)
        {
            let value = change.value.as_deref();
            let status = value.and_then(|value| (self.decoders.status)(value).ok());
            let revision = if change.value.is_some() { change.revision } else { 0 };
            control.apply_status(&service, status, revision);
        }
    }

    /// Applies the order of the service `name`. One that cannot be read leaves the running one in force.
    fn apply_order(
        &mut self,
        control: &RolloutControl,
        name: &str,
        change: &Change,
        origin: OrderOrigin,
    ) {
        let Ok(service) = ServiceName::try_from(name) else { return };
        let Some(value) = &change.value else {
            control.remove_order(&service, change.revision);
            return;
        };
        let reason = match (self.decoders.order)(value) {
            Ok(order) if order.service == service => {
                self.unreadable.remove(name);
                control.apply_order(order, change.revision, origin);
                return;
            }
            Ok(order) => format!("it names the service {}", order.service),
            Err(err) => Excerpt(err).to_string(),
        };
        if self.unreadable.insert(name.into(), change.revision) != Some(change.revision) {
            log::warn!(
                "rollout: the order of {service} at revision={} cannot be used: {reason}",
                change.revision
            );
        }
    }
}
