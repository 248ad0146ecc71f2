//! Admission control: rate limits of client accounts and request queues of services.

use crate::{
    api_error::ApiError, queue_permit::QueuePermit, service_queue::ServiceQueue,
    upstreams::Upstreams,
};
use base::{Clock, HashMap, ServiceName, VmId, lock};
use conf::LimitSettings;
use fleet::Account;
use limit::{AccountRateLimit, AccountRateLimiter, AdmissionQueueLimits, Class, UsageDigest};
use sha2::{Digest, Sha256};
use std::sync::{
    Arc, Mutex,
    atomic::{AtomicUsize, Ordering},
};
use wire::platform::{Vm, VmRole};

/// Smallest limit on the waiting requests of one class. It applies to services whose upstreams run fewer requests at a
/// time.
const MIN_WAITING: u32 = 16;

/// Capacity and short-request reserve, in requests, of a service without a usable upstream. They are not zero, so that
/// requests are admitted and then fail with `NoUpstream`, which is the actual cause, and not with `Overloaded`.
const NO_UPSTREAM_CAPACITY: (u32, u32) = (64, 6);

/// Rate limits and request queues of one entry.
#[derive(Debug)]
pub(crate) struct Admission {
    limits: LimitSettings,
    clock: Clock,
    upstreams: Arc<Upstreams>,
    accounts: Mutex<AccountRateLimiter>,
    queues: Mutex<HashMap<ServiceName, Arc<Mutex<ServiceQueue>>>>,
    /// Number of entries in the latest list of VMs; 0 before the first list.
    entries: AtomicUsize,
}

impl Admission {
    pub fn new(
        vm_id: &VmId,
        limits: LimitSettings,
        clock: Clock,
        upstreams: Arc<Upstreams>,
    ) -> Self {
        let accounts = AccountRateLimiter::new(stable_hash(vm_id.as_str()), Clock::unix_ms());
        let queues = Mutex::new(HashMap::default());
        Self {
            limits,
            clock,
            upstreams,
            accounts: Mutex::new(accounts),
            queues,
            entries: AtomicUsize::new(0),
        }
    }

    /// Replaces the set of entries that share the account limits with the entries in a list of VMs.
    pub fn set_entries(&self, vms: &[Vm]) {
        let entries = vms.iter().filter(|vm| vm.role == VmRole::Entry);
        let hashes: Vec<u64> = entries.map(|vm| stable_hash(vm.id.as_str())).collect();
        self.entries.store(hashes.len(), Ordering::Relaxed);
        lock(&self.accounts).set_peers(&hashes, self.clock.now_ms());
    }

    /// Number of entries in the latest list of VMs; 0 before the first list.
    pub fn entry_count(&self) -> usize {
        self.entries.load(Ordering::Relaxed)
    }

    /// Charges the request to the rate of `account` and waits until the queue of `service` admits it. `tokens` is the
    /// largest number of tokens that the answer may have, or 0 for a call to a plain service.
    ///
    /// # Errors
    ///
    /// `AccountLimit` if the rate of the account is used up, `Overloaded` if the queue is full or the request waited
    /// for too long. In both cases the request was not run.
    pub async fn admit(
        &self,
        account: &Account,
        service: &ServiceName,
        class: Class,
        tokens: u32,
    ) -> Result<QueuePermit, ApiError> {
        let now_ms = self.clock.now_ms();
        let rate = AccountRateLimit {
            requests_per_s: f64::from(account.requests_per_s),
            tokens_per_s: account.tokens_per_s.map(f64::from),
        };
        let account_hash = stable_hash(account.name.as_str()) as u32;
        let admitted = lock(&self.accounts).admit(account_hash, &rate, tokens, now_ms);
        admitted.map_err(|wait_ms| {
            log::debug!("limit: account {} has exceeded its rate", account.name);
            count_rejection("account");
            ApiError::AccountLimit(wait_ms)
        })?;
        let queue = self.queue(service);
        let offered = lock(&queue).offer(class, now_ms);
        let overloaded = || {
            log::debug!("limit: service {service} rejects a request of class {}", class.as_str());
            count_rejection("queue");
            ApiError::Overloaded
        };
        let (id, admitted) = offered.ok_or_else(overloaded)?;
        let permit = QueuePermit { queue, id, class, clock: self.clock };
        // The queue drops the sender if the request is still waiting at its deadline.
        let is_admitted = match admitted {
            Some(admitted) => admitted.await.is_ok(),
            None => true,
        };
        if is_admitted { Ok(permit) } else { Err(overloaded()) }
    }

    /// Recent usage of client accounts at this entry, to be sent to the other entries.
    pub fn usage(&self) -> UsageDigest {
        lock(&self.accounts).digest(self.clock.now_ms())
    }

    /// Merges the usage that another entry has sent.
    pub fn merge_usage(&self, usage: &UsageDigest) {
        lock(&self.accounts).merge(usage, self.clock.now_ms());
    }

    /// Adapts the limits of all queues to the current capacity of the upstreams, admits the requests that the new
    /// limits allow, rejects those that waited for too long, and updates the metrics of the queues.
    pub fn refresh(&self) {
        let queues: Vec<_> = lock(&self.queues)
            .iter()
            .map(|(service, queue)| (service.clone(), Arc::clone(queue)))
            .collect();
        for (service, queue) in queues {
            let limits = self.queue_limits(&service);
            let mut queue = lock(&queue);
            queue.set_limits(limits, self.clock.now_ms());
            for class in Class::ALL {
                let (running, waiting) = queue.counts(class);
                let labels = [("service", service.to_string()), ("class", class.as_str().into())];
                metrics::gauge!("limit_running", &labels).set(f64::from(running));
                metrics::gauge!("limit_waiting", &labels).set(waiting as f64);
            }
        }
    }

    fn queue(&self, service: &ServiceName) -> Arc<Mutex<ServiceQueue>> {
        if let Some(queue) = lock(&self.queues).get(service) {
            return Arc::clone(queue);
        }
        let queue = ServiceQueue::new(self.queue_limits(service));
        let queue = Arc::new(Mutex::new(queue));
        Arc::clone(lock(&self.queues).entry(service.clone()).or_insert(queue))
    }

    fn queue_limits(&self, service: &ServiceName) -> AdmissionQueueLimits {
        // Each entry may use the whole reserve: if it were divided among the entries, an entry that receives most of
        // the short requests would reject them. Short requests beyond the reserve wait at the engine, ahead of other
        // work.
        let (capacity, short_reserve) =
            self.upstreams.capacity(service).unwrap_or(NO_UPSTREAM_CAPACITY);
        let running = capacity.max(1);
        AdmissionQueueLimits {
            max_running: running,
            short_reserve,
            max_waiting: running.max(MIN_WAITING) as usize,
            max_wait_ms: self.limits.queue_wait_ms,
        }
    }
}

fn count_rejection(reason: &'static str) {
    metrics::counter!("limit_rejections_total", "reason" => reason).increment(1);
}

/// Hash of a name that is the same at every daemon.
fn stable_hash(name: &str) -> u64 {
    let digest = Sha256::digest(name.as_bytes());
    digest.iter().take(8).fold(0, |value, &byte| (value << 8) | u64::from(byte))
}
