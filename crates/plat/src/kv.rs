//! Key-value access as a trait, so that tests can replace the platform with a fake.

use crate::{platform::Platform, platform_error::PlatformError};
use wire::platform::{KvEntry, KvWrite};

/// Reads and conditional writes of the platform's key-value service.
pub trait Kv: Send + Sync {
    /// Reads the entry of a key. Returns `None` if the key does not exist.
    fn get(&self, key: &str)
    -> impl Future<Output = Result<Option<KvEntry>, PlatformError>> + Send;

    /// Writes a key if it is at the revision that `write` expects, and returns the new revision of the key.
    fn put(
        &self,
        key: &str,
        write: &KvWrite,
    ) -> impl Future<Output = Result<u64, PlatformError>> + Send;
}

impl Kv for Platform {
    async fn get(&self, key: &str) -> Result<Option<KvEntry>, PlatformError> {
        Platform::get(self, key).await
    }

    async fn put(&self, key: &str, write: &KvWrite) -> Result<u64, PlatformError> {
        Platform::put(self, key, write).await
    }
}
