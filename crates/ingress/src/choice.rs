//! Choice of the engine for one attempt of a stream.

use crate::{
    core::Core,
    engine_hold::{EngineHold, HoldResult},
    instance::Instance,
    instance_entry::InstanceId,
    kv_replica::KvReplica,
    placement::Placement,
    probe::{ProbedEngines, is_alive, probe_all},
    retry_permit::RetryPermit,
    version_rule::VersionRule,
};
use affinity::StreamVersion;
use base::ServiceName;
use futures::future::join;
use limit::{StreamAsk, StreamVerdict, Urgency};
use std::sync::Arc;

/// What one attempt requires of its engine.
#[derive(Debug)]
pub(crate) struct EngineRequirements {
    pub service: ServiceName,
    /// Engines that are probed for their load, from which one is chosen.
    pub candidates: Vec<Arc<Instance>>,
    /// KV cache replica of the stream's last run; `None` if there is none.
    pub replica: Option<KvReplica>,
    /// Urgency of a retry; `None` for the first attempt, which needs no retry budget.
    pub retry: Option<Urgency>,
    /// Whether the attempt may wait if all probed engines are busy, unless `ask` decides.
    pub may_wait: bool,
    /// Stream on which the scheduling decides; `None` if the service's streams are not scheduled.
    pub ask: Option<StreamAsk>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Longest time of a reservation at the engine; 0 if the stream reserves none.
    pub hold_ms: u64,
    /// Engines that the request was sent to before.
    pub excluded: Vec<InstanceId>,
    /// Software version at which the stream may go on.
    pub version: StreamVersion,
    /// Versions or instances that a rollout allows.
    pub version_rule: VersionRule,
}

/// Decision on where an attempt starts, or why it has to wait.
#[derive(Debug)]
pub(crate) enum EngineChoice {
    /// The attempt can start at this engine.
    Engine {
        instance: Arc<Instance>,
        /// KV cache replica that the engine holds and the attempt resumes from; `None` if a new prefill is needed.
        replica: Option<KvReplica>,
        /// Engine that is to hold the KV cache replica of the attempt; `None` if no probed engine can.
        replica_target: Option<Arc<Instance>>,
        /// Reservation of the engine's memory for the request; `None` if it needs none.
        hold: Option<EngineHold>,
        /// Whether another daemon lent the request that the limit of the engine leaves no more to this daemon.
        is_borrowed: bool,
        /// Retry that was withdrawn for the attempt; `None` if it needs none.
        retry: Option<RetryPermit>,
    },
    /// The stream is refused, because its first event would be late by `late_ms`.
    Refuse { late_ms: u64 },
    /// The attempt cannot start yet.
    Wait {
        reason: WaitReason,
        /// The replica from the requirements; `None` if its engine did not respond.
        replica: Option<KvReplica>,
        /// Whether the stream would have been in time at one of the probed engines, as far as that is known.
        is_in_time: bool,
    },
}

impl EngineChoice {
    /// The attempt cannot start yet, for a reason other than the load of the engines.
    fn wait(reason: WaitReason, replica: Option<KvReplica>) -> Self {
        Self::Wait { reason, replica, is_in_time: true }
    }
}

/// Why an attempt cannot start yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WaitReason {
    /// Even the least loaded of the probed engines has too many pending prefills.
    Busy,
    /// The retry budget is exhausted.
    Budget,
    /// This daemon's share in the limits that the engines name is used up.
    Limit,
    /// No probed engine responded.
    NoEngine,
}

impl WaitReason {
    /// Value of the key `reason` in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Budget => "budget",
            Self::Busy => "busy",
            Self::Limit => "limit",
            Self::NoEngine => "no_engine",
        }
    }
}

