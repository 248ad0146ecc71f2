//! Calls to the platform.

use crate::platform_error::PlatformError;
use std::net::SocketAddr;
use web::{Client, Method};
use wire::platform::{KvConflict, KvEntry, KvList, KvWrite, KvWritten, VmList};

/// How much longer than the platform's own wait a watch may take.
const WATCH_SLACK_MS: u64 = 2_000;

/// Client of the platform. Each method is one counted call, and none retries.
#[derive(Clone, Debug)]
pub struct Platform {
    addr: SocketAddr,
    client: Client,
}

impl Platform {
    /// Client of the platform at `addr`; a call takes at most `timeout_ms`.
    pub fn new(addr: SocketAddr, timeout_ms: u64) -> Self {
        Self { addr, client: Client::new(addr, timeout_ms) }
    }

    /// Reads a key; `None` if it does not exist.
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

    /// Writes a key if it has the expected revision and returns the new one.
    ///
    /// # Errors
    ///
    /// `Conflict` if the key has another revision. After `Unavailable` the write may have taken effect.
    pub async fn put(&self, key: &str, write: &KvWrite) -> Result<u64, PlatformError> {
        let path = format!("/kv/{key}");
        let reply = self.client.send_json(Method::PUT, &path, write).await?;
        match reply.status.as_u16() {
            200 => Ok(reply.json::<KvWritten>()?.revision),
            409 => Err(PlatformError::Conflict(Box::new(reply.json::<KvConflict>()?.current))),
            code => Err(PlatformError::Status(code)),
        }
    }

    /// Waits up to `wait_ms` for changes under `prefix` after `revision`. The list is empty if nothing changed.
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
