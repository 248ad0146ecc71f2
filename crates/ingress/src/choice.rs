//! Choice of the engine for one attempt of a stream.

use crate::{
    core::Core,
    instance::Instance,
    instance_entry::InstanceId,
    kv_replica::KvReplica,
    placement::Placement,
    probe::{is_alive, probe_all},
    retry_permit::RetryPermit,
};
use affinity::StreamVersion;
use base::ServiceName;
use futures::future::join;
use limit::Urgency;
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
    /// Whether the attempt may wait if all probed engines are busy.
    pub may_wait: bool,
    /// Tokens of the prompt; 0 if they are not known.
    pub prompt_tokens: u64,
    /// Engines that the request was sent to before.
    pub excluded: Vec<InstanceId>,
    /// Software version at which the stream may go on.
    pub version: StreamVersion,
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
        /// Whether another daemon lent the request that the limit of the engine leaves no more to this daemon.
        is_borrowed: bool,
        /// Retry that was withdrawn for the attempt; `None` if it needs none.
        retry: Option<RetryPermit>,
    },
    /// The attempt cannot start yet.
    Wait {
        reason: WaitReason,
        /// The replica from the requirements; `None` if its engine did not respond.
        replica: Option<KvReplica>,
    },
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
        prompt_tokens,
        excluded,
        version,
    } = requirements;
    let retry = match retry {
        Some(urgency) => match RetryPermit::withdraw(core, &service, urgency).await {
            Some(permit) => Some(permit),
            None => return EngineChoice::Wait { reason: WaitReason::Budget, replica },
        },
        None => None,
    };
    let replica = replica.filter(|replica| core.allows_request(&replica.instance));
    let placement = Placement {
        excluded: &excluded,
        required_version: version.required(),
        ..Placement::default()
    };
    if candidates.is_empty() && replica.is_none() && core.is_limited(&service, &placement) {
        if let Some(instance) = core.borrow_instance(&service, &placement).await {
            let (replica, replica_target) = (None, None);
            return EngineChoice::Engine {
                instance,
                replica,
                replica_target,
                is_borrowed: true,
                retry,
            };
        }
        return EngineChoice::Wait { reason: WaitReason::Limit, replica };
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
        join(check_replica, probe_all(core, candidates, prompt_tokens)).await;
    let replica = replica.filter(|_| is_replica_alive);
    let holder = replica.as_ref().map(|replica| &replica.instance);
    let reason = match holder.or(probed.best()) {
        Some(_) if holder.is_none() && probed.is_busy() && may_wait => WaitReason::Busy,
        Some(instance) => {
            let instance = Arc::clone(instance);
            let replica_target = probed.replica_target(&instance, &core.options.domain).cloned();
            return EngineChoice::Engine {
                instance,
                replica,
                replica_target,
                is_borrowed: false,
                retry,
            };
        }
        None => WaitReason::NoEngine,
    };
    EngineChoice::Wait { reason, replica }
}
