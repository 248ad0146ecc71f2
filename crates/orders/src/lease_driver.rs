//! Driver that performs the steps of the lease state machine.

use crate::{
    fence_record::FenceRecord, holder_record::HolderRecord, lease::Lease, lease_input::LeaseInput,
    lease_step::LeaseStep,
};
use base::{Clock, ServiceName, VmId};
use plat::{Platform, PlatformError};
use wire::platform::KvWrite;

/// Performs the steps of one service's lease at the platform.
#[derive(Clone, Debug)]
pub(crate) struct LeaseDriver {
    platform: Platform,
    holder_key: String,
    fence_key: String,
    vm_id: VmId,
    ttl_ms: u64,
}

impl LeaseDriver {
    pub fn new(platform: Platform, service: &ServiceName, vm_id: &VmId, ttl_ms: u64) -> Self {
        Self {
            platform,
            holder_key: format!("orders/{service}/holder"),
            fence_key: format!("orders/{service}/fence"),
            vm_id: vm_id.clone(),
            ttl_ms,
        }
    }

    /// Performs the next step. Returns `None` after a step, or the time in milliseconds until which there is no step.
    pub async fn advance(&self, lease: &mut Lease, clock: &Clock) -> Option<u64> {
        let step = lease.next_step(clock.now_ms());
        if let LeaseStep::Wait(until_ms) = step {
            return Some(until_ms);
        }
        let input = self.perform(&step).await;
        lease.handle_input(input, clock.now_ms());
        None
    }

    /// Revokes a lease at shutdown. If that fails, the lease expires by itself.
    pub async fn revoke(&self, lease_id: u64) {
        if let Err(err) = self.platform.revoke_lease(lease_id).await {
            log::info!("orders: failed to revoke lease {lease_id}: {err}");
        }
    }

    /// Performs a step and returns the platform's answer as an input of the state machine.
    async fn perform(&self, step: &LeaseStep) -> LeaseInput {
        let outcome = match step {
            LeaseStep::Wait(_) => return LeaseInput::NoAnswer,
            LeaseStep::ReadHolder => self.read_holder().await,
            LeaseStep::ReadFence => self.read_fence().await,
            LeaseStep::Grant => self.platform.grant_lease(self.ttl_ms).await.map(granted_input),
            LeaseStep::KeepAlive(lease_id) => {
                self.platform.keep_lease(*lease_id).await.map(granted_input)
            }
            LeaseStep::WriteHolder(lease_id) => self.write_holder(*lease_id).await,
            LeaseStep::WriteFence(record, revision) => self.write_fence(record, *revision).await,
        };
        match outcome {
            Ok(input) => input,
            Err(PlatformError::Conflict(_)) => LeaseInput::Conflict,
            Err(PlatformError::LeaseEnded) => LeaseInput::Ended,
            Err(err) => {
                log::debug!(
                    "orders: a step of the lease with the holder key {} failed: {err}",
                    self.holder_key
                );
                LeaseInput::NoAnswer
            }
        }
    }

    async fn read_holder(&self) -> Result<LeaseInput, PlatformError> {
        let item = self.platform.get(&self.holder_key).await?;
        // A value that cannot be decoded belongs to another daemon. Lease 0 is never this daemon's own.
        let lease_id = |value: &str| {
            serde_json::from_str::<HolderRecord>(value).map_or(0, |record| record.lease_id)
        };
        Ok(LeaseInput::Holder(item.map(|item| lease_id(&item.value))))
    }

    async fn read_fence(&self) -> Result<LeaseInput, PlatformError> {
        let item = self.platform.get(&self.fence_key).await?;
        let revision = item.as_ref().map_or(0, |item| item.revision);
        let record = item.and_then(|item| serde_json::from_str::<FenceRecord>(&item.value).ok());
        Ok(LeaseInput::Fence(record, revision))
    }

    async fn write_holder(&self, lease_id: u64) -> Result<LeaseInput, PlatformError> {
        let record = HolderRecord { lease_id, vm_id: self.vm_id.clone() };
        let Ok(value) = serde_json::to_string(&record) else { return Ok(LeaseInput::Conflict) };
        let write = KvWrite { value, expect_revision: Some(0), lease_id: Some(lease_id) };
        self.write(&self.holder_key, &write).await
    }

    async fn write_fence(
        &self,
        record: &FenceRecord,
        revision: u64,
    ) -> Result<LeaseInput, PlatformError> {
        let Ok(value) = serde_json::to_string(record) else { return Ok(LeaseInput::Conflict) };
        let write = KvWrite { value, expect_revision: Some(revision), lease_id: None };
        self.write(&self.fence_key, &write).await
    }

    async fn write(&self, key: &str, write: &KvWrite) -> Result<LeaseInput, PlatformError> {
        self.platform.put(key, write).await?;
        Ok(LeaseInput::Written)
    }
}

fn granted_input(granted: wire::platform::LeaseGranted) -> LeaseInput {
    LeaseInput::Granted { lease_id: granted.lease_id, fencing_token: granted.fencing_token }
}