/// Chooses the engine that holds the KV cache replica of the request, if that engine is alive, or else the least loaded
/// candidate.
///
/// The retry budget is checked first, because probing costs engine time as well. If the attempt has to wait after that,
/// the withdrawn retry is refunded.
pub(crate) async fn choose_engine(
    core: &Arc<Core>,
    requirements: EngineRequirements,
) -> EngineChoice {
    let EngineRequirements {
        service,
        candidates,
        replica,
        retry,
        may_wait,
        ask,
        prompt_tokens,
        hold_ms,
        excluded,
        version,
        version_rule,
    } = requirements;
    let retry = match retry {
        Some(urgency) => match RetryPermit::withdraw(core, &service, urgency).await {
            Some(permit) => Some(permit),
            None => return EngineChoice::wait(WaitReason::Budget, replica),
        },
        None => None,
    };
    let replica = replica.filter(|replica| core.allows_request(&replica.instance));
    let placement = Placement {
        excluded: &excluded,
        required_version: version.required(),
        version_rule: Some(&version_rule),
        ..Placement::default()
    };
    if candidates.is_empty() && replica.is_none() && core.is_limited(&service, &placement) {
        if let Some(instance) = core.borrow_instance(&service, &placement).await {
            let (replica, replica_target) = (None, None);
            return EngineChoice::Engine {
                instance,
                replica,
                replica_target,
                hold: None,
                is_borrowed: true,
                retry,
            };
        }
        return EngineChoice::wait(WaitReason::Limit, replica);
    }
    let check_replica = async {
        match &replica {
            Some(replica) => is_alive(core, &replica.instance).await,
            None => false,
        }
    };
    // The check and the probes run concurrently, so that a dead engine with the replica does not delay the attempt by a
    // second timeout.
    let (is_replica_alive, probed) =
        join(check_replica, probe_all(core, &service, candidates, prompt_tokens)).await;
    let replica = replica.filter(|_| is_replica_alive);
    let holder = replica.as_ref().map(|replica| &replica.instance);
    let (verdict, hold) = match ask.filter(|_| holder.is_none()) {
        Some(ask) => {
            let (verdict, hold) = schedule(core, &probed, &ask, prompt_tokens, hold_ms).await;
            (Some(verdict), hold)
        }
        None => (None, None),
    };
    let is_in_time = !matches!(verdict, Some(StreamVerdict::Wait { is_in_time: false }));
    let (chosen, is_busy) = match verdict {
        Some(StreamVerdict::Refuse { late_ms }) => return EngineChoice::Refuse { late_ms },
        Some(StreamVerdict::Send(position)) => (probed.get(position), false),
        Some(StreamVerdict::Wait { .. }) => (probed.best(), true),
        None => (probed.best(), probed.is_busy() && may_wait),
    };
    let reason = match holder.or(chosen) {
        Some(_) if holder.is_none() && is_busy => WaitReason::Busy,
        Some(instance) => {
            let instance = Arc::clone(instance);
            let replica_target = probed.replica_target(&instance, &core.options.domain).cloned();
            return EngineChoice::Engine {
                instance,
                replica,
                replica_target,
                hold,
                is_borrowed: false,
                retry,
            };
        }
        None => WaitReason::NoEngine,
    };
    EngineChoice::Wait { reason, replica, is_in_time }
}

/// Decides on a stream by the probed engines, and reserves memory at the engine that gets it. If an engine turns out to be
/// full, the next one with room is asked.
async fn schedule(
    core: &Arc<Core>,
    probed: &ProbedEngines,
    ask: &StreamAsk,
    prompt_tokens: u64,
    hold_ms: u64,
) -> (StreamVerdict, Option<EngineHold>) {
    let mut offers = probed.offers(ask, prompt_tokens);
    let verdict = ask.judge(&offers, core.clock.now_ms());
    let StreamVerdict::Send(first) = verdict else { return (verdict, None) };
    // Without room, the engine would refuse the reservation, and the stream is sent all the same.
    if hold_ms == 0 || !ask.has_room(&offers[first]) {
        return (verdict, None);
    }
    for (position, offer) in offers.iter_mut().enumerate().skip(first) {
        let Some(instance) = probed.get(position).filter(|_| ask.has_room(offer)) else { continue };
        match EngineHold::take(core, instance, ask.tokens, hold_ms).await {
            HoldResult::Taken(hold) => return (StreamVerdict::Send(position), Some(hold)),
            HoldResult::Unavailable => return (StreamVerdict::Send(position), None),
            HoldResult::Full => offer.load.used_tokens = offer.load.capacity_tokens,
        }
    }
    // The reports were out of date: no engine has room, so that the stream may wait, be refused, or preempt.
    (ask.judge(&offers, core.clock.now_ms()), None)
}
