//! Choice of the engine for an attempt of a stream.

use crate::{
    core::Core,
    instance::Instance,
    kv_replica::KvReplica,
    probe::{is_alive, probe_all},
};
use base::ServiceName;
use futures::future::join;
use limit::Urgency;
use std::sync::Arc;

/// What an attempt needs.
#[derive(Debug)]
pub(crate) struct Wanted {
    pub service: ServiceName,
    /// Engines that are asked for their load.
    pub candidates: Vec<Arc<Instance>>,
    /// Copy of the run's memory.
    pub copy: Option<KvReplica>,
    /// How urgent a repeat is; none for the first attempt, which takes no repeat from the budget.
    pub repeat: Option<Urgency>,
    /// Whether the attempt may wait for an engine that is not busy.
    pub may_wait: bool,
}

/// Outcome of a choice.
#[derive(Debug)]
pub(crate) enum Choice {
    /// The attempt may begin.
    Engine {
        instance: Arc<Instance>,
        /// Copy of the run's memory that the engine has.
        copy: Option<KvReplica>,
        /// Engine that is to take a copy of the new run's memory.
        copy_target: Option<Arc<Instance>>,
    },
    /// The attempt has to wait.
    Wait {
        delay: Delay,
        /// Copy of the run's memory, as before.
        copy: Option<KvReplica>,
    },
}

/// Why an attempt has to wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Delay {
    /// Prompts wait at all engines that were asked.
    Busy,
    /// The budget of repeats is spent.
    Budget,
    /// No engine answered.
    NoEngine,
}

impl Delay {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Budget => "budget",
            Self::Busy => "busy",
            Self::NoEngine => "no_engine",
        }
    }
}

/// Chooses the engine with a copy of the run's memory, if it lives, or the candidate with the least work.
///
/// The budget comes first, since asking engines costs something as well. A repeat that is not sent is given back.
pub(crate) async fn choose_engine(core: &Core, wanted: Wanted) -> Choice {
    let Wanted { service, candidates, copy, repeat, may_wait } = wanted;
    if let Some(urgency) = repeat
        && !core.withdraw(&service, urgency).await
    {
        return Choice::Wait { delay: Delay::Budget, copy };
    }
    let check_copy = async {
        match &copy {
            Some(copy) => is_alive(core, &copy.instance).await,
            None => false,
        }
    };
    // Both at the same time, so that a dead engine costs no second wait.
    let (is_copy_alive, probed) = join(check_copy, probe_all(core, candidates)).await;
    let copy = copy.filter(|_| is_copy_alive);
    let with_copy = copy.as_ref().map(|copy| &copy.instance);
    let delay = match with_copy.or(probed.best()) {
        Some(_) if with_copy.is_none() && probed.is_busy() && may_wait => Delay::Busy,
        Some(instance) => {
            let instance = Arc::clone(instance);
            let copy_target = probed.copy_target(&instance).cloned();
            return Choice::Engine { instance, copy, copy_target };
        }
        None => Delay::NoEngine,
    };
    if repeat.is_some() {
        core.refund(&service);
    }
    Choice::Wait { delay, copy }
}
