//! Client of the platform's HTTP interface: keys, leases, weight transfers and the list of VMs.

use crate::platform_error::PlatformError;
use std::net::SocketAddr;
use web::{Client, Method, Reply};
use wire::platform::{
    KvConflict, KvEntry, KvList, KvWrite, KvWritten, LeaseGranted, LeaseRequest, VmList,
    WeightRequest, WeightsSent,
};

/// Time that a watch may take in addition to the time for which the platform waits for changes.
const WATCH_SLACK_MS: u64 = 2_000;

/// Client whose methods make exactly one call to the platform each, and never retry.
#[derive(Clone, Debug)]
pub struct Platform {
    addr: SocketAddr,
    client: Client,
}

impl Platform {
    /// Creates a client of the platform at `addr`, whose calls take at most `timeout_ms`.
    pub fn new(addr: SocketAddr, timeout_ms: u64) -> Self {
        Self { addr, client: Client::new(addr, timeout_ms) }
    }

    /// Reads the entry of a key. Returns `None` if the key does not exist.
    ///
    /// # Errors
    ///
    /// `Unavailable` or `Status`.
    pub async fn get(&self, key: &str) -> Result<Option<KvEntry>, PlatformError> {
        let reply = self.client.send(Method::GET, &format!("/kv/{key}")).await?;
        match reply.status.as_u16() {
            200 => Ok(Some(reply.json()?)),
            404 => Ok(None),
            code => Err(PlatformError::Status(code)),
        }
    }

    /// Writes a key if it is at the revision that `write` expects, and returns the new revision of the key.
    ///
    /// # Errors
    ///
    /// `Conflict` if the key is at another revision, `LeaseEnded` if the lease of the write has ended, or `Status`.
    /// After `Unavailable` the write may have taken effect.
    pub async fn put(&self, key: &str, write: &KvWrite) -> Result<u64, PlatformError> {
        let path = format!("/kv/{key}");
        let reply = self.client.send_json(Method::PUT, &path, write).await?;
        written(&reply)
    }

    /// Removes a key, unless it is at another revision than `expect_revision`, and returns the revision of the
    /// key-value service. `None` removes the key at any revision; a key that does not exist has revision 0.
    ///
    /// # Errors
    ///
    /// `Conflict` if the key is at another revision, or `Status`. After `Unavailable` the removal may have taken
    /// effect.
    pub async fn delete(
        &self,
        key: &str,
        expect_revision: Option<u64>,
    ) -> Result<u64, PlatformError> {
        let path = match expect_revision {
            Some(revision) => format!("/kv/{key}?expect_revision={revision}"),
            None => format!("/kv/{key}"),
        };
        written(&self.client.send(Method::DELETE, &path).await?)
    }

    /// Reads all entries whose keys begin with `prefix`.
    ///
    /// # Errors
    ///
    /// `Unavailable` or `Status`.
    pub async fn list(&self, prefix: &str) -> Result<KvList, PlatformError> {
        let reply = self.client.send(Method::GET, &format!("/kv?prefix={prefix}")).await?;
        match reply.status.as_u16() {
            200 => Ok(reply.json()?),
            code => Err(PlatformError::Status(code)),
        }
    }

    /// Acquires a lease that ends `ttl_ms` after its last keep-alive.
    ///
    /// # Errors
    ///
    /// `Status` or `Unavailable`. After `Unavailable` there may be a lease that nobody uses; this lease ends after
    /// `ttl_ms`.
    pub async fn grant_lease(&self, ttl_ms: u64) -> Result<LeaseGranted, PlatformError> {
        let request = LeaseRequest { ttl_ms };
        let reply = self.client.send_json(Method::POST, "/leases", &request).await?;
        granted(&reply)
    }

    /// Renews a lease, so that its full duration starts again.
    ///
    /// # Errors
    ///
    /// `LeaseEnded`, `Status` or `Unavailable`. After `Unavailable` the lease may have been renewed.
    pub async fn keep_lease(&self, lease_id: u64) -> Result<LeaseGranted, PlatformError> {
        let path = format!("/leases/{lease_id}/keepalive");
        granted(&self.client.send(Method::POST, &path).await?)
    }

    /// Ends a lease, which removes the keys that were written with it.
    ///
    /// # Errors
    ///
    /// `LeaseEnded` if the lease has ended already, `Status` or `Unavailable`. After `Unavailable` the lease may have
    /// ended.
    pub async fn revoke_lease(&self, lease_id: u64) -> Result<(), PlatformError> {
        let reply = self.client.send(Method::DELETE, &format!("/leases/{lease_id}")).await?;
        match reply.status.as_u16() {
            204 => Ok(()),
            410 => Err(PlatformError::LeaseEnded),
            code => Err(PlatformError::Status(code)),
        }
    }

    /// Transfers model weights from the weight store, in at most `wait_ms`.
    ///
    /// # Errors
    ///
    /// `Busy` if too many transfers are in progress, `Unavailable` or `Status`.
    pub async fn fetch_weights(
        &self,
        request: &WeightRequest,
        wait_ms: u64,
    ) -> Result<WeightsSent, PlatformError> {
        let client = Client::new(self.addr, wait_ms);
        let reply = client.send_json(Method::POST, "/weights", request).await?;
        match reply.status.as_u16() {
            200 => Ok(reply.json()?),
            429 => Err(PlatformError::Busy),
            code => Err(PlatformError::Status(code)),
        }
    }

    /// Waits up to `wait_ms` for changes after `revision` of keys that begin with `prefix`. The returned list of
    /// changes is empty if nothing changed.
    ///
    /// # Errors
    ///
    /// `Unavailable` or `Status`.
    pub async fn watch(
        &self,
        prefix: &str,
        revision: u64,
        wait_ms: u64,
    ) -> Result<KvList, PlatformError> {
        let path = format!("/watch?prefix={prefix}&after={revision}&wait_ms={wait_ms}");
        let client = Client::new(self.addr, wait_ms + WATCH_SLACK_MS);
        let reply = client.send(Method::GET, &path).await?;
        match reply.status.as_u16() {
            200 => Ok(reply.json()?),
            code => Err(PlatformError::Status(code)),
        }
    }

    /// Reads the list of VMs.
    ///
    /// # Errors
    ///
    /// `Unavailable` or `Status`.
    pub async fn vms(&self) -> Result<VmList, PlatformError> {
        let reply = self.client.send(Method::GET, "/vms").await?;
        match reply.status.as_u16() {
            200 => Ok(reply.json()?),
            code => Err(PlatformError::Status(code)),
        }
    }
}

/// Returns the revision in the reply to a write.
fn written(reply: &Reply) -> Result<u64, PlatformError> {
    match reply.status.as_u16() {
        200 => Ok(reply.json::<KvWritten>()?.revision),
        409 => Err(PlatformError::Conflict(Box::new(reply.json::<KvConflict>()?.current))),
        410 => Err(PlatformError::LeaseEnded),
        code => Err(PlatformError::Status(code)),
    }
}

/// Returns the lease in the reply to a grant or a renewal.
fn granted(reply: &Reply) -> Result<LeaseGranted, PlatformError> {
    match reply.status.as_u16() {
        200 => Ok(reply.json()?),
        410 => Err(PlatformError::LeaseEnded),
        code => Err(PlatformError::Status(code)),
    }
}
